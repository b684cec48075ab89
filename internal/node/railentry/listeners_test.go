package railentry_test

import (
	"net"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// asIs returns a listener without any change.
func asIs(lis net.Listener) net.Listener { return lis }

// holdingListener accepts connections. On those that it accepts once it is armed, the first call of Write returns only once release is
// closed. Its data is written before that, or after it if beforeWrite is set.
type holdingListener struct {
	net.Listener
	beforeWrite bool
	armed       atomic.Bool
	once        sync.Once
	// held is closed once a call of Write is held.
	held, release chan struct{}
}

func (l *holdingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil || !l.armed.Load() {
		return conn, err
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil, errors.Newf("a connection of type %T", conn)
	}
	return &holdingConn{TCPConn: tcp, listener: l}, nil
}

func (l *holdingListener) hold() {
	l.once.Do(func() {
		close(l.held)
		<-l.release
	})
}

type holdingConn struct {
	*net.TCPConn
	listener *holdingListener
}

func (c *holdingConn) Write(p []byte) (int, error) {
	if c.listener.beforeWrite {
		c.listener.hold()
		return c.TCPConn.Write(p)
	}
	n, err := c.TCPConn.Write(p)
	c.listener.hold()
	return n, err
}

// brokenListener fails with err while it is broken.
type brokenListener struct {
	net.Listener
	err    error
	broken atomic.Bool
}

func (l *brokenListener) Accept() (net.Conn, error) {
	if l.broken.Load() {
		return nil, l.err
	}
	return l.Listener.Accept()
}
