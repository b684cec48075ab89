package railending

import (
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// pollInterval is the interval at which a connection that its peer has ended is checked for a reset.
const pollInterval = 5 * time.Millisecond

// ErrReset means that a connection has broken, rather than been ended by its peer.
var ErrReset = errors.New("the connection was reset")

// Await returns nil if a connection of which the reader has seen the end was ended by its peer, and ErrReset if it was reset. The kernel reports a reset
// once: if the writer gets it, or the peer has ended its sending direction before, the reader sees a plain end. A peer that has ended its sending
// direction may read on, or reset the connection when more of what was sent arrives there, so that Await returns once all of it has arrived, or has not
// for timeout. written is closed once the writer is done; nil means that it was before. The connection must not have been closed, nor its sending
// direction.
func Await(conn syscall.Conn, written <-chan struct{}, timeout time.Duration) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return errors.CombineErrors(ErrReset, err)
	}
	for deadline := time.Now().Add(timeout); ; time.Sleep(pollInterval) {
		arrived := hasArrived(raw, written) || time.Now().After(deadline)
		switch {
		case !isConnected(raw): // All would seem to have arrived.
			return ErrReset
		case arrived:
			return nil
		}
	}
}

// isConnected reports whether a connection is still open in at least one direction.
func isConnected(raw syscall.RawConn) bool {
	var peerErr error
	err := raw.Control(func(fd uintptr) { _, peerErr = unix.Getpeername(int(fd)) })
	return err == nil && !errors.Is(peerErr, syscall.ENOTCONN)
}

// hasArrived reports whether the peer's VM has acknowledged all that was sent.
func hasArrived(raw syscall.RawConn, written <-chan struct{}) bool {
	if written != nil {
		select {
		case <-written:
		default:
			return false
		}
	}
	var unacknowledged int
	var queueErr error
	err := raw.Control(func(fd uintptr) { unacknowledged, queueErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	return err != nil || queueErr != nil || unacknowledged == 0 // A kernel that can't tell has taken all of it.
}
