package discover

import (
	"bytes"
	"compress/gzip"
	"io"
	"sync"

	"github.com/pkg/errors"

	"github.com/goldcrestspan/goldcrestspan/metastore"
)

// packer packs large values for peers. It keeps the last one: a configuration
// of a thousand routes goes to every host of the zone, and packing it takes
// some 5 ms of a small host's processor. Servers' entries go as they are: a
// compressor for each of hundreds took a megabyte and a millisecond each.
type packer struct {
	mu       sync.Mutex
	key      string
	revision metastore.Revision
	packed   []byte
}

// packFrom is the size from which values are packed, in bytes.
const packFrom = 4 << 10

func (p *packer) pack(object metastore.Object) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.key == object.Key && p.revision == object.Revision {
		return p.packed, nil
	}
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	if _, err := w.Write(object.Value); err != nil {
		return nil, errors.Wrap(err, "pack")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "pack")
	}
	p.key, p.revision, p.packed = object.Key, object.Revision, out.Bytes()
	return p.packed, nil
}

func unpack(packed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, errors.Wrap(err, "unpack")
	}
	value, err := io.ReadAll(io.LimitReader(r, metastore.MaxValueBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "unpack")
	}
	if len(value) > metastore.MaxValueBytes {
		return nil, errors.New("unpack: the value is over the store's limit")
	}
	return value, nil
}
