package railconn

import (
	"net"
	"sync"
	"time"
)

// Conn is a caller's connection.
type Conn struct {
	net.Conn

	// closed is called when the connection is closed.
	closed func()

	mu      sync.Mutex
	pending []byte
	err     error
	// busy says that a request has begun to come, or is being answered.
	busy bool
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
		_ = c.SetReadDeadline(time.Unix(1, 0)) // Ends the read; a closed connection has ended it already.
		<-done
		_ = c.SetReadDeadline(time.Time{})
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
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.setBusy(true)
	}
	return n, err
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.closed()
	return c.Conn.Close()
}

// MarkIdle notes that a request has been answered and that the next one has not begun to come.
func (c *Conn) MarkIdle() {
	c.setBusy(false)
}

// Abort ends the connection by a reset, so that what was written can't look whole.
func (c *Conn) Abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // Without it the close would look like a regular end.
	}
	_ = c.Close()
}

func (c *Conn) setBusy(busy bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = busy || len(c.pending) > 0
}

func (c *Conn) isBusy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.busy
}

func (c *Conn) keep(data []byte, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending = append(c.pending, data...)
	c.err = err
}
