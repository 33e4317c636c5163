package observe

import (
	"io"
	"sync/atomic"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// trafficLines is how many log lines wait for the writer at most. At 200 bytes
// each that is under a megabyte, and seconds of a busy host's lines.
const trafficLines = 4096

// NewTrafficLogger makes a logger for lines about single requests: JSON, one a
// line, written by a goroutine of its own. flush writes what waits and ends it.
//
// Failure: the reader of standard output is slow or has stopped; each request
// would wait for its log line. The guard holds because a line that finds the
// queue full is dropped and counted, and the next one that is written says how
// many were.
func NewTrafficLogger(out io.Writer) (logger *zap.Logger, flush func()) {
	w := &lineWriter{lines: make(chan []byte, trafficLines), done: make(chan struct{})}
	go w.run(out)
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.ISO8601TimeEncoder
	config.EncodeDuration = zapcore.MillisDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), w, zap.InfoLevel)
	return zap.New(core), w.close
}

type lineWriter struct {
	lines   chan []byte
	done    chan struct{}
	closed  atomic.Bool
	dropped atomic.Int64
}

// Write implements io.Writer; it never blocks.
func (w *lineWriter) Write(p []byte) (int, error) {
	if w.closed.Load() {
		return len(p), nil
	}
	line := append([]byte(nil), p...) // the encoder uses its buffer again
	select {
	case w.lines <- line:
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Sync implements zapcore.WriteSyncer.
func (w *lineWriter) Sync() error { return nil }

func (w *lineWriter) run(out io.Writer) {
	defer close(w.done)
	var batch []byte
	for line := range w.lines {
		if line == nil {
			return
		}
		batch = append(batch[:0], line...)
		batch = w.more(batch)
		if n := w.dropped.Swap(0); n > 0 {
			batch = append(batch, droppedLine(n)...)
		}
		_, _ = out.Write(batch) // there is nowhere to report it
	}
}
