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

// Link relays TCP connections to a target. Its exported fields must be set before Run is called.
type Link struct {
	// Target is the address that connections are relayed to.
	Target string
	// Delay is the one-way latency.
	Delay time.Duration
	// ForwardLimiter and ReverseLimiter limit the bytes per second to and from the target. Links may share them; nil means no limit.
	ForwardLimiter, ReverseLimiter *rate.Limiter

	mu    sync.Mutex
	down  bool
	conns map[net.Conn]bool
}

type segment struct {
	data      []byte
	deliverAt time.Time
}

// Run accepts and relays connections until ctx is done.
func (l *Link) Run(ctx context.Context, listener net.Listener) {
	stop := context.AfterFunc(ctx, func() {
		_ = listener.Close()
		l.SetDown(true)
	})
	defer stop()
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		go l.relay(ctx, client)
	}
}

// SetDown interrupts the link, which closes all its connections, or restores it.
func (l *Link) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
	if !down {
		return
	}
	for conn := range l.conns {
		_ = conn.Close()
	}
	clear(l.conns)
}

func (l *Link) relay(ctx context.Context, client net.Conn) {
	target, err := net.Dial("tcp", l.Target)
	if err != nil || !l.addConns(client, target) {
		_ = client.Close()
		if target != nil {
			_ = target.Close()
		}
		return
	}
	defer l.removeConns(client, target)
	done := make(chan struct{}, 2)
	go l.forward(ctx, client, target, l.ForwardLimiter, done)
	go l.forward(ctx, target, client, l.ReverseLimiter, done)
	<-done
}

// addConns adds the connections of a relay. It returns false if the link is down.
func (l *Link) addConns(client, target net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return false
	}
	if l.conns == nil {
		l.conns = map[net.Conn]bool{}
	}
	l.conns[client], l.conns[target] = true, true
	return true
}

// removeConns closes and removes the connections of a relay.
func (l *Link) removeConns(client, target net.Conn) {
	_ = client.Close()
	_ = target.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, client)
	delete(l.conns, target)
}

// forward copies bytes in one direction. It delivers each segment after Delay and within the rate of the limiter.
func (l *Link) forward(ctx context.Context, from io.Reader, to io.Writer, limiter *rate.Limiter, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	segments := make(chan segment, segmentQueue)
	go func() {
		defer close(segments)
		for {
			buf := make([]byte, segmentBytes)
			n, err := from.Read(buf)
			if n > 0 {
				segments <- segment{data: buf[:n], deliverAt: time.Now().Add(l.Delay)}
			}
			if err != nil {
				return
			}
		}
	}()
	failed := false
	for s := range segments {
		if failed {
			continue // Drains the queue, so that the reader goroutine can end.
		}
		time.Sleep(time.Until(s.deliverAt))
		if limiter != nil && limiter.WaitN(ctx, len(s.data)) != nil {
			failed = true
			continue
		}
		if _, err := to.Write(s.data); err != nil {
			failed = true
		}
	}
}
