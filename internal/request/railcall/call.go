package railcall

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

// Call is a request that has begun; its fields are set before it is shared.
type Call struct {
	RequestID  string
	Key        string
	BodyDigest string
	StartedAt  time.Time
	// Idempotent calls may be ended when nobody follows them.
	Idempotent bool
	// InFlight is the number of requests at the endpoint when the call was admitted.
	InFlight int
	// Cancel ends the call's work at the endpoint.
	Cancel context.CancelFunc

	mu       sync.Mutex
	frames   []*railproto.Frame
	size     int
	done     bool
	followed int
	left     time.Time
	grown    chan struct{}
}

// Append adds a frame to the answer and numbers it; frames after the last one are ignored.
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
	if c.grown != nil {
		close(c.grown)
		c.grown = nil
	}
}

// Follow sends the frames from the given sequence on, under the follower's request id, until the last one; it
// returns an error when ctx is done or send fails.
func (c *Call) Follow(ctx context.Context, from uint64, requestID string, send func(*railproto.Frame) error) error {
	c.enter()
	defer c.leave()
	for i := from; ; i++ {
		f, err := c.frame(ctx, i)
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

// FinalFrame returns the last frame, or nil while the call runs.
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

// Size returns the bytes that the answer's frames hold.
func (c *Call) Size() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.size
}

// DetachedFor returns the time since the last follower left, or 0 while one follows.
func (c *Call) DetachedFor(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.followed > 0 || c.left.IsZero() {
		return 0
	}
	return now.Sub(c.left)
}

// frame waits for a frame and returns it.
func (c *Call) frame(ctx context.Context, i uint64) (*railproto.Frame, error) {
	for {
		c.mu.Lock()
		if i < uint64(len(c.frames)) {
			f := c.frames[i]
			c.mu.Unlock()
			return f, nil
		}
		if c.grown == nil {
			c.grown = make(chan struct{})
		}
		grown := c.grown
		c.mu.Unlock()
		select {
		case <-grown:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (c *Call) enter() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.followed++
}

func (c *Call) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.followed--
	c.left = time.Now()
}

// IsFinal reports whether no frame follows one of the kind.
func IsFinal(kind railproto.FrameKind) bool {
	switch kind {
	case railproto.FrameKind_FRAME_KIND_END, railproto.FrameKind_FRAME_KIND_REFUSED, railproto.FrameKind_FRAME_KIND_ABORTED:
		return true
	default:
		return false
	}
}
