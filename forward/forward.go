// Package forward holds a request that is passed on to a backend server as its
// caller sent it, and the server's reply to it. Nothing in between reads the
// body or rewrites the target.
package forward

import (
	"context"
	"math"
	"net/http"
	"strings"
)

// Request is a caller's request as it goes to a backend server.
type Request struct {
	// AttemptID is the caller's id of this sending. Backend servers echo it.
	AttemptID string
	Method    string
	// Target is the path and query, byte for byte as the caller sent them.
	Target string
	Host   string
	// Header holds the end-to-end headers; it is shared by all attempts and
	// must not be changed.
	Header http.Header
	// Merge is set where the answers of several services are merged.
	Merge *Merge
	// Regions are those that the operator binds the request to: no server elsewhere may
	// run it, and no host elsewhere may see it but the one that its caller chose; empty:
	// it is not bound.
	Regions []string
}

// Merge says how the answers of several services become one.
type Merge struct {
	Greatest int // records of the merged answer
	Services int
}

// restRate bounds the answers, of all, of which a part has more records than
// MostPerPart: fetching its rest takes a way to the host that cut it, and back.
const restRate = 0.015

// MostPerPart is how many records of one part the merged answer will hardly ever
// need more of. Each of the greatest records is in any of the parts alike, so that a
// part's number of them follows Poisson's law; over 180 parts some of them is far from
// its mean in most answers.
func (m Merge) MostPerPart() int {
	services := float64(max(m.Services, 1))
	mean := float64(m.Greatest) / services
	exactly := math.Exp(-mean) // the chance of so many
	more := 1 - exactly        // and of more
	most := 0
	for most < m.Greatest && services*more > restRate {
		most++
		exactly *= mean / float64(most)
		more -= exactly
	}
	return most
}

// Reply is a backend server's whole reply.
type Reply struct {
	Status int
	// Header holds the end-to-end headers to pass back.
	Header http.Header
	Body   []byte
	// Signature is the server's mark on the reply; empty if it gave none.
	Signature string
	// Rest is set where Body holds only the greatest records of a part; it
	// fetches all of them.
	Rest func(ctx context.Context) ([]byte, error)
}

// hopHeaders concern one connection only (RFC 9110, section 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEnd copies the headers without those that concern one connection only,
// including those that the Connection header names.
func EndToEnd(header http.Header) http.Header {
	kept := header.Clone()
	for _, value := range header.Values("Connection") {
		for _, name := range splitNames(value) {
			kept.Del(name)
		}
	}
	for _, name := range hopHeaders {
		kept.Del(name)
	}
	return kept
}

// splitNames splits a comma-separated list of header names.
func splitNames(value string) []string {
	names := strings.Split(value, ",")
	for i := range names {
		names[i] = strings.TrimSpace(names[i])
	}
	return names
}
