package backend

import "slices"

// maxCarriedCalls is the number of calls after which a connection is closed. It bounds the memory
// of carriedCalls to 4 KiB; one call in so many opens a connection for it.
const maxCarriedCalls = 512

// carriedCalls holds the keys of all calls that a connection has carried. A server may send a
// reply again, at the point where the reply to a later call is due, and only the echoed ids tell
// the copy from that reply. They tell it only if no two calls on the connection have the same ids,
// but all attempts to run a request bear the caller's id.
type carriedCalls struct {
	keys []uint64
}

// add records a call.
func (c *carriedCalls) add(key uint64) { c.keys = append(c.keys, key) }

// has reports whether a call with the key was recorded. Two keys may be equal by chance, which
// costs no more than the use of another connection.
func (c *carriedCalls) has(key uint64) bool { return slices.Contains(c.keys, key) }

// count returns the number of recorded calls.
func (c *carriedCalls) count() int { return len(c.keys) }

// full reports whether no further call may be recorded.
func (c *carriedCalls) full() bool { return len(c.keys) >= maxCarriedCalls }
