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

const sharedKey = "0123456789abcdef"

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

// testNode is a node whose listener runs, and a peer that calls it.
type testNode struct {
	t      *testing.T
	dialer *raildialer.Dialer
	log    bytes.Buffer
	cancel context.CancelFunc
	// stopped receives the result of the listener's Run.
	stopped chan error
}

// startNode starts a node that accepts peers from wrap's result, and a peer with a key.
func startNode(t *testing.T, node railproto.DRPCNodeServer, wrap func(net.Listener) net.Listener, key string) *testNode {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	network := &railnetwork.Network{}
	lis, err := network.Listen("node")
	qt.Assert(t, err, qt.IsNil)
	mux := drpcmux.New()
	qt.Assert(t, railproto.DRPCRegisterNode(mux, node), qt.IsNil)
	n := &testNode{t: t, cancel: cancel, stopped: make(chan error, 1)}
	n.dialer = &raildialer.Dialer{Key: []byte(key), Timeout: time.Second, Dial: network.Dialer("peer")}
	listener := &raillistener.Listener{Key: []byte(sharedKey), Handler: mux, Log: slog.New(slog.NewTextHandler(&n.log, nil))}
	go func() { n.stopped <- listener.Run(ctx, wrap(lis)) }()
	return n
}

// heartbeat calls the node, and returns the revision that it replies with.
func (n *testNode) heartbeat() (uint64, error) {
	ctx, cancel := context.WithTimeout(n.t.Context(), 10*time.Second)
	defer cancel()
	reply, err := n.dialer.Node(ctx, "node").Heartbeat(ctx, &railproto.HeartbeatRequest{})
	return reply.GetRevision(), err
}

// stop stops the peer and the node.
func (n *testNode) stop() {
	n.t.Helper()
	qt.Check(n.t, n.dialer.Close(), qt.IsNil)
	n.cancel()
	qt.Check(n.t, <-n.stopped, qt.IsNil)
}

// asIs returns a listener without any change.
func asIs(lis net.Listener) net.Listener { return lis }

func TestListenerRefusesPeersWithoutSharedKey(t *testing.T) {
	for _, test := range []struct {
		name, key  string
		wantServed bool
	}{
		{"the deployment's key", sharedKey, true},
		{"another key", "fedcba9876543210", false},
		{"no key", "", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			railvirtualtime.Test(t, func(t *testing.T) {
				n := startNode(t, stubNode{}, asIs, test.key)
				revision, err := n.heartbeat()
				qt.Check(t, err == nil && revision == 7, qt.Equals, test.wantServed)
				n.stop()
				qt.Check(t, n.log.String(), qt.Not(qt.Contains), sharedKey)
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
		n := startNode(t, stubNode{}, func(lis net.Listener) net.Listener { return &shortListener{Listener: lis} }, sharedKey)
		revision, err := n.heartbeat()
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, revision, qt.Equals, uint64(7))
		n.stop()
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
		n := startNode(t, panickingNode{calls: &atomic.Int64{}}, asIs, sharedKey)
		_, err := n.heartbeat()
		qt.Check(t, err, qt.ErrorMatches, ".*the process has failed on this call.*")
		revision, err := n.heartbeat()
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, revision, qt.Equals, uint64(7))
		n.stop()
	})
}
