package railconn

import (
	"net"
	"sync"

	"github.com/fulmarrail/fulmarrail/internal/limit/railconnlimits"
	"github.com/fulmarrail/fulmarrail/internal/limit/railmemory"
	"github.com/fulmarrail/fulmarrail/internal/node/railloss"
)

// Listener wraps accepted connections in Conn and tracks the open ones. Its exported fields must be set before first use.
type Listener struct {
	net.Listener
	// OnLoss is called, if it is set, for each connection that is closed so that its caller gets no complete response to something that it has sent.
	OnLoss func(railloss.Loss)

	// Limits returns the limits that are in force. If it is nil, there are none.
	Limits func() railconnlimits.Limits
	// Memory bounds the memory of all larger requests, from their arrival to the end of their responses. If it is nil, there is no bound.
	Memory *railmemory.Pool

	mu       sync.Mutex
	conns    map[*Conn]bool
	draining bool
}

// Accept returns the next connection as a *Conn, or the error of the underlying listener.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	c := &Conn{Conn: conn, draining: l.draining, currentLimits: l.Limits, onLoss: l.OnLoss, memory: l.Memory}
	if c.currentLimits == nil {
		c.currentLimits = func() railconnlimits.Limits { return railconnlimits.Limits{} }
	}
	c.onClose = func() { l.remove(c) }
	c.awaitFirst()
	if l.conns == nil {
		l.conns = map[*Conn]bool{}
	}
	l.conns[c] = true
	return c, nil
}

// Drain makes connections close when they are idle, now or later, and returns the number of those that are idle now. A connection
// without any request yet is not idle before a moment has passed, since one is likely on its way.
func (l *Listener) Drain() int {
	l.mu.Lock()
	l.draining = true
	l.mu.Unlock()
	return l.count((*Conn).drain)
}

// EndReceiving makes reading a request that has not arrived in full fail with a timeout, and closes connections on which none has begun to
// arrive. It returns the number of requests that have begun to arrive.
func (l *Listener) EndReceiving() int {
	return l.count((*Conn).endReceiving)
}

// Answering returns the number of open connections on which a request has been received and its response has not been written in
// full.
func (l *Listener) Answering() int {
	return l.count((*Conn).isAnswering)
}

// Busy returns the number of open connections on which a response is due or a request has begun to arrive.
func (l *Listener) Busy() int {
	return l.count((*Conn).isBusy)
}

// Open returns the number of open connections.
func (l *Listener) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// count returns the number of open connections for which f returns true.
func (l *Listener) count(f func(*Conn) bool) int {
	n := 0
	for _, c := range l.openConns() {
		if f(c) {
			n++
		}
	}
	return n
}

func (l *Listener) openConns() []*Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]*Conn, 0, len(l.conns))
	for c := range l.conns {
		list = append(list, c)
	}
	return list
}

func (l *Listener) remove(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}
