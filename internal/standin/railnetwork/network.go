package railnetwork

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const acceptBacklog = 256

// Network connects in-memory listeners by name. Its exported fields must be set before its first use.
type Network struct {
	// Delay is the one-way latency.
	Delay time.Duration
	// ResetProbability is the probability that a connection is reset after the server has sent a random number of bytes below
	// MaxBytesBeforeReset.
	ResetProbability    float64
	MaxBytesBeforeReset int
	Random              *rand.Rand

	mu          sync.Mutex
	listeners   map[string]*listener
	conns       map[*conn]bool
	partitioned map[[2]string]bool
}

// Listen returns a listener with the given name. It returns an error if the name is already in use.
func (n *Network) Listen(name string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners == nil {
		n.listeners = map[string]*listener{}
		n.conns = map[*conn]bool{}
		n.partitioned = map[[2]string]bool{}
	}
	if n.listeners[name] != nil {
		return nil, errors.Newf("the name %s is already in use", name)
	}
	l := &listener{network: n, name: name, queue: make(chan net.Conn, acceptBacklog), closed: make(chan struct{})}
	n.listeners[name] = l
	return l, nil
}

// Dialer returns the dialer of the process with the given name.
func (n *Network) Dialer(from string) func(ctx context.Context, to string) (net.Conn, error) {
	return func(ctx context.Context, to string) (net.Conn, error) {
		time.Sleep(n.Delay)
		client, server, l, err := n.connect(from, to)
		if err != nil {
			return nil, err
		}
		select {
		case l.queue <- server:
			return client, nil
		case <-l.closed:
		case <-ctx.Done():
		}
		_ = client.Close()
		return nil, errors.Newf("%s is not listening", to)
	}
}

// SetResets sets the probability that a new connection is reset after the server has sent a random number of bytes below maxBytes.
func (n *Network) SetResets(probability float64, maxBytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ResetProbability, n.MaxBytesBeforeReset = probability, maxBytes
}

// Partition closes all connections between two processes and prevents new ones.
func (n *Network) Partition(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[unorderedPair(a, b)] = true
	n.closeMatching(func(c *conn) bool { return unorderedPair(c.from, c.to) == unorderedPair(a, b) })
}

// Heal ends the partition between two processes.
func (n *Network) Heal(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.partitioned, unorderedPair(a, b))
}

// Disconnect closes all connections of a process, as if it were killed. Its listener remains.
func (n *Network) Disconnect(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closeMatching(func(c *conn) bool { return c.from == name || c.to == name })
}

// Kill closes a process's listener and all its connections. A new process may then listen under its name.
func (n *Network) Kill(name string) {
	n.mu.Lock()
	l := n.listeners[name]
	n.mu.Unlock()
	if l != nil {
		_ = l.Close()
	}
	n.Disconnect(name)
}

func (n *Network) connect(from, to string) (client, server net.Conn, l *listener, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l = n.listeners[to]
	if l == nil || n.partitioned[unorderedPair(from, to)] {
		return nil, nil, nil, errors.Newf("%s can't reach %s", from, to)
	}
	a, b := net.Pipe()
	bytesLeft := -1
	if n.ResetProbability > 0 && n.Random.Float64() < n.ResetProbability {
		bytesLeft = n.Random.IntN(n.MaxBytesBeforeReset)
	}
	clientConn := &conn{Conn: a, network: n, from: from, to: to, bytesLeft: -1}
	serverConn := &conn{Conn: b, network: n, from: from, to: to, bytesLeft: bytesLeft}
	n.conns[clientConn], n.conns[serverConn] = true, true
	return clientConn, serverConn, l, nil
}

func (n *Network) closeMatching(match func(*conn) bool) {
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

	mu        sync.Mutex
	bytesLeft int
}

// Write delays the bytes by the latency. It closes the connection and returns an error if they exceed the bytes left before a reset.
func (c *conn) Write(p []byte) (int, error) {
	time.Sleep(c.network.Delay)
	c.mu.Lock()
	reset := c.bytesLeft >= 0 && len(p) > c.bytesLeft
	if c.bytesLeft >= 0 {
		c.bytesLeft -= len(p)
	}
	c.mu.Unlock()
	if reset {
		_ = c.Conn.Close()
		return 0, errors.New("connection reset")
	}
	return c.Conn.Write(p)
}

func (c *conn) Close() error {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return c.Conn.Close()
}

func unorderedPair(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}
