package admit

import (
	"time"

	"github.com/goldcrestspan/goldcrestspan/result"
)

// checkBounds keeps the host within its memory. A burst of large requests, or
// of one class, would otherwise exhaust it, or leave no room for the other
// classes: the unused part of every other class's reserved share is kept free.
func (c *Controller) checkBounds(now time.Time, cl *class, bytes int) *result.Error {
	freeRequests, freeBytes := c.available(cl)
	if freeRequests >= 1 && freeBytes >= bytes {
		return nil
	}
	refusal := result.Errorf(result.Overloaded, "this entry host has no room for more requests of class %s", cl.name)
	refusal.Reason = ReasonBounds
	refusal.RetryAfter = c.retryAfter(now, cl, 0)
	return refusal
}

// available is what the class may still take, in requests and bytes.
func (c *Controller) available(cl *class) (requests, bytes int) {
	requests = c.limits.MaxConcurrent - c.inFlight
	bytes = c.limits.MaxBytes - c.bytes
	for _, other := range c.classes {
		if other == cl {
			continue
		}
		requests -= unusedReserve(other.reserved, c.limits.MaxConcurrent, other.inFlight())
		bytes -= unusedReserve(other.reserved, c.limits.MaxBytes, other.bytes)
	}
	return requests, bytes
}

func unusedReserve(share float64, limit, used int) int {
	return max(0, int(share*float64(limit))-used)
}
