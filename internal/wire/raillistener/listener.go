package raillistener

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"io"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"github.com/fulmarrail/fulmarrail/internal/core/railpanic"
	"github.com/fulmarrail/fulmarrail/internal/wire/railacceptor"
)

const (
	handshakeTimeout = 5 * time.Second
	// maxMessageBytes bounds one RPC message: a 16 MB request body and its envelope.
	maxMessageBytes = 17 << 20
)

// Listener serves RPCs to peers that authenticate with the shared key. Its fields must be set before Run.
type Listener struct {
	// Key is the deployment's shared key.
	Key     []byte
	Handler drpc.Handler
	Log     *slog.Logger

	wg sync.WaitGroup
}

// Run accepts connections until ctx is done, and returns once all of them have ended. It closes lis.
func (l *Listener) Run(ctx context.Context, lis net.Listener) error {
	server := drpcserver.NewWithOptions(&containingHandler{Handler: l.Handler, log: l.Log}, drpcserver.Options{Manager: drpcmanager.Options{SoftCancel: true, Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes}}})
	stop := context.AfterFunc(ctx, func() { _ = lis.Close() })
	defer stop()
	defer l.wg.Wait()
	acceptor := &railacceptor.Acceptor{Listener: lis, Log: l.Log}
	for {
		conn, err := acceptor.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return errors.Wrap(err, "accept a connection")
		}
		l.wg.Go(func() { l.serve(ctx, server, conn) })
	}
}

func (l *Listener) serve(ctx context.Context, server *drpcserver.Server, conn net.Conn) {
	defer func() {
		if railpanic.Recovered(recover(), l.Log, unitConnection, "peer", conn.RemoteAddr().String()) != nil {
			_ = conn.Close()
		}
	}()
	if err := l.authenticate(conn); err != nil {
		l.Log.Warn("peer refused", "peer", conn.RemoteAddr().String(), "err", err)
		_ = conn.Close()
		return
	}
	// The error only says how the connection ended; each call has already reported its own error.
	_ = server.ServeOne(ctx, conn)
}

// authenticate reads the hash of the shared key that a peer sends first, and returns an error if it does not match.
func (l *Listener) authenticate(conn net.Conn) error {
	if err := conn.SetReadDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return errors.Wrap(err, "set the handshake deadline")
	}
	var keyHash [sha256.Size]byte
	if _, err := io.ReadFull(conn, keyHash[:]); err != nil {
		return errors.Wrap(err, "read the hash of the shared key")
	}
	wantHash := sha256.Sum256(l.Key)
	if subtle.ConstantTimeCompare(keyHash[:], wantHash[:]) != 1 {
		return errors.New("the peer does not have the deployment's shared key")
	}
	return conn.SetReadDeadline(time.Time{})
}
