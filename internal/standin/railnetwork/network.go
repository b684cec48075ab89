package railnetwork

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const backlog = 256

// Network connects in-memory listeners by name; its fields are set before its first use.
type Network struct {
	// Delay is the one-way latency.
	Delay time.Duration
	// CutShare is the share of connections that are cut after a random number of bytes up to CutBytes.
	ResetProbability    float64
	MaxBytesBeforeReset int
	Random              *rand.Rand

	mu        sync.Mutex
	listeners map[string]*listener
	conns     map[*conn]bool
	parted    map[[2]string]bool
}

// Listen returns a listener under a name, or an error when the name is taken.
func (n *Network) Listen(name string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners == nil {
		n.listeners = map[string]*listener{}
		n.conns = map[*conn]bool{}
		n.parted = map[[2]string]bool{}
	}
	if n.listeners[name] != nil {
		return nil, errors.Newf("the name %s is taken", name)
	}
	l := &listener{network: n, name: name, queue: make(chan net.Conn, backlog), closed: make(chan struct{})}
	n.listeners[name] = l
	return l, nil
}

// Dialer returns the dialer of the process with a name.
func (n *Network) Dialer(from string) func(ctx context.Context, to string) (net.Conn, error) {
	return func(ctx context.Context, to string) (net.Conn, error) {
		time.Sleep(n.Delay)
		near, far, l, err := n.connect(from, to)
		if err != nil {
			return nil, err
		}
		select {
		case l.queue <- far:
			return near, nil
		case <-l.closed:
		case <-ctx.Done():
		}
		_ = near.Close()
		return nil, errors.Newf("%s does not listen", to)
	}
}

// SetResets changes the share of new connections that are cut after a random number of bytes below the given one.
func (n *Network) SetResets(share float64, bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ResetProbability, n.MaxBytesBeforeReset = share, bytes
}

// Partition cuts all connections between two processes and lets no new ones through.
func (n *Network) Partition(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.parted[pair(a, b)] = true
	n.cutWhere(func(c *conn) bool { return pair(c.from, c.to) == pair(a, b) })
}

// Heal ends the parting of two processes.
func (n *Network) Heal(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.parted, pair(a, b))
}

// Disconnect cuts all connections of a process, as when it is killed.
func (n *Network) Disconnect(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cutWhere(func(c *conn) bool { return c.from == name || c.to == name })
}

// Kill ends a process's listener and all its connections, as when it is killed; a new one may listen under its name.
func (n *Network) Kill(name string) {
	n.mu.Lock()
	l := n.listeners[name]
	n.mu.Unlock()
	if l != nil {
		_ = l.Close()
	}
	n.Disconnect(name)
}

func (n *Network) connect(from, to string) (near, far net.Conn, l *listener, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l = n.listeners[to]
	if l == nil || n.parted[pair(from, to)] {
		return nil, nil, nil, errors.Newf("%s can't reach %s", from, to)
	}
	a, b := net.Pipe()
	budget := -1
	if n.ResetProbability > 0 && n.Random.Float64() < n.ResetProbability {
		budget = n.Random.IntN(n.MaxBytesBeforeReset)
	}
	nearConn := &conn{Conn: a, network: n, from: from, to: to, budget: -1}
	farConn := &conn{Conn: b, network: n, from: from, to: to, budget: budget}
	n.conns[nearConn], n.conns[farConn] = true, true
	return nearConn, farConn, l, nil
}

func (n *Network) cutWhere(match func(*conn) bool) {
	for c := range n.conns {
		if match(c) {
			_ = c.Conn.Close()
			delete(n.conns, c)
		}
	}
}

type listener struct {
	network *Network
	name    string
	queue   chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		delete(l.network.listeners, l.name)
	})
	return nil
}

func (l *listener) Addr() net.Addr { return address(l.name) }

type address string

func (a address) Network() string { return "memory" }
func (a address) String() string  { return string(a) }

type conn struct {
	net.Conn
	network  *Network
	from, to string

	mu     sync.Mutex
	budget int
}

// Write delays the bytes and cuts the connection once its budget of bytes is used up.
func (c *conn) Write(p []byte) (int, error) {
	time.Sleep(c.network.Delay)
	c.mu.Lock()
	cut := c.budget >= 0 && len(p) > c.budget
	if c.budget >= 0 {
		c.budget -= len(p)
	}
	c.mu.Unlock()
	if cut {
		_ = c.Conn.Close()
		return 0, errors.New("the connection was cut")
	}
	return c.Conn.Write(p)
}

func (c *conn) Close() error {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return c.Conn.Close()
}

func pair(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}
