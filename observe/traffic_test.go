package observe

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// stuck is an output whose reader has stopped.
type stuck struct{ release chan struct{} }

func (s stuck) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// The reader of standard output stops. Requests must be answered all the same:
// their log lines are dropped, not waited for.
func TestLogNeverBlocks(t *testing.T) {
	is := is.New(t)
	out := stuck{make(chan struct{})}
	log, flush := NewRequestLogger(out)
	done := make(chan struct{})
	go func() {
		for range 4 * trafficLines {
			log.Info("request answered")
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(time.Minute):
		is.Fail() // a line waited for the reader
	}
	close(out.release)
	flush()
}

// On-call engineers must see that lines are missing, and all that were kept.
func TestDroppedLinesAreCounted(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	log, flush := NewRequestLogger(&out)
	log.Info("first")
	for range 3 * trafficLines { // faster than the rate allows
		log.Info("burst")
	}
	flush()
	text := out.String()
	is.True(strings.Contains(text, `"msg":"first"`))
	is.True(strings.Contains(text, `"msg":"log lines dropped","count":`))
	is.True(strings.Count(text, "burst") <= trafficLines+linesPerSecond)
}
