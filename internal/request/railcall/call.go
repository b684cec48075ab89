package railcall

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

// Call is a request that has begun. Its exported fields must be set before it is shared. It is safe for concurrent use.
type Call struct {
	RequestID string
	// Key is the name of the row that is claimed for the request, or an empty string if no claim is needed.
	Key        string
	BodyDigest string
	StartedAt  time.Time
	// Idempotent calls may be canceled while they have no follower.
	Idempotent bool
	// InFlight is the number of requests at the endpoint when the call was admitted, this one included.
	InFlight int
	// Cancel stops the call's work at the endpoint.
	Cancel context.CancelFunc

	mu         sync.Mutex
	frames     []*railproto.Frame
	size       int
	done       bool
	followers  int
	detachedAt time.Time
	// changed is closed when a frame is appended. It is nil while no follower waits.
	changed chan struct{}
}

// Append appends a frame to the response and sets its request ID and sequence number. Frames after the final one are ignored.
func (c *Call) Append(f *railproto.Frame) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.done {
		return
	}
	f.RequestId = c.RequestID
	f.Sequence = uint64(len(c.frames))
	c.frames = append(c.frames, f)
	c.size += len(f.GetData())
	c.done = IsFinal(f.GetKind())
	if c.changed != nil {
		close(c.changed)
		c.changed = nil
	}
}

// Follow sends the frames, starting at fromSequence, under the follower's request ID until the final one. It returns an error if
// ctx is done or send fails.
func (c *Call) Follow(ctx context.Context, fromSequence uint64, requestID string, send func(*railproto.Frame) error) error {
	c.addFollower()
	defer c.removeFollower()
	for sequence := fromSequence; ; sequence++ {
		f, err := c.frame(ctx, sequence)
		if err != nil {
			return err
		}
		if f.GetRequestId() != requestID {
			f = proto.CloneOf(f)
			f.RequestId = requestID
		}
		if err := send(f); err != nil {
			return err
		}
		if IsFinal(f.GetKind()) {
			return nil
		}
	}
}

// FinalFrame returns the final frame, or nil while the call is running.
func (c *Call) FinalFrame() *railproto.Frame {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.done || len(c.frames) == 0 {
		return nil
	}
	return c.frames[len(c.frames)-1]
}

// Done reports whether the call has ended.
func (c *Call) Done() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.done
}

// Size returns the size of the response's data so far, in bytes.
func (c *Call) Size() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.size
}

// Followed reports whether the call has followers.
func (c *Call) Followed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.followers > 0
}

// DetachedFor returns the time since the last follower left, or 0 if there are followers or never was one.
func (c *Call) DetachedFor(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.followers > 0 || c.detachedAt.IsZero() {
		return 0
	}
	return now.Sub(c.detachedAt)
}

// frame returns the frame with the given sequence number, waiting for it if needed.
func (c *Call) frame(ctx context.Context, sequence uint64) (*railproto.Frame, error) {
	for {
		c.mu.Lock()
		if sequence < uint64(len(c.frames)) {
			f := c.frames[sequence]
			c.mu.Unlock()
			return f, nil
		}
		if c.changed == nil {
			c.changed = make(chan struct{})
		}
		changed := c.changed
		c.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (c *Call) addFollower() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.followers++
}

func (c *Call) removeFollower() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.followers--
	c.detachedAt = time.Now()
}

// IsFinal reports whether a frame of the kind ends a response.
func IsFinal(kind railproto.FrameKind) bool {
	switch kind {
	case railproto.FrameKind_FRAME_KIND_END, railproto.FrameKind_FRAME_KIND_REFUSED, railproto.FrameKind_FRAME_KIND_ABORTED:
		return true
	default:
		return false
	}
}
