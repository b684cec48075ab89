package railreconciler

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/admission/railgate"
	"github.com/fulmarrail/fulmarrail/internal/config/railkeeper"
	"github.com/fulmarrail/fulmarrail/internal/config/railservice"
	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
	"github.com/fulmarrail/fulmarrail/internal/endpoint/railendpoint"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railchunks"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railfetcher"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railmanifest"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railslots"
)

const (
	checkInterval   = 500 * time.Millisecond
	slotPause       = 500 * time.Millisecond
	refreshInterval = 5 * time.Second
	drainCheck      = 20 * time.Millisecond
	releaseWait     = 2 * time.Second
	// orderMargin is the time that a slot must still hold when a load is ordered.
	orderMargin = time.Second
	// sharedGroup is no zone's name, since those have no slash.
	sharedGroup = "in/service"
)

var errSuperseded = errors.New("another version is wanted now")

// Reconciler drives one engine; its fields are set before Run.
type Reconciler struct {
	Service, Zone, Name string

	Keeper   *railkeeper.Keeper
	Gate     *railgate.Controller
	Endpoint railendpoint.Endpoint
	Store    *railchunks.Store
	Fetcher  *railfetcher.Fetcher
	Slots    *railslots.Slots
	Timer    *railtimer.Service
	// Manifest returns the content of the manifest with a digest.
	Manifest func(ctx context.Context, digest string) ([]byte, error)
	// BeforeFetch is called before each fetch and every few seconds during it, to learn who else takes part.
	RefreshPeers func(ctx context.Context)
	// Alone reports whether nobody else is known to take part, as when the list lags at a start.
	NoPeers func() bool
	// Running returns the number of requests at the endpoint.
	InFlight func() int
	Log      *slog.Logger

	mu      sync.Mutex
	wanted  railmanifest.Manifest
	digest  string
	phase   string
	kept    string
	lastErr string
}

// Run reconciles until ctx is done.
func (r *Reconciler) Run(ctx context.Context) {
	ticks, stop := r.Timer.Subscribe(checkInterval)
	defer stop()
	for {
		if err := r.Reconcile(ctx); err != nil && ctx.Err() == nil && err.Error() != r.lastErr {
			r.lastErr = err.Error()
			r.Log.Warn("weights are not in place yet", "err", err)
		}
		select {
		case <-ticks:
		case <-r.Keeper.Changed():
		case <-ctx.Done():
			return
		}
	}
}

// Reconcile makes one pass and returns the reason for which the wanted weights are not in service.
func (r *Reconciler) Reconcile(ctx context.Context) error {
	service, want, ok := r.target()
	if !ok {
		r.setPhase("idle")
		return nil
	}
	loaded, err := r.observe(ctx)
	if err != nil || want == "" {
		return err
	}
	if loaded == want {
		r.setPhase("serving")
		return r.keepOnly(ctx, want)
	}
	manifest, err := r.manifest(ctx, want)
	if err != nil {
		return err
	}
	if err := r.fetch(ctx, manifest, want); err != nil {
		return err
	}
	if loaded == "" {
		return r.load(ctx, manifest, want, 0)
	}
	return r.replace(ctx, service, manifest, want)
}

// Progress returns the phase, and the chunks held of the wanted manifest's.
func (r *Reconciler) Progress() (phase string, held, total int) {
	r.mu.Lock()
	manifest, phase := r.wanted, r.phase
	r.mu.Unlock()
	for _, digest := range manifest.Chunks {
		if r.Store.Has(digest) {
			held++
		}
	}
	return phase, held, len(manifest.Chunks)
}

// observe reads which weights the engine serves and tells the gate.
func (r *Reconciler) observe(ctx context.Context) (string, error) {
	loaded, incarnation, err := r.Endpoint.LoadedWeights(ctx)
	if err != nil {
		r.Gate.SetWeights("", "")
		r.setPhase("engine down")
		return "", errors.Wrap(err, "read the engine's state")
	}
	r.Gate.SetWeights(loaded, incarnation)
	return loaded, nil
}

func (r *Reconciler) target() (railservice.Service, string, bool) {
	revision, ok := r.Keeper.Current()
	if !ok {
		return railservice.Service{}, "", false
	}
	service, ok := revision.Spec().Service(r.Service)
	return service, revision.Manifests[r.Service], ok && service.IsEngine()
}

func (r *Reconciler) manifest(ctx context.Context, digest string) (railmanifest.Manifest, error) {
	r.mu.Lock()
	manifest, known := r.wanted, r.digest
	r.mu.Unlock()
	if known == digest {
		return manifest, nil
	}
	content, err := r.Manifest(ctx, digest)
	if err != nil {
		return railmanifest.Manifest{}, errors.Wrap(err, "read the manifest")
	}
	manifest, err = railmanifest.Decode(content, digest)
	if err != nil {
		return railmanifest.Manifest{}, err
	}
	r.mu.Lock()
	r.wanted, r.digest = manifest, digest
	r.mu.Unlock()
	return manifest, nil
}

