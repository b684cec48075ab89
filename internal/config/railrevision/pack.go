package railrevision

import (
	"bytes"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/gzip"
)

const maxContentBytes = 64 << 20

// writers keeps the compressor's tables, which are far larger than a revision.
var gzipWriters = sync.Pool{New: func() any { return gzip.NewWriter(nil) }}

// Pack returns the revision's content compressed, as processes send it to each other.
func (r Revision) Pack() []byte {
	var packed bytes.Buffer
	w := gzipWriters.Get().(*gzip.Writer)
	defer gzipWriters.Put(w)
	w.Reset(&packed)
	_, err := w.Write(r.Encode())
	if err = errors.CombineErrors(err, w.Close()); err != nil {
		panic(errors.Wrap(err, "a buffer takes all that is written"))
	}
	return packed.Bytes()
}

// Unpack returns the revision in its packed form, or an error for a damaged one.
func Unpack(packed []byte) (Revision, error) {
	reader, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return Revision{}, errors.Wrap(err, "unpack the revision")
	}
	content, err := io.ReadAll(io.LimitReader(reader, maxContentBytes))
	if err != nil {
		return Revision{}, errors.Wrap(err, "unpack the revision")
	}
	return Decode(content)
}
