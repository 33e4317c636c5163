package client

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestspan/goldcrestspan/entry"
)

// Guards against requests to unreachable advised hosts until the advice expires.
func TestSeedsReplaceUnreachableAdvisedHosts(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 4, 6, 8, 0, 0, 0, time.UTC)
	pool := newHostPool([]string{"seed-1", "dead-1"})
	pool.setAdvice(entry.Advice{Hosts: []entry.Host{{Address: "dead-1", Weight: 1}, {Address: "dead-2", Weight: 1}}, TTLMillis: 10_000}, now)
	pool.markUnavailable("dead-1", now)
	is.Equal(pool.pick(now, nil), "dead-2") // the last advised host available
	is.True(!pool.startRefresh(now))
	pool.markUnavailable("dead-2", now)
	is.Equal(pool.pick(now, nil), "seed-1")
	is.True(pool.startRefresh(now)) // before the advice expires
}
