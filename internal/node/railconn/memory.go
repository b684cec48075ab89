package railconn

import "github.com/cockroachdb/errors"

const (
	// minReservedBytes is the size up to which requests need no reservation: that of the server's own buffers.
	minReservedBytes = 64 << 10
	// reservedStepBytes is the unit of reservations.
	reservedStepBytes = 256 << 10
)

var errNoMemory = errors.New("no memory is left for the request")

// reserveMemory reserves memory for what has arrived of the current request. It returns false if there is not enough.
func (c *Conn) reserveMemory() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.memory == nil || c.state != connReceiving || c.progress.bytes <= minReservedBytes {
		return true
	}
	if c.progress.bytes <= c.reserved {
		return true
	}
	missing := (c.progress.bytes - c.reserved + reservedStepBytes - 1) / reservedStepBytes * reservedStepBytes
	if !c.memory.TryAcquire(missing) {
		c.outOfMemory = true
		return false
	}
	c.reserved += missing
	return true
}

// releaseMemory returns what the current request has reserved. The caller must hold the lock.
func (c *Conn) releaseMemory() {
	if c.reserved > 0 {
		c.memory.Release(c.reserved)
		c.reserved = 0
	}
}

func (c *Conn) isOutOfMemory() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.outOfMemory
}
