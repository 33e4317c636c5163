// Package logbuffer collects log output in memory, for tests.
package logbuffer

import (
	"bytes"
	"sync"
)

// Buffer is a zapcore.WriteSyncer that is safe for concurrent use. Its zero value
// is empty.
type Buffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (b *Buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// Sync implements zapcore.WriteSyncer.
func (*Buffer) Sync() error { return nil }

// String returns everything written so far.
func (b *Buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}
