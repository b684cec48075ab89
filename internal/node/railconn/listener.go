package railconn

import (
	"net"
	"sync"
)

// Listener wraps accepted connections in Conn and tracks the open ones. Its exported field must be set before first use.
type Listener struct {
	net.Listener

	mu    sync.Mutex
	conns map[*Conn]bool
}

// Accept returns the next connection as a *Conn, or the error of the underlying listener.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &Conn{Conn: conn}
	c.onClose = func() { l.remove(c) }
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns == nil {
		l.conns = map[*Conn]bool{}
	}
	l.conns[c] = true
	return c, nil
}

// CloseIdle closes the connections on which no request is being received or answered, and returns their number.
func (l *Listener) CloseIdle() int {
	closed := 0
	for _, c := range l.openConns() {
		if !c.isBusy() {
			_ = c.Close() // A caller that sends a request at this moment can tell that it was not read.
			closed++
		}
	}
	return closed
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
