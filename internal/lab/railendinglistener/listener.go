package railendinglistener

import (
	"net"
	"sync"
)

// Listener keeps the connections that it has accepted. It is safe for concurrent use.
type Listener struct {
	net.Listener

	mu    sync.Mutex
	conns []net.Conn
	ended bool
}

// Accept returns the next connection, or the error of the underlying listener.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		_ = conn.Close()
	}
	l.conns = append(l.conns, conn)
	return conn, nil
}

// EndProcess closes the listener and all connections that were accepted.
func (l *Listener) EndProcess() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended = true
	_ = l.Close() // It may be closed already.
	for _, conn := range l.conns {
		_ = conn.Close()
	}
}
