package railconn

import (
	"syscall"
)

// readArrived reads what has arrived, although the time to wait for it is over.
func (c *Conn) readArrived(p []byte) (int, error) {
	c.setReadingArrived(true)
	defer c.setReadingArrived(false)
	return c.Conn.Read(p)
}

func (c *Conn) setReadingArrived(reading bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readingArrived = reading
	_ = c.limitRead() // On a closed connection, the next read fails anyway.
}

// refusesArrived reports whether data that has arrived is not read any more, since its request was cut off.
func (c *Conn) refusesArrived() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cutOff && c.state == connReceiving
}

// hasUnreadData reports whether data has arrived that has not been read.
func (c *Conn) hasUnreadData() bool {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false // The connection has been closed.
	}
	n := 0
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, _ = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT) // It fails if nothing has arrived.
	})
	return err == nil && n > 0
}

// hasMoreInput reports whether a response has been written and data of a further request has arrived.
func (c *Conn) hasMoreInput() bool {
	c.mu.Lock()
	written := (c.state == connAnswering || c.state == connAnswered) && !c.progress.aborted
	buffered := len(c.buffered) > 0
	c.mu.Unlock()
	return written && (buffered || c.hasUnreadData())
}
