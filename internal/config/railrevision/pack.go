package railrevision

import (
	"bytes"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/gzip"
)

// maxContentBytes limits the size of a decompressed revision.
const maxContentBytes = 64 << 20

// gzipWriters reuses writers because the compressor's tables are far larger than a revision.
var gzipWriters = sync.Pool{New: func() any { return gzip.NewWriter(nil) }}

// Pack returns the encoded revision compressed with gzip, as sent between processes.
func (r Revision) Pack() []byte {
	var packed bytes.Buffer
	w := gzipWriters.Get().(*gzip.Writer)
	defer gzipWriters.Put(w)
	w.Reset(&packed)
	_, err := w.Write(r.Encode())
	if err = errors.CombineErrors(err, w.Close()); err != nil {
		panic(errors.Wrap(err, "compress revision into a buffer"))
	}
	return packed.Bytes()
}

// Unpack decodes a packed revision. It returns an error for damaged content.
func Unpack(packed []byte) (Revision, error) {
	reader, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return Revision{}, errors.Wrap(err, "decompress revision")
	}
	content, err := io.ReadAll(io.LimitReader(reader, maxContentBytes))
	if err != nil {
		return Revision{}, errors.Wrap(err, "decompress revision")
	}
	return Decode(content)
}
