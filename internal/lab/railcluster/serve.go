package railcluster

import (
	"context"

	"github.com/cockroachdb/errors"
	"storj.io/drpc/drpcmux"

	"github.com/fulmarrail/fulmarrail/internal/node/railrouter"
	"github.com/fulmarrail/fulmarrail/internal/wire/raillistener"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

// nodeServer implements the Node RPC service for a router, as an entry does.
type nodeServer struct {
	router *railrouter.Router
}

func (n *nodeServer) Heartbeat(ctx context.Context, req *railproto.HeartbeatRequest) (*railproto.HeartbeatReply, error) {
	return n.router.Heartbeat(ctx, req)
}

func (n *nodeServer) Revision(ctx context.Context, req *railproto.RevisionRequest) (*railproto.RevisionReply, error) {
	return n.router.ExchangeRevision(ctx, req)
}

func (n *nodeServer) Status(context.Context, *railproto.StatusRequest) (*railproto.StatusReply, error) {
	return &railproto.StatusReply{}, nil
}

func (c *Cluster) serveRouter(ctx context.Context, name string, r *railrouter.Router) error {
	lis, err := c.Network.Listen(name)
	if err != nil {
		return err
	}
	mux := drpcmux.New()
	if err := railproto.DRPCRegisterNode(mux, &nodeServer{router: r}); err != nil {
		return errors.Wrap(err, "register the node service")
	}
	listener := &raillistener.Listener{Key: sharedKey, Handler: mux, Log: c.Log}
	c.wg.Go(func() {
		if err := listener.Run(ctx, lis); err != nil {
			c.Log.Error("internal listener failed", "err", err)
		}
	})
	return nil
}
