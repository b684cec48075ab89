package raildialer

import (
	"context"
	"crypto/sha256"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcwire"

	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	idleExpiration  = 30 * time.Second
	idlePerAddress  = 4
	softCancelGrace = 200 * time.Millisecond
	// maxMessageBytes bounds one inner message: an answer of 16 MB with its envelope.
	maxMessageBytes = 17 << 20
)

// ErrDial marks an error before which no byte of a call has left this process.
var ErrDial = errors.New("no connection to the peer")

// Dialer pools connections by address; its fields are set before its first use.
type Dialer struct {
	// Key is the deployment's shared key.
	Key []byte
	// Timeout bounds one attempt to connect.
	Timeout time.Duration
	// Dial replaces the TCP dialer in tests.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	once sync.Once
	pool *drpcpool.Pool[string, *drpcconn.Conn]
}

// Agent returns a client of the agent at an address.
func (d *Dialer) Agent(ctx context.Context, address string) railproto.DRPCAgentClient {
	return railproto.NewDRPCAgentClient(d.conn(ctx, address))
}

// Entry returns a client of the entry at an address.
func (d *Dialer) Entry(ctx context.Context, address string) railproto.DRPCEntryClient {
	return railproto.NewDRPCEntryClient(d.conn(ctx, address))
}

// Node returns a client of any process of the system at an address.
func (d *Dialer) Node(ctx context.Context, address string) railproto.DRPCNodeClient {
	return railproto.NewDRPCNodeClient(d.conn(ctx, address))
}

// Close closes the idle connections.
func (d *Dialer) Close() error {
	d.init()
	return d.pool.Close()
}

func (d *Dialer) init() {
	d.once.Do(func() {
		d.pool = drpcpool.New[string, *drpcconn.Conn](drpcpool.Options{Expiration: idleExpiration, KeyCapacity: idlePerAddress})
	})
}

func (d *Dialer) conn(ctx context.Context, address string) drpcpool.Conn {
	d.init()
	return d.pool.Get(ctx, address, d.open)
}

func (d *Dialer) open(ctx context.Context, address string) (*drpcconn.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, d.Timeout)
	defer cancel()
	conn, err := d.dial(ctx, address)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "dial %s", address), ErrDial)
	}
	proof := sha256.Sum256(d.Key)
	if _, err := conn.Write(proof[:]); err != nil {
		_ = conn.Close()
		return nil, errors.Mark(errors.Wrapf(err, "greet %s", address), ErrDial)
	}
	options := drpcconn.Options{Manager: drpcmanager.Options{
		SoftCancel: true, SoftCancelGrace: softCancelGrace, Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes},
	}}
	return drpcconn.NewWithOptions(conn, options), nil
}

func (d *Dialer) dial(ctx context.Context, address string) (net.Conn, error) {
	if d.Dial != nil {
		return d.Dial(ctx, address)
	}
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", address)
}
