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
	idleTimeout       = 30 * time.Second
	maxIdlePerAddress = 4
	softCancelGrace   = 200 * time.Millisecond
	// maxMessageBytes bounds one RPC message: a 16 MB response and its envelope.
	maxMessageBytes = 17 << 20
)

// ErrDial marks errors that occurred before any byte of the call was sent.
var ErrDial = errors.New("no connection to the peer")

// Dialer opens connections and pools them by address. Its fields must be set before first use.
type Dialer struct {
	// Key is the deployment's shared key.
	Key []byte
	// Timeout bounds each attempt to connect.
	Timeout time.Duration
	// Dial replaces the TCP dialer in tests.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	once sync.Once
	pool *drpcpool.Pool[string, *drpcconn.Conn]
}

// Agent returns a client for the agent at address.
func (d *Dialer) Agent(ctx context.Context, address string) railproto.DRPCAgentClient {
	return railproto.NewDRPCAgentClient(d.conn(ctx, address))
}

// Entry returns a client for the entry at address.
func (d *Dialer) Entry(ctx context.Context, address string) railproto.DRPCEntryClient {
	return railproto.NewDRPCEntryClient(d.conn(ctx, address))
}

// Replica returns a client for the replicas of the entry at address.
func (d *Dialer) Replica(ctx context.Context, address string) railproto.DRPCReplicaClient {
	return railproto.NewDRPCReplicaClient(d.conn(ctx, address))
}

// Node returns a client for the RPCs that every process serves.
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
		d.pool = drpcpool.New[string, *drpcconn.Conn](drpcpool.Options{Expiration: idleTimeout, KeyCapacity: maxIdlePerAddress})
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
	keyHash := sha256.Sum256(d.Key)
	if _, err := conn.Write(keyHash[:]); err != nil {
		_ = conn.Close()
		return nil, errors.Mark(errors.Wrapf(err, "authenticate with %s", address), ErrDial)
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
