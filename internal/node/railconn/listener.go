package railconn

import (
	"net"
	"sync"
	"time"
)

// Listener wraps accepted connections in Conn and tracks the open ones. Its exported field must be set before first use.
type Listener struct {
	net.Listener

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
	c := &Conn{Conn: conn, draining: l.draining, stateSince: time.Now()}
	c.onClose = func() { l.remove(c) }
	if l.conns == nil {
		l.conns = map[*Conn]bool{}
	}
	l.conns[c] = true
	return c, nil
}

// Drain makes connections close when they are idle, now or later, and returns the number of those that are idle now. A connection
// without any request yet is not idle, since one is likely on its way.
func (l *Listener) Drain() int {
	l.mu.Lock()
	l.draining = true
	l.mu.Unlock()
	idle := 0
	for _, c := range l.openConns() {
		if c.drain() {
			idle++
		}
	}
	return idle
}

// Answering returns the number of open connections on which a request has been received and its response has not been written in
// full.
func (l *Listener) Answering() int {
	n := 0
	for _, c := range l.openConns() {
		if c.isAnswering() {
			n++
		}
	}
	return n
}

// Pending returns the number of open connections on which a response is due, or which were opened, or began to receive a request, less than
// newRequestTime ago.
func (l *Listener) Pending() int {
	n := 0
	for _, c := range l.openConns() {
		if c.isPending(time.Now()) {
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
