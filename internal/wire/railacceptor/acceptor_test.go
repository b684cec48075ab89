package railacceptor_test

import (
	"log/slog"
	"net"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/wire/railacceptor"
)

// failingListener fails with each of its errors in turn, and then accepts.
type failingListener struct {
	net.Listener
	errs []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errs) > 0 {
		err := l.errs[0]
		l.errs = l.errs[1:]
		return nil, err
	}
	client, server := net.Pipe()
	_ = client.Close()
	return server, nil
}

// Guards against a server that ends, and cuts all its requests, since there was no descriptor for a new connection.
func TestAcceptWaitsForDescriptors(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = lis.Close() }()
	shortage := func(errno syscall.Errno) error {
		return &net.OpError{Op: "accept", Net: "tcp", Err: &errnoError{errno}}
	}
	gone := errors.New("the listener is gone")
	failing := &failingListener{Listener: lis, errs: []error{shortage(syscall.EMFILE), shortage(syscall.ENFILE), shortage(syscall.ENOMEM)}}
	a := &railacceptor.Acceptor{Listener: failing, Log: slog.New(slog.DiscardHandler)}
	conn, err := a.Accept()
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, conn.Close(), qt.IsNil)
	failing.errs = []error{gone}
	_, err = a.Accept()
	qt.Check(t, err, qt.ErrorIs, gone)
}

// errnoError wraps an error number as the net package does.
type errnoError struct{ errno syscall.Errno }

func (e *errnoError) Error() string { return e.errno.Error() }
func (e *errnoError) Unwrap() error { return e.errno }
