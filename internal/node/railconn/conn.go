package railconn

import (
	"net"
	"sync"
	"time"
)

// Conn is a caller's connection.
type Conn struct {
	net.Conn

	mu      sync.Mutex
	pending []byte
	err     error
}

// Listener accepts connections as Conns.
type Listener struct {
	net.Listener
}

// Accept returns the next connection.
func (l Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: c}, nil
}

// Watch calls left when the caller leaves before the returned function is called; that function returns once reading may
// go on.
func (c *Conn) Watch(left func()) (stop func()) {
	done := make(chan struct{})
	stopped := make(chan struct{})
	go func() {
		defer close(done)
		var b [1]byte
		n, err := c.Conn.Read(b[:])
		select {
		case <-stopped:
			err = nil // The read was ended from this side.
		default:
		}
		c.keep(b[:n], err)
		if err != nil {
			left()
		}
	}()
	return func() {
		close(stopped)
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // Ends the read; a closed connection has ended it already.
		<-done
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
}

// Read reads what the caller sends, with what came while it was watched first.
func (c *Conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	if len(c.pending) > 0 {
		n := copy(p, c.pending)
		c.pending = c.pending[n:]
		c.mu.Unlock()
		return n, nil
	}
	err := c.err
	c.mu.Unlock()
	if err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// Abort ends the connection by a reset, so that what was written can't look whole.
func (c *Conn) Abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // Without it the close would look like a regular end.
	}
	_ = c.Conn.Close()
}

func (c *Conn) keep(data []byte, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending = append(c.pending, data...)
	c.err = err
}