// fetch fetches until the manifest is complete or another one is wanted; the engine's state is observed meanwhile.
func (r *Reconciler) fetch(ctx context.Context, manifest railmanifest.Manifest, want string) error {
	r.setPhase("fetching")
	if err := r.Store.Refresh(ctx); err != nil {
		return err
	}
	r.RefreshPeers(ctx)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	done := make(chan error, 1)
	go func() { done <- r.Fetcher.Fetch(ctx, manifest) }()
	ticks, stop := r.Timer.Subscribe(checkInterval)
	defer stop()
	refresh, stopRefresh := r.Timer.Subscribe(refreshInterval)
	defer stopRefresh()
	for {
		select {
		case <-refresh:
			r.RefreshPeers(ctx)
		case err := <-done:
			return errors.Wrap(err, "fetch the weights")
		case <-ticks:
			if r.NoPeers() {
				r.RefreshPeers(ctx)
			}
		case <-r.Keeper.Changed():
		}
		if _, now, _ := r.target(); now != want {
			cancel(errSuperseded)
			err := <-done
			r.Log.Debug("fetch ended early", "err", err)
			return errSuperseded
		}
		_, _ = r.observe(ctx)
	}
}

// replace takes a serving engine out for the time of the load, with a slot.
func (r *Reconciler) replace(ctx context.Context, service railservice.Service, manifest railmanifest.Manifest, want string) error {
	r.setPhase("waiting for a slot")
	err := r.Slots.Acquire(ctx, r.group(), service.SwitchSlots)
	if errors.Is(err, railslots.ErrNone) {
		railtimer.Sleep(ctx, slotPause)
		return nil
	}
	if err != nil {
		return err
	}
	defer r.release(ctx)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go r.renew(ctx)
	r.Gate.SetSuspended(true)
	defer r.Gate.SetSuspended(false)
	r.setPhase("draining")
	for r.InFlight() > 0 {
		railtimer.Sleep(ctx, drainCheck)
		if _, now, _ := r.target(); now != want || ctx.Err() != nil {
			return errSuperseded
		}
	}
	fence, err := r.Slots.Fence(ctx, r.Name)
	if err != nil {
		return err
	}
	if !r.Slots.Valid(orderMargin) {
		return errors.New("the slot has lapsed before the load")
	}
	return r.load(ctx, manifest, want, fence)
}

// group returns the name of the endpoints that share slots: those of the zone, or all that still serve while operators
// have taken another zone out, since the rest carries its load.
func (r *Reconciler) group() string {
	revision, _ := r.Keeper.Current()
	if revision.ZoneOut(r.Zone) {
		return r.Service + "/" + r.Zone
	}
	for _, zone := range revision.Spec().Zones() {
		if zone.IsOut() {
			return r.Service + "/" + sharedGroup
		}
	}
	return r.Service + "/" + r.Zone
}

// load orders the engine and reads back what it serves: an engine may have followed another order meanwhile.
func (r *Reconciler) load(ctx context.Context, manifest railmanifest.Manifest, want string, fence int64) error {
	r.setPhase("loading")
	r.Gate.SetWeights("", "")
	if err := r.Endpoint.LoadWeights(ctx, manifest.Encode(), fence); err != nil {
		return errors.Wrap(err, "order the load")
	}
	loaded, err := r.observe(ctx)
	if err != nil {
		return err
	}
	if loaded != want {
		return errors.Newf("the engine serves %q after the order to load %q", loaded, want)
	}
	r.setPhase("serving")
	r.Log.Info("weights in service", "version", manifest.Version, "digest", want)
	return nil
}

// keepOnly drops the chunks of earlier versions once the wanted one is in service.
func (r *Reconciler) keepOnly(ctx context.Context, want string) error {
	if r.kept == want {
		return nil
	}
	manifest, err := r.manifest(ctx, want)
	if err != nil {
		return err
	}
	if err := r.Store.Keep(ctx, manifest.Chunks); err != nil {
		return err
	}
	r.kept = want
	return nil
}

func (r *Reconciler) renew(ctx context.Context) {
	ticks, stop := r.Timer.Subscribe(r.Slots.Lease / 4)
	defer stop()
	for {
		select {
		case <-ticks:
			if err := r.Slots.Renew(ctx); err != nil && ctx.Err() == nil {
				r.Log.Warn("slot not renewed", "err", err)
			}
		case <-ctx.Done():
			return
		}
	}
}

func (r *Reconciler) release(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseWait)
	defer cancel()
	r.Slots.Release(ctx)
}

func (r *Reconciler) setPhase(phase string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.phase = phase
}
