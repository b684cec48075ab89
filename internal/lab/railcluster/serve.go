package railcluster

import (
	"context"

	"github.com/cockroachdb/errors"
	"storj.io/drpc/drpcmux"

	"github.com/fulmarrail/fulmarrail/internal/node/railrouter"
	"github.com/fulmarrail/fulmarrail/internal/wire/raillistener"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

// node serves a router to the other processes, as an entry does.
type node struct {
	router *railrouter.Router
}

func (n *node) Heartbeat(ctx context.Context, req *railproto.HeartbeatRequest) (*railproto.HeartbeatReply, error) {
	return n.router.Heartbeat(ctx, req)
}

func (n *node) Revision(ctx context.Context, req *railproto.RevisionRequest) (*railproto.RevisionReply, error) {
	return n.router.ExchangeRevision(ctx, req)
}

func (n *node) Status(context.Context, *railproto.StatusRequest) (*railproto.StatusReply, error) {
	return &railproto.StatusReply{}, nil
}

func (c *Cluster) serveRouter(ctx context.Context, name string, r *railrouter.Router) error {
	lis, err := c.Network.Listen(name)
	if err != nil {
		return err
	}
	mux := drpcmux.New()
	if err := railproto.DRPCRegisterNode(mux, &node{router: r}); err != nil {
		return errors.Wrap(err, "register the inner services")
	}
	listener := &raillistener.Listener{Key: key, Handler: mux, Log: c.Log}
	c.wg.Go(func() {
		if err := listener.Run(ctx, lis); err != nil {
			c.Log.Error("inner listener failed", "err", err)
		}
	})
	return nil
}
