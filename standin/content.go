// Package standin provides in-memory stand-ins for the platform and for backend
// servers, for tests and demos. They inject faults on request and record every
// run, so that results can be checked against what really ran.
package standin

import (
	"encoding/json"

	"github.com/goldcrestspan/goldcrestspan/backend"
	"github.com/goldcrestspan/goldcrestspan/snapshot"
)

// Content is the reply body of a Backend.
type Content struct {
	Index    string           `json:"index"`
	Snapshot snapshot.Version `json:"snapshot"`
	Shard    snapshot.ShardID `json:"shard"`
	// Request is the digest of the request's body.
	Request string `json:"request"`
	// Checksum is the digest of the encoding with this field empty.
	Checksum string `json:"proof"`
}

// ShardBody returns the correct reply body of a shard, so that a test detects a
// wrong snapshot, a wrong shard or the reply to another request.
func ShardBody(index string, version snapshot.Version, shard snapshot.ShardID, request []byte) []byte {
	content := Content{Index: index, Snapshot: version, Shard: shard, Request: backend.Digest(request)}
	payload, err := json.Marshal(content)
	if err != nil {
		panic(err) // can't fail for strings and numbers
	}
	content.Checksum = backend.Digest(payload)
	body, err := json.Marshal(content)
	if err != nil {
		panic(err)
	}
	return body
}
