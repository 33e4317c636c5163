// Package standin holds small stand-ins of the users' platform and of backend
// servers, for tests, demonstrations and embedders. They fail on request, and
// they record what happened, so that what was said can be compared with what ran.
package standin

import (
	"encoding/json"

	"github.com/goldcrestspan/goldcrestspan/backend"
	"github.com/goldcrestspan/goldcrestspan/snapshot"
)

// Content is the body of every answer of a backend server stand-in.
type Content struct {
	Index    string           `json:"index"`
	Snapshot snapshot.Version `json:"snapshot"`
	Shard    snapshot.ShardID `json:"shard"`
	// Request is the digest of the request's body.
	Request string `json:"request"`
	// Checksum is the digest of the fields above: half or mixed content fails it.
	Checksum string `json:"proof"`
}

// ShardBody is the one right answer of a shard: a checker that knows the
// request can tell a mixed snapshot, a wrong shard or another request's answer.
func ShardBody(index string, version snapshot.Version, shard snapshot.ShardID, request []byte) []byte {
	content := Content{Index: index, Snapshot: version, Shard: shard, Request: backend.Digest(request)}
	unproved, err := json.Marshal(content)
	if err != nil {
		panic(err) // strings and numbers always marshal
	}
	content.Checksum = backend.Digest(unproved)
	body, err := json.Marshal(content)
	if err != nil {
		panic(err)
	}
	return body
}
