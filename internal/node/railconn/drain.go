package railconn

// drain makes Read close the connection now if it is idle, once its first request is overdue, or else once it becomes idle. It reports whether it
// is idle.
func (c *Conn) drain() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	_ = c.limitRead() // On a closed connection, the read has already returned.
	return c.state == connIdle
}

// endReceiving makes Read fail with a timeout where a request has not arrived in full, and close the connection where none has begun to. It reports
// whether this has cut off a request.
func (c *Conn) endReceiving() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cutOff {
		return false
	}
	c.draining, c.cutOff = true, true
	_ = c.limitRead() // On a closed connection, the read has already returned.
	return c.state == connReceiving
}

// sendEnd closes the connection for sending and discards what still arrives, using p as a buffer. Closing it entirely would reset it
// if a request arrived meanwhile, and a reset can cost the caller the response before it.
func (c *Conn) sendEnd(p []byte) {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	c.noteEnd()
	if err := c.beginEnding(); !ok || err != nil || half.CloseWrite() != nil {
		return // The connection is closed already, or is closed entirely by the server.
	}
	for {
		n, err := c.Conn.Read(p)
		c.noteRead(p[:n], err)
		if err != nil {
			return
		}
	}
}

func (c *Conn) beginEnding() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.enter(connEnding, lingerTimeout)
}
