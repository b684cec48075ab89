package railconn

import (
	"net"
	"sync"
	"time"
)

// Conn is a caller's connection.
type Conn struct {
	net.Conn

	// onClose is called when the connection is closed.
	onClose func()

	mu sync.Mutex
	// buffered and readErr hold the result of Watch's read until Read returns it.
	buffered []byte
	readErr  error
	// busy is set while a request is being received or answered.
	busy bool
}

// Watch calls onDisconnect if the caller disconnects before stop is called. The connection must not be read until stop has returned.
func (c *Conn) Watch(onDisconnect func()) (stop func()) {
	done := make(chan struct{})
	stopped := make(chan struct{})
	go func() {
		defer close(done)
		var b [1]byte
		n, err := c.Conn.Read(b[:])
		select {
		case <-stopped:
			err = nil // The read was interrupted by stop.
		default:
		}
		c.saveRead(b[:n], err)
		if err != nil {
			onDisconnect()
		}
	}()
	return func() {
		close(stopped)
		_ = c.SetReadDeadline(time.Unix(1, 0)) // Interrupts the read. On a closed connection, it has already returned.
		<-done
		_ = c.SetReadDeadline(time.Time{})
	}
}

// Read reads from the connection, beginning with the data that was received during Watch.
func (c *Conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	if len(c.buffered) > 0 {
		n := copy(p, c.buffered)
		c.buffered = c.buffered[n:]
		c.mu.Unlock()
		return n, nil
	}
	err := c.readErr
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

// Close closes the connection and calls onClose.
func (c *Conn) Close() error {
	c.onClose()
	return c.Conn.Close()
}

// MarkIdle marks the connection as idle after a response, unless data of the next request has been received.
func (c *Conn) MarkIdle() {
	c.setBusy(false)
}

// Abort resets the connection, so that the caller can't take a partial response for a complete one.
func (c *Conn) Abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // Without this, Close would send a FIN, as after a complete response.
	}
	_ = c.Close()
}

func (c *Conn) setBusy(busy bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = busy || len(c.buffered) > 0
}

func (c *Conn) isBusy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.busy
}

func (c *Conn) saveRead(data []byte, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.buffered = append(c.buffered, data...)
	c.readErr = err
}
