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

// minCompressBytes is the size in bytes from which values are compressed. Servers' entries are
// smaller, and not worth a compressor each.
const minCompressBytes = 4 << 10

func (p *compressor) compress(object metastore.Object) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.key == object.Key && p.revision == object.Revision {
		return p.compressed, nil
	}
	var compressed bytes.Buffer
	w := gzip.NewWriter(&compressed)
	if _, err := w.Write(object.Value); err != nil {
		return nil, errors.Wrap(err, "pack")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "pack")
	}
	p.key, p.revision, p.compressed = object.Key, object.Revision, compressed.Bytes()
	return p.compressed, nil
}

func decompress(packed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
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
