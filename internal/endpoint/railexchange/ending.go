package railexchange

import (
	"io"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// endingPollInterval is the interval at which a connection that the endpoint has ended is checked for a reset.
const endingPollInterval = 5 * time.Millisecond

// errReset means that a connection has broken, rather than been ended by the endpoint.
var errReset = errors.New("the connection was reset")

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
		err = r.exchange.awaitEnding()
	}
	r.err = err
	return n, err
}

// awaitEnding returns io.EOF if the endpoint has ended the connection after its response, and an error if the connection was reset. The kernel reports
// a reset once: if the sender gets it, the reader sees a plain end. An endpoint that has ended its sending direction may read on, or reset the
// connection when more of the request arrives there, so that the wait ends once the whole request has arrived, or has not for userTimeout.
func (e *Exchange) awaitEnding() error {
	for deadline := time.Now().Add(userTimeout); ; time.Sleep(endingPollInterval) {
		arrived := e.hasArrived() || time.Now().After(deadline)
		switch {
		case !e.isConnected(): // It would seem to have arrived.
			return errReset
		case arrived:
			return io.EOF
		}
	}
}

// isConnected reports whether the connection is still open in at least one direction.
func (e *Exchange) isConnected() bool {
	var peerErr error
	err := e.control(func(fd int) { _, peerErr = unix.Getpeername(fd) })
	return err == nil && !errors.Is(peerErr, syscall.ENOTCONN)
}

// hasArrived reports whether the endpoint's VM has acknowledged the whole request.
func (e *Exchange) hasArrived() bool {
	select {
	case <-e.sent:
	default:
		return false
	}
	var unacknowledged int
	var queueErr error
	err := e.control(func(fd int) { unacknowledged, queueErr = unix.IoctlGetInt(fd, unix.SIOCOUTQ) })
	return err != nil || queueErr != nil || unacknowledged == 0 // A kernel that can't tell has sent the request.
}

// control calls f with the connection's file descriptor.
func (e *Exchange) control(f func(fd int)) error {
	raw, err := e.conn.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Control(func(fd uintptr) { f(int(fd)) })
}
