package railconn

import (
	"net"
	"sync"
)

// Listener accepts connections as Conns and knows which of them are open; its field is set before its first use.
type Listener struct {
	net.Listener

	mu   sync.Mutex
	open map[*Conn]bool
}

// Accept returns the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &Conn{Conn: raw}
	c.closed = func() { l.forget(c) }
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open == nil {
		l.open = map[*Conn]bool{}
	}
	l.open[c] = true
	return c, nil
}

// CloseIdle closes the connections on which no request has begun to come and returns their number.
func (l *Listener) CloseIdle() int {
	closed := 0
	for _, c := range l.list() {
		if !c.isBusy() {
			_ = c.Close() // A caller that sends just now sees its request unread.
			closed++
		}
	}
	return closed
}

func (l *Listener) list() []*Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]*Conn, 0, len(l.open))
	for c := range l.open {
		list = append(list, c)
	}
	return list
}

func (l *Listener) forget(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
}
