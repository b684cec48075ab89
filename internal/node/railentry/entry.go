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
	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
	"github.com/fulmarrail/fulmarrail/internal/node/railfront"
	"github.com/fulmarrail/fulmarrail/internal/node/railrouter"
	"github.com/fulmarrail/fulmarrail/internal/store/railstore"
	"github.com/fulmarrail/fulmarrail/internal/wire/raildialer"
	"github.com/fulmarrail/fulmarrail/internal/wire/raillistener"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	maxBodyBytes = 16 << 20
	concurrency  = 1 << 16
	// maxHeaderBytes bounds a request's headers.
	maxHeaderBytes = 16 << 10
	readTimeout    = 30 * time.Second
	idleTimeout    = 2 * time.Minute
)

// Entry is one entry process; its fields are set before Run.
type Entry struct {
	// Self is the entry as the platform lists it.
	Self      railmember.Member
	SharedKey []byte
	// Callers and Inner are the listeners for callers and for the system's other processes.
	CallerListener, InternalListener net.Listener
	Platform                         railstore.Store
	// Folder is the directory of the operators' files, or empty for an entry that follows only.
	ConfigDir string
	Dialer    *raildialer.Dialer
	Log       *slog.Logger

	once   sync.Once
	router *railrouter.Router
	front  *railfront.Front
}

// Run serves until ctx is done, then drains and returns; drain bounds the drain and nil means that it was whole.
func (e *Entry) Run(ctx context.Context, drain time.Duration) error {
	e.init()
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	mux := drpcmux.New()
	if err := railproto.DRPCRegisterNode(mux, &service{entry: e}); err != nil {
		return errors.Wrap(err, "register the inner services")
	}
	listener := &raillistener.Listener{Key: e.SharedKey, Handler: mux, Log: e.Log}
	server := &fasthttp.Server{
		Handler: e.front.Handle, MaxRequestBodySize: maxBodyBytes, Concurrency: concurrency, NoDefaultServerHeader: true,
		ReadBufferSize: maxHeaderBytes, ReadTimeout: readTimeout, IdleTimeout: idleTimeout, Logger: silent{}, CloseOnShutdown: true,
	}
	failed := make(chan error, 2)
	wg.Go(func() { failed <- listener.Run(work, e.InternalListener) })
	wg.Go(func() { failed <- server.Serve(e.CallerListener) })
	wg.Go(func() { e.router.Run(work) })
	e.Log.Info("entry started", "name", e.Self.Name, "zone", e.Self.Zone)
	select {
	case err := <-failed:
		_ = server.Shutdown()
		return err
	case <-ctx.Done():
	}
	return e.drain(work, server, drain)
}

// Revision returns the number of the revision in force at the entry, or 0.
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
			Revision: e.router.Revision, RefusalReason: e.router.RefusalReason, Forward: e.router.Forward, Observe: e.router.Observe,
			Log: raillog.Part(e.Log, "front"),
		}
	})
}

// drain tells the balancer, refuses new work and lets running answers end.
func (e *Entry) drain(ctx context.Context, server *fasthttp.Server, limit time.Duration) error {
	e.router.StopAccepting()
	e.Log.Info("entry leaves, running requests end", "running", e.front.Running())
	bounded, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	err := e.front.Drain(bounded)
	if shutdown := server.ShutdownWithContext(bounded); err == nil && shutdown != nil {
		err = shutdown
	}
	if err != nil {
		return errors.Wrap(err, "the drain was cut off")
	}
	e.Log.Info("entry has left, nothing was cut off")
	return nil
}

// silent drops the HTTP library's own lines about broken connections.
type silent struct{}

func (silent) Printf(string, ...any) {}
