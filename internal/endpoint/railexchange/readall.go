package railexchange

import (
	"bytes"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/limit/railmemory"
)

const (
	bodyBlockBytes = 64 << 10
	// freeBodyBytes is the part of each body that is not taken from the shared memory, so that bodies without end at some endpoints
	// leave room for usual bodies from the others.
	freeBodyBytes = 4 * bodyBlockBytes
)

var errBodyMemory = errors.New("there is no memory for the rest of the answer")

// ReadAll reads the rest of the response body. It returns an error if the body is truncated or larger than maxBytes, or if it needs more
// memory than is left in the pool. While a body is read, the part of it over 256 KiB is taken from the pool. A nil pool has no limit.
func (e *Exchange) ReadAll(maxBytes int, pool *railmemory.Pool) ([]byte, error) {
	var blocks [][]byte
	acquired, size := 0, 0
	defer func() {
		if pool != nil {
			pool.Release(acquired)
		}
	}()
	for {
		if pool != nil && size >= freeBodyBytes {
			if !pool.TryAcquire(bodyBlockBytes) {
				return nil, errBodyMemory
			}
			acquired += bodyBlockBytes
		}
		block, err := e.readBlock()
		blocks = append(blocks, block)
		size += len(block)
		switch {
		case size > maxBytes:
			return nil, errors.Newf("the answer is over %d bytes", maxBytes)
		case errors.Is(err, io.EOF):
			return bytes.Join(blocks, nil), nil
		case err != nil:
			return nil, err
		}
	}
}

// readBlock reads up to bodyBlockBytes of the body. It returns an error with the bytes if the body ends or is truncated after them.
func (e *Exchange) readBlock() ([]byte, error) {
	var b bytes.Buffer
	n, err := b.ReadFrom(io.LimitReader(e, bodyBlockBytes))
	if err == nil && n < bodyBlockBytes {
		err = io.EOF
	}
	return b.Bytes(), err
}
