package railacceptor

import (
	"log/slog"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const retryDelay = 20 * time.Millisecond

// Acceptor is a listener whose Accept waits while there are no descriptors or no memory for a connection. Its exported fields must be set
// before first use.
type Acceptor struct {
	net.Listener

	Log *slog.Logger
}

// Accept returns the next connection, or an error if there will be no further one.
func (a *Acceptor) Accept() (net.Conn, error) {
	for short := false; ; short = true {
		conn, err := a.Listener.Accept()
		if !isShortage(err) {
			return conn, err
		}
		if !short {
			a.Log.Warn("connections wait to be accepted", "listener", a.Addr().String(), "err", err)
		}
		time.Sleep(retryDelay)
	}
}

func isShortage(err error) bool {
	return errors.IsAny(err, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM)
}
