package railentry

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"storj.io/drpc/drpcmux"

	"github.com/fulmarrail/fulmarrail/internal/config/railfolder"
	"github.com/fulmarrail/fulmarrail/internal/core/raillog"
	"github.com/fulmarrail/fulmarrail/internal/limit/railconnlimits"
	"github.com/fulmarrail/fulmarrail/internal/limit/railmemory"
	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
	"github.com/fulmarrail/fulmarrail/internal/node/railconn"
	"github.com/fulmarrail/fulmarrail/internal/node/railfront"
	"github.com/fulmarrail/fulmarrail/internal/node/railrouter"
	"github.com/fulmarrail/fulmarrail/internal/store/railstore"
	"github.com/fulmarrail/fulmarrail/internal/wire/railacceptor"
	"github.com/fulmarrail/fulmarrail/internal/wire/raildialer"
	"github.com/fulmarrail/fulmarrail/internal/wire/raillistener"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	maxBodyBytes = 16 << 20
	// maxRequestMemory is the maximum memory for all larger requests together, in bytes.
	maxRequestMemory = 256 << 20
	maxConnections   = 1 << 16
	// maxHeaderBytes is the maximum size of a request's headers.
	maxHeaderBytes = 16 << 10
	headerTimeout  = 30 * time.Second
	bodyTimeout    = 30 * time.Second
	idleTimeout    = 2 * time.Minute
)

// Entry is one entry process. Its exported fields must be set before Run is called.
type Entry struct {
	// Self is the entry as it appears in the platform's VM list.
	Self railmember.Member
	// SharedKey authenticates the deployment's processes to each other.
	SharedKey []byte
	// CallerListener accepts callers' connections, and InternalListener those of the deployment's other processes.
	CallerListener, InternalListener net.Listener
	// Platform is the platform's table service, object store and VM list.
	Platform railstore.Store
	// ConfigDir is the directory of the operators' configuration files. If it is empty, the entry does not publish configuration and
	// only follows the published revisions.
	ConfigDir string
	Dialer    *raildialer.Dialer
	Log       *slog.Logger

	once   sync.Once
	router *railrouter.Router
	front  *railfront.Front
}

// Run serves until ctx is done, then drains within drainTimeout. It returns an error if serving fails or the drain does not complete.
func (e *Entry) Run(ctx context.Context, drainTimeout time.Duration) error {
	e.init()
	workCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	mux := drpcmux.New()
	if err := railproto.DRPCRegisterNode(mux, &nodeServer{entry: e}); err != nil {
		return errors.Wrap(err, "register the internal services")
	}
	listener := &raillistener.Listener{Key: e.SharedKey, Handler: mux, Log: e.Log}
	server := &fasthttp.Server{
		Handler: e.handle, MaxRequestBodySize: maxBodyBytes, Concurrency: maxConnections, NoDefaultServerHeader: true,
		ReadBufferSize: maxHeaderBytes, Logger: discardLogger{}, CloseOnShutdown: true, HeaderReceived: railconn.HeaderReceived(bodyTimeout),
		ConnState: railconn.TrackState, ErrorHandler: e.rejectUnreadable,
	}
	callers := &railconn.Listener{Listener: &railacceptor.Acceptor{Listener: e.CallerListener, Log: e.Log}, Limits: limits, Memory: &railmemory.Pool{MaxBytes: maxRequestMemory}}
	failed, served := make(chan error, 2), make(chan struct{})
	wg.Go(func() { failed <- listener.Run(workCtx, e.InternalListener) })
	wg.Go(func() {
		failed <- server.Serve(callers)
		close(served)
	})
	wg.Go(func() { e.router.Run(workCtx) })
	e.Log.Info("entry started", "name", e.Self.Name, "zone", e.Self.Zone)
	var err error
	select {
	case err = <-failed:
		e.Log.Error("no further connections are accepted; the entry stops", "err", err)
	case <-ctx.Done():
	}
	return errors.CombineErrors(errors.Wrap(err, "serve"), e.drain(workCtx, served, callers, drainTimeout))
}

// limits returns the time limits of callers' requests.
func limits() railconnlimits.Limits {
	return railconnlimits.Limits{HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
}

// Revision returns the number of the entry's current revision, or 0 if it has none.
func (e *Entry) Revision() uint64 {
	e.init()
	revision, _ := e.router.Revision()
	return revision.Number
}

func (e *Entry) init() {
	e.once.Do(func() {
		e.router = &railrouter.Router{Self: e.Self, Platform: e.Platform, Dialer: e.Dialer, Log: e.Log}
		if e.ConfigDir != "" {
			e.router.ReadFolder = func() (railfolder.Folder, error) { return railfolder.Read(e.ConfigDir) }
		}
		e.front = &railfront.Front{
			Revision: e.router.Revision, RejectionReason: e.router.RejectionReason, Forward: e.router.Forward, Observe: e.router.Observe,
			Log: raillog.Named(e.Log, "front"),
		}
	})
}

// discardLogger drops the HTTP library's log lines about broken connections.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}
