package admit

import (
	"time"

	"github.com/goldcrestspan/goldcrestspan/result"
)

// judgeBounds keeps the host within its memory.
//
// Load: a burst of requests with large bodies, or of one class. Harm
// prevented: a small host without disks runs out of memory and takes all its
// requests with it; exports fill the host and screens find no room. Limits:
// requests and bytes in flight from the settings; of both, the unused part of
// every other class's reserved share is out of reach.
func (c *Controller) judgeBounds(now time.Time, cl *class, bytes int) *result.Error {
	countRoom, bytesRoom := c.room(cl)
	if countRoom >= 1 && bytesRoom >= bytes {
		return nil
	}
	refusal := result.Errorf(result.Overloaded, "this entry host has no room for more requests of class %s", cl.name)
	refusal.RetryAfter = c.comeBack(now, cl, 0)
	return refusal
}

// room is what is left to the class, in requests and bytes.
func (c *Controller) room(cl *class) (requests, bytes int) {
	requests = c.limits.MaxConcurrent - c.count
	bytes = c.limits.MaxBytes - c.bytes
	for _, other := range c.classes {
		if other == cl {
			continue
		}
		requests -= unused(other.reserved, c.limits.MaxConcurrent, other.count())
		bytes -= unused(other.reserved, c.limits.MaxBytes, other.bytes)
	}
	return requests, bytes
}

func unused(share float64, limit, used int) int {
	return max(0, int(share*float64(limit))-used)
}
