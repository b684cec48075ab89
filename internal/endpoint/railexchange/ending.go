package railexchange

import (
	"io"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/endpoint/railending"
)

// connectionReader reads a body that ends with its connection.
type connectionReader struct {
	exchange *Exchange
	// err is the error that has ended the body.
	err error
}

func (r *connectionReader) Read(p []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	n, err := r.exchange.reader.Read(p)
	if err != nil && errors.Is(err, io.EOF) {
		if resetErr := railending.Await(r.exchange.conn, r.exchange.sent, userTimeout); resetErr != nil {
			err = resetErr
		}
	}
	r.err = err
	return n, err
}
