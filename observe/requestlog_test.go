package observe

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// blockedWriter blocks until it is released.
type blockedWriter struct{ release chan struct{} }

func (w blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return len(p), nil
}

// Guards against requests that block on a stalled log output.
func TestRequestLoggerNeverBlocks(t *testing.T) {
	is := is.New(t)
	out := blockedWriter{make(chan struct{})}
	log, flush := NewRequestLogger(out)
	done := make(chan struct{})
	go func() {
		for range 4 * maxQueuedLines {
			log.Info("request answered")
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(time.Minute):
		is.Fail() // logging blocked on the output
	}
	close(out.release)
	flush()
}

// Guards against log lines that are lost without notice.
func TestDroppedLinesAreCounted(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	log, flush := NewRequestLogger(&out)
	log.Info("first")
	for range 3 * maxQueuedLines { // exceeds the rate limit
		log.Info("burst")
	}
	flush()
	text := out.String()
	is.True(strings.Contains(text, `"msg":"first"`))
	is.True(strings.Contains(text, `"msg":"log lines dropped","count":`))
	is.True(strings.Count(text, "burst") <= maxQueuedLines+maxLinesPerSecond)
}
