package discover

import (
	"bytes"
	"compress/gzip"
	"io"
	"sync"

	"github.com/pkg/errors"

	"github.com/goldcrestspan/goldcrestspan/metastore"
)

// compressor compresses large values for peers. It caches the last one, since the same
// configuration goes to every host of the zone.
type compressor struct {
	mu         sync.Mutex
	key        string
	revision   metastore.Revision
	compressed []byte
}

// minCompressBytes is the size from which values are compressed. Servers' entries are
// smaller, and not worth a compressor each.
const minCompressBytes = 4 << 10

func (c *compressor) compress(object metastore.Object) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.key == object.Key && c.revision == object.Revision {
		return c.compressed, nil
	}
	var compressed bytes.Buffer
	w := gzip.NewWriter(&compressed)
	if _, err := w.Write(object.Value); err != nil {
		return nil, errors.Wrap(err, "pack")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "pack")
	}
	c.key, c.revision, c.compressed = object.Key, object.Revision, compressed.Bytes()
	return c.compressed, nil
}

func decompress(compressed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, errors.Wrap(err, "unpack")
	}
	value, err := io.ReadAll(io.LimitReader(r, metastore.MaxValueBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "unpack")
	}
	if len(value) > metastore.MaxValueBytes {
		return nil, errors.New("unpack: value exceeds the store's size limit")
	}
	return value, nil
}
