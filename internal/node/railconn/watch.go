package railconn

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
		c.interrupt(true)
		<-done
		c.interrupt(false)
	}
}

// interrupt ends Watch's read, or lets reads wait again.
func (c *Conn) interrupt(interrupted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interrupted = interrupted
	_ = c.limitRead() // On a closed connection, the read has already returned.
}

// takeSavedRead returns the result of Watch's read, or zero values if there is none.
func (c *Conn) takeSavedRead(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.buffered) > 0 {
		n := copy(p, c.buffered)
		c.buffered = c.buffered[n:]
		return n, nil
	}
	return 0, c.readErr
}

func (c *Conn) saveRead(data []byte, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.buffered = append(c.buffered, data...)
	c.readErr = err
}
