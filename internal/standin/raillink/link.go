package raillink

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	segmentBytes = 16 << 10
	segmentQueue = 256
)

// Link relays connections to a target; its fields are set before Run.
type Link struct {
	Target string
	// Delay is the one-way latency.
	Delay time.Duration
	// Forth and Back pace the bytes each way and may be shared by links; nil does not pace.
	ForwardLimiter, ReverseLimiter *rate.Limiter

	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]bool
}

type segment struct {
	data []byte
	due  time.Time
}

// Run relays until ctx is done.
func (l *Link) Run(ctx context.Context, lis net.Listener) {
	stop := context.AfterFunc(ctx, func() {
		_ = lis.Close()
		l.SetDown(true)
	})
	defer stop()
	for {
		near, err := lis.Accept()
		if err != nil {
			return
		}
		go l.relay(ctx, near)
	}
}

// SetDown cuts the link, with all connections over it, or mends it.
func (l *Link) SetDown(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	if !cut {
		return
	}
	for conn := range l.conns {
		_ = conn.Close()
	}
	clear(l.conns)
}

func (l *Link) relay(ctx context.Context, near net.Conn) {
	far, err := net.Dial("tcp", l.Target)
	if err != nil || !l.register(near, far) {
		_ = near.Close()
		if far != nil {
			_ = far.Close()
		}
		return
	}
	defer l.forget(near, far)
	done := make(chan struct{}, 2)
	go l.pump(ctx, near, far, l.ForwardLimiter, done)
	go l.pump(ctx, far, near, l.ReverseLimiter, done)
	<-done
}

func (l *Link) register(near, far net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut {
		return false
	}
	if l.conns == nil {
		l.conns = map[net.Conn]bool{}
	}
	l.conns[near], l.conns[far] = true, true
	return true
}

func (l *Link) forget(near, far net.Conn) {
	_ = near.Close()
	_ = far.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, near)
	delete(l.conns, far)
}

// pump moves bytes one way; each segment arrives after the delay and at the link's pace.
func (l *Link) pump(ctx context.Context, from io.Reader, to io.Writer, pace *rate.Limiter, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	segments := make(chan segment, segmentQueue)
	go func() {
		defer close(segments)
		for {
			buf := make([]byte, segmentBytes)
			n, err := from.Read(buf)
			if n > 0 {
				segments <- segment{data: buf[:n], due: time.Now().Add(l.Delay)}
			}
			if err != nil {
				return
			}
		}
	}()
	failed := false
	for s := range segments {
		if failed {
			continue // Empties the queue, so that the reader can end.
		}
		time.Sleep(time.Until(s.due))
		if pace != nil && pace.WaitN(ctx, len(s.data)) != nil {
			failed = true
			continue
		}
		if _, err := to.Write(s.data); err != nil {
			failed = true
		}
	}
}
