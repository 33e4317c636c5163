// Package forward holds requests that are forwarded to backend servers unchanged, and the servers'
// replies.
package forward

import (
	"context"
	"math"
	"net/http"
	"strings"

	"github.com/goldcrestspan/goldcrestspan/customer"
)

// Request is a caller's request as it is sent to a backend server.
type Request struct {
	// AttemptID is the caller's id of this attempt. Backend servers echo it.
	AttemptID string
	Method    string
	// Target is the path and query, exactly as the caller sent them.
	Target string
	Host   string
	// Header holds the end-to-end headers. All attempts share it; it must not be changed.
	Header http.Header
	// Merge is set if the answers of several services are merged.
	Merge *Merge
	// Regions restricts the backend servers that may run the request, and the hosts that may see it
	// apart from the one that the caller chose; empty for no restriction.
	Regions []string
	// Customer is the name of the customer that sent the request; empty if none is identified.
	Customer string
	// Credential is the hash of the customer's key; zero if none is identified.
	Credential customer.Credential
}

// Merge describes how the answers of several services are merged.
type Merge struct {
	TopK     int // records in the merged answer, the greatest in byte order
	Services int
}

// maxRefetchRate bounds the fraction of answers in which some part has more than MaxPerPart of
// the greatest records and must be fetched in full.
const maxRefetchRate = 0.015

// MaxPerPart returns the number of records per part that almost always suffices for the merged
// answer. The greatest records are spread evenly over the parts, so that their number in one part
// follows a Poisson distribution.
func (m Merge) MaxPerPart() int {
	services := float64(max(m.Services, 1))
	mean := float64(m.TopK) / services
	exactly := math.Exp(-mean) // probability of exactly limit records in a part
	more := 1 - exactly        // and of more than limit
	limit := 0
	for limit < m.TopK && services*more > maxRefetchRate {
		limit++
		exactly *= mean / float64(limit)
		more -= exactly
	}
	return limit
}

// Reply is a backend server's reply.
type Reply struct {
	Status int
	// Header holds the end-to-end headers to return.
	Header http.Header
	Body   []byte
	// Signature is the server's signature of the reply; empty if it sent none.
	Signature string
	// FetchFull is set if Body was truncated to the greatest records of a part; it fetches all of
	// them.
	FetchFull func(ctx context.Context) ([]byte, error)
}

// hopByHopHeaders apply to a single connection (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEnd returns a copy without hop-by-hop headers, including those that the Connection header
// names.
func EndToEnd(header http.Header) http.Header {
	kept := header.Clone()
	for _, value := range header.Values("Connection") {
		for _, name := range splitNames(value) {
			kept.Del(name)
		}
	}
	for _, name := range hopByHopHeaders {
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
