package raillistener_test

import (
	"bytes"
	"context"
	"log/slog"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"storj.io/drpc/drpcmux"

	"github.com/fulmarrail/fulmarrail/internal/lab/railvirtualtime"
	"github.com/fulmarrail/fulmarrail/internal/standin/railnetwork"
	"github.com/fulmarrail/fulmarrail/internal/wire/raildialer"
	"github.com/fulmarrail/fulmarrail/internal/wire/raillistener"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

type stubNode struct{}

func (stubNode) Heartbeat(context.Context, *railproto.HeartbeatRequest) (*railproto.HeartbeatReply, error) {
	return &railproto.HeartbeatReply{Revision: 7}, nil
}

func (stubNode) Revision(context.Context, *railproto.RevisionRequest) (*railproto.RevisionReply, error) {
	return &railproto.RevisionReply{}, nil
}

func (stubNode) Status(context.Context, *railproto.StatusRequest) (*railproto.StatusReply, error) {
	return &railproto.StatusReply{}, nil
}

func TestListenerRefusesPeersWithoutSharedKey(t *testing.T) {
	for _, test := range []struct {
		name, key  string
		wantServed bool
	}{
		{"the deployment's key", "0123456789abcdef", true},
		{"another key", "fedcba9876543210", false},
		{"no key", "", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			railvirtualtime.Test(t, func(t *testing.T) {
				c := qt.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				network := &railnetwork.Network{}
				lis, err := network.Listen("node")
				c.Assert(err, qt.IsNil)
				mux := drpcmux.New()
				c.Assert(railproto.DRPCRegisterNode(mux, stubNode{}), qt.IsNil)
				var log bytes.Buffer
				listener := &raillistener.Listener{
					Key: []byte("0123456789abcdef"), Handler: mux, Log: slog.New(slog.NewTextHandler(&log, nil)),
				}
				runErr := make(chan error, 1)
				go func() { runErr <- listener.Run(ctx, lis) }()
				dialer := &raildialer.Dialer{Key: []byte(test.key), Timeout: time.Second, Dial: network.Dialer("peer")}
				callCtx, cancelCall := context.WithTimeout(ctx, 10*time.Second)
				defer cancelCall()
				reply, err := dialer.Node(callCtx, "node").Heartbeat(callCtx, &railproto.HeartbeatRequest{})
				c.Check(err == nil && reply.GetRevision() == 7, qt.Equals, test.wantServed)
				c.Check(dialer.Close(), qt.IsNil)
				cancel()
				c.Check(<-runErr, qt.IsNil)
				c.Check(log.String(), qt.Not(qt.Contains), "0123456789abcdef")
			})
		})
	}
}

// shortListener fails to accept once, since there is no descriptor.
type shortListener struct {
	net.Listener
	failed bool
}

func (l *shortListener) Accept() (net.Conn, error) {
	if !l.failed {
		l.failed = true
		return nil, syscall.EMFILE
	}
	return l.Listener.Accept()
}

// Guards against a process that serves none of its peers that connect after a shortage of descriptors, until it is restarted.
func TestListenerServesAfterShortageOfDescriptors(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		const key = "0123456789abcdef"
		ctx, cancel := context.WithCancel(t.Context())
		network := &railnetwork.Network{}
		lis, err := network.Listen("node")
		qt.Assert(t, err, qt.IsNil)
		mux := drpcmux.New()
		qt.Assert(t, railproto.DRPCRegisterNode(mux, stubNode{}), qt.IsNil)
		listener := &raillistener.Listener{Key: []byte(key), Handler: mux, Log: slog.New(slog.DiscardHandler)}
		runErr := make(chan error, 1)
		go func() { runErr <- listener.Run(ctx, &shortListener{Listener: lis}) }()
		dialer := &raildialer.Dialer{Key: []byte(key), Timeout: time.Second, Dial: network.Dialer("peer")}
		callCtx, cancelCall := context.WithTimeout(ctx, 10*time.Second)
		defer cancelCall()
		reply, err := dialer.Node(callCtx, "node").Heartbeat(callCtx, &railproto.HeartbeatRequest{})
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, reply.GetRevision(), qt.Equals, uint64(7))
		qt.Check(t, dialer.Close(), qt.IsNil)
		cancel()
		qt.Check(t, <-runErr, qt.IsNil)
	})
}

// panickingNode panics at the first heartbeat.
type panickingNode struct {
	stubNode
	calls *atomic.Int64
}

func (n panickingNode) Heartbeat(ctx context.Context, req *railproto.HeartbeatRequest) (*railproto.HeartbeatReply, error) {
	if n.calls.Add(1) == 1 {
		panic("at a heartbeat")
	}
	return n.stubNode.Heartbeat(ctx, req)
}

// Guards against a call that ends the process of its handler, and with it all other calls.
func TestPanicInHandlerIsErrorOfItsCall(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		const key = "0123456789abcdef"
		ctx, cancel := context.WithCancel(t.Context())
		network := &railnetwork.Network{}
		lis, err := network.Listen("node")
		qt.Assert(t, err, qt.IsNil)
		mux := drpcmux.New()
		qt.Assert(t, railproto.DRPCRegisterNode(mux, panickingNode{calls: &atomic.Int64{}}), qt.IsNil)
		listener := &raillistener.Listener{Key: []byte(key), Handler: mux, Log: slog.New(slog.DiscardHandler)}
		runErr := make(chan error, 1)
		go func() { runErr <- listener.Run(ctx, lis) }()
		dialer := &raildialer.Dialer{Key: []byte(key), Timeout: time.Second, Dial: network.Dialer("peer")}
		_, err = dialer.Node(ctx, "node").Heartbeat(ctx, &railproto.HeartbeatRequest{})
		qt.Check(t, err, qt.ErrorMatches, ".*the process has failed on this call.*")
		reply, err := dialer.Node(ctx, "node").Heartbeat(ctx, &railproto.HeartbeatRequest{})
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, reply.GetRevision(), qt.Equals, uint64(7))
		qt.Check(t, dialer.Close(), qt.IsNil)
		cancel()
		qt.Check(t, <-runErr, qt.IsNil)
	})
}
