package railconn

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/node/railloss"
)

// maxLossHeadBytes bounds the discarded data that is kept to tell which request it was, in bytes.
const maxLossHeadBytes = 4 << 10

// progress is what a connection has received and written since its last complete response. The connection's lock guards it.
type progress struct {
	bytes             int
	head              []byte
	first, last, ends time.Time
	readErr, writeErr error
	requestID         string
	// wrote is set once something has been written, aborted if the connection was reset on purpose, and reported once it has been closed.
	wrote, aborted, reported bool
}

// noteRead records the result of a read.
func (c *Conn) noteRead(p []byte, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	got := &c.progress
	if err != nil {
		got.readErr = err
	}
	if len(p) == 0 {
		return
	}
	got.last = time.Now()
	if got.bytes == 0 {
		got.first = got.last
	}
	got.bytes += len(p)
	if c.state == connEnding {
		got.head = append(got.head, p[:min(len(p), maxLossHeadBytes-len(got.head))]...)
	}
}

// noteBuffered records that the server has turned to a request. If nothing was received since the last response, it had read the request's first byte
// with the one before.
func (c *Conn) noteBuffered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if got := &c.progress; got.bytes == 0 {
		got.bytes, got.first, got.last = 1, time.Now(), time.Now()
	}
}

// noteWrite records the result of a write. An error counts only if the connection was not reset on purpose.
func (c *Conn) noteWrite(n int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.progress.wrote = c.progress.wrote || n > 0
	if err != nil && !c.progress.aborted {
		c.progress.writeErr = err
	}
}

// noteAbort records that the connection is reset on purpose.
func (c *Conn) noteAbort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.progress.aborted = true
}

// noteEnd records that the end of the connection is sent. What is received from now on is counted by itself.
func (c *Conn) noteEnd() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.progress.bytes, c.progress.ends = 0, time.Now()
}

// takeLoss returns what was lost with the connection, which is being closed. It returns false if nothing was, or if it was called before.
func (c *Conn) takeLoss() (railloss.Loss, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	got := &c.progress
	if got.reported {
		return railloss.Loss{}, false
	}
	got.reported = true
	loss := railloss.Loss{
		RequestID: got.requestID, Bytes: got.bytes, Head: got.head, SinceFirst: since(got.first), SinceLast: since(got.last), SinceEnd: since(got.ends),
		Draining: c.draining, Err: got.readErr,
	}
	switch {
	case got.writeErr != nil:
		loss.Kind, loss.Err = railloss.Unwritten, got.writeErr
	case got.bytes == 0:
		return railloss.Loss{}, false
	case c.state == connEnding:
		loss.Kind = railloss.Discarded
	case c.state == connReceiving && (!got.wrote || isDisconnect(got.readErr)):
		loss.Kind = railloss.Incomplete
	case c.state == connAnswering && !got.wrote:
		loss.Kind = railloss.Unanswered
	default:
		return railloss.Loss{}, false
	}
	return loss, true
}

// isDisconnect reports whether a read failed because the caller has left.
func isDisconnect(err error) bool {
	var netErr net.Error
	return err != nil && (!errors.As(err, &netErr) || !netErr.Timeout())
}

// since returns the time since t, or 0 if t is not set.
func since(t time.Time) time.Duration {
	if t.IsZero() {
		return 0
	}
	return time.Since(t)
}
