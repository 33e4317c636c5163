package observe

import (
	"io"
	"strconv"
	"sync/atomic"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/time/rate"
)

const (
	// maxQueuedLines is the capacity of the writer's queue, about 1 MB.
	maxQueuedLines = 4096
	// maxLinesPerSecond is ten times the request rate of a small host.
	maxLinesPerSecond = 2000
	// maxBatchBytes is the size above which a batch takes no more lines.
	maxBatchBytes = 64 << 10
)

// NewRequestLogger returns a logger for lines about single requests, in JSON. It
// never blocks: lines that exceed the rate limit or the queue are dropped and
// counted, and the next write reports the count. flush writes the queued lines
// and stops the writer.
func NewRequestLogger(out io.Writer) (logger *zap.Logger, flush func()) {
	writer := &asyncWriter{
		lines:   make(chan []byte, maxQueuedLines),
		stop:    make(chan struct{}),
		done:    make(chan struct{}),
		limiter: rate.NewLimiter(maxLinesPerSecond, maxQueuedLines),
	}
	go writer.run(out)
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.ISO8601TimeEncoder
	config.EncodeDuration = zapcore.MillisDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), writer, zap.InfoLevel)
	return zap.New(core), writer.flush
}

// asyncWriter writes queued log lines from its own goroutine.
type asyncWriter struct {
	lines   chan []byte
	stop    chan struct{} // closed by flush
	done    chan struct{} // closed after the last write
	limiter *rate.Limiter
	dropped atomic.Int64
}

// Write implements io.Writer; it never blocks.
func (w *asyncWriter) Write(p []byte) (int, error) {
	if !w.limiter.Allow() {
		w.dropped.Add(1)
		return len(p), nil
	}
	line := append([]byte(nil), p...) // the encoder reuses its buffer
	select {
	case w.lines <- line:
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Sync implements zapcore.WriteSyncer.
func (w *asyncWriter) Sync() error { return nil }

func (w *asyncWriter) run(out io.Writer) {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			w.write(out, line)
		case <-w.stop:
			w.write(out, nil)
			return
		}
	}
}

// write writes a line and the queued ones in one batch.
func (w *asyncWriter) write(out io.Writer, first []byte) {
	batch := first
	for len(batch) < maxBatchBytes {
		select {
		case line := <-w.lines:
			batch = append(batch, line...)
			continue
		default:
		}
		break
	}
	if n := w.dropped.Swap(0); n > 0 {
		batch = append(batch, `{"level":"warn","msg":"log lines dropped","count":`+strconv.FormatInt(n, 10)+"}\n"...)
	}
	_, _ = out.Write(batch) // a log output error can't be logged
}

// flush writes the queued lines and stops the writer.
func (w *asyncWriter) flush() {
	close(w.stop)
	<-w.done
}
