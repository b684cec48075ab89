package railreconciler

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/admission/railadmission"
	"github.com/fulmarrail/fulmarrail/internal/config/railrevisioncache"
	"github.com/fulmarrail/fulmarrail/internal/config/railservice"
	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
	"github.com/fulmarrail/fulmarrail/internal/endpoint/railendpoint"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railchunks"
	"github.com/fulmarrail/fulmarrail/internal/rollout/raildigestset"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railfetcher"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railmanifest"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railslots"
)

const (
	checkInterval     = 500 * time.Millisecond
	slotRetryInterval = 500 * time.Millisecond
	refreshInterval   = 5 * time.Second
	drainPollInterval = 20 * time.Millisecond
	releaseTimeout    = 2 * time.Second
	proofTimeout      = 2 * time.Second
	// loadLeaseMargin is the time for which the slot's lease must still be valid when a load is ordered.
	loadLeaseMargin = time.Second
	// sharedSlotGroup can't collide with a zone's name, since those have no slash.
	sharedSlotGroup = "in/service"
)

var errSuperseded = errors.New("superseded: another version is wanted")

// Reconciler reconciles the weights of one engine. Its fields must be set before its first use.
type Reconciler struct {
	Service, Zone, Name string

	Revisions *railrevisioncache.Cache
	Admission *railadmission.Controller
	// Intact gets the digests of weights that are known to be intact.
	Intact   *raildigestset.Set
	Endpoint railendpoint.Endpoint
	Store    *railchunks.Store
	Fetcher  *railfetcher.Fetcher
	Slots    *railslots.Slots
	Timer    *railtimer.Service
	// Manifest returns the encoded manifest with the given digest.
	Manifest func(ctx context.Context, digest string) ([]byte, error)
	// RefreshPeers updates the list of peers that exchange chunks. It is called before each fetch, every refreshInterval during
	// it, and at each check while NoPeers reports true.
	RefreshPeers func(ctx context.Context)
	// NoPeers reports whether no peers are known, as when the list is out of date at startup.
	NoPeers func() bool
	// InFlight returns the number of requests in flight at the endpoint.
	InFlight func() int
	Log      *slog.Logger

	mu             sync.Mutex
	wantedManifest railmanifest.Manifest
	wantedDigest   string
	phase          string
	// keptDigest is the digest of the manifest to which dropOtherChunks last reduced the store.
	keptDigest string
	// lastErr is the text of the error that was logged last.
	lastErr string
	// unknownDigest is the digest of weights that were logged last as not known to be intact.
	unknownDigest string
}

// Run calls Reconcile periodically and after each change of the configuration, until ctx is done.
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
		case <-r.Revisions.Changed():
		case <-ctx.Done():
			return
		}
	}
}

// Reconcile runs one pass. It returns an error that tells why the wanted weights are not in service; while it waits for a slot, or
// if no weights are wanted, it returns nil.
func (r *Reconciler) Reconcile(ctx context.Context) error {
	service, wantDigest, ok := r.wantedWeights()
	if !ok {
		r.setPhase("idle")
		return nil
	}
	if wantDigest != "" {
		r.Intact.Add(wantDigest)
	}
	loadedDigest, err := r.observe(ctx)
	if err != nil || wantDigest == "" {
		return err
	}
	if loadedDigest == wantDigest {
		r.setPhase("serving")
		return r.dropOtherChunks(ctx, wantDigest)
	}
	manifest, err := r.manifest(ctx, wantDigest)
	if err != nil {
		return err
	}
	if err := r.refreshStore(ctx, manifest, loadedDigest); err != nil {
		return err
	}
	if err := r.fetch(ctx, manifest, wantDigest); err != nil {
		return err
	}
	if loadedDigest == "" {
		return r.load(ctx, manifest, wantDigest, 0)
	}
	return r.replace(ctx, service, manifest, wantDigest)
}

// Progress returns the phase, the number of the wanted manifest's chunks in the store, and their total.
func (r *Reconciler) Progress() (phase string, held, total int) {
	r.mu.Lock()
	manifest, phase := r.wantedManifest, r.phase
	r.mu.Unlock()
	for _, digest := range manifest.Chunks {
		if r.Store.Has(digest) {
			held++
		}
	}
	return phase, held, len(manifest.Chunks)
}

// observe reads the digest of the weights that the engine serves and passes it to Admission. If the read fails, or the weights are not known
// to be intact, it tells Admission that the engine serves no weights.
func (r *Reconciler) observe(ctx context.Context) (string, error) {
	loadedDigest, incarnation, err := r.Endpoint.LoadedWeights(ctx)
	if err != nil {
		r.Admission.SetWeights("", "")
		r.setPhase("engine down")
		return "", errors.Wrap(err, "read the engine's state")
	}
	if loadedDigest != "" && !r.provenIntact(ctx, loadedDigest) {
		r.Admission.SetWeights("", incarnation)
		return loadedDigest, nil
	}
	r.Admission.SetWeights(loadedDigest, incarnation)
	return loadedDigest, nil
}

// provenIntact reports whether a digest is that of a manifest: one that the configuration has pinned, or that the origin has. The engine
// computes its weights' digest from what it has loaded, so that no manifest has that of corrupt weights.
func (r *Reconciler) provenIntact(ctx context.Context, digest string) bool {
	if r.Intact.Has(digest) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, proofTimeout)
	defer cancel()
	content, err := r.Manifest(ctx, digest)
	if err == nil {
		_, err = railmanifest.Decode(content, digest)
	}
	if err == nil {
		r.Intact.Add(digest)
		return true
	}
	if r.unknownDigest != digest {
		r.unknownDigest = digest
		r.Log.Warn("engine serves weights that are not known to be intact; it gets no requests", "digest", digest, "err", err)
	}
	return false
}

// wantedWeights returns the service and its manifest's digest in the current revision, and whether the service has an engine.
func (r *Reconciler) wantedWeights() (railservice.Service, string, bool) {
	revision, ok := r.Revisions.Current()
	if !ok {
		return railservice.Service{}, "", false
	}
	service, ok := revision.Spec().Service(r.Service)
	return service, revision.Manifests[r.Service], ok && service.IsEngine()
}

// manifest returns the manifest with a digest, and caches the last one.
func (r *Reconciler) manifest(ctx context.Context, digest string) (railmanifest.Manifest, error) {
	r.mu.Lock()
	manifest, knownDigest := r.wantedManifest, r.wantedDigest
	r.mu.Unlock()
	if knownDigest == digest {
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
	r.wantedManifest, r.wantedDigest = manifest, digest
	r.mu.Unlock()
	return manifest, nil
}

// refreshStore reads which chunks the engine holds. If the engine has loaded weights that are not known to be intact, the chunks that it holds may
// be corrupt, and are read back.
func (r *Reconciler) refreshStore(ctx context.Context, manifest railmanifest.Manifest, loadedDigest string) error {
	r.setPhase("fetching")
	if err := r.Store.Refresh(ctx); err != nil {
		return err
	}
	if loadedDigest == "" || r.Intact.Has(loadedDigest) {
		return nil
	}
	corrupt, err := r.Store.Verify(ctx, manifest)
	if corrupt > 0 {
		r.Log.Warn("the engine holds corrupt chunks; they are fetched again", "chunks", corrupt)
	}
	return err
}

// fetch fetches the manifest's chunks until all are in the store, or returns errSuperseded once another manifest is wanted. It
// keeps observing the engine meanwhile.
func (r *Reconciler) fetch(ctx context.Context, manifest railmanifest.Manifest, wantDigest string) error {
	r.RefreshPeers(ctx)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	done := make(chan error, 1)
	go func() { done <- r.Fetcher.Fetch(ctx, manifest) }()
	ticks, stop := r.Timer.Subscribe(checkInterval)
	defer stop()
	refreshTicks, stopRefresh := r.Timer.Subscribe(refreshInterval)
	defer stopRefresh()
	for {
		select {
		case <-refreshTicks:
			r.RefreshPeers(ctx)
		case err := <-done:
			return errors.Wrap(err, "fetch the weights")
		case <-ticks:
			if r.NoPeers() {
				r.RefreshPeers(ctx)
			}
		case <-r.Revisions.Changed():
		}
		if _, currentDigest, _ := r.wantedWeights(); currentDigest != wantDigest {
			cancel(errSuperseded)
			err := <-done
			r.Log.Debug("fetch canceled", "err", err)
			return errSuperseded
		}
		_, _ = r.observe(ctx)
	}
}

// replace loads weights on a serving engine. It holds a slot and takes the engine out of service for the load.
func (r *Reconciler) replace(ctx context.Context, service railservice.Service, manifest railmanifest.Manifest, wantDigest string) error {
	r.setPhase("waiting for a slot")
	err := r.Slots.Acquire(ctx, r.slotGroup(), service.MaxUnavailable)
	if errors.Is(err, railslots.ErrNoFreeSlot) {
		railtimer.Sleep(ctx, slotRetryInterval)
		return nil
	}
	if err != nil {
		return err
	}
	defer r.releaseSlot(ctx)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go r.renewSlot(ctx)
	r.Admission.SetSuspended(true)
	defer r.Admission.SetSuspended(false)
	r.setPhase("draining")
	for r.InFlight() > 0 {
		railtimer.Sleep(ctx, drainPollInterval)
		if _, currentDigest, _ := r.wantedWeights(); currentDigest != wantDigest || ctx.Err() != nil {
			return errSuperseded
		}
		if !r.Slots.Valid(0) {
			return errors.New("the slot was lost before the endpoint was drained")
		}
	}
	fencingToken, err := r.Slots.NextFencingToken(ctx, r.Name)
	if err != nil {
		return err
	}
	if !r.Slots.Valid(loadLeaseMargin) {
		return errors.New("slot lease expires too soon to order the load")
	}
	return r.load(ctx, manifest, wantDigest, fencingToken)
}

// slotGroup returns the name of the group of endpoints that share slots: the endpoints of the zone or, while operators have taken
// another zone out of service, all endpoints of the remaining zones, since those carry its load.
func (r *Reconciler) slotGroup() string {
	revision, _ := r.Revisions.Current()
	if revision.ZoneOut(r.Zone) {
		return r.Service + "/" + r.Zone
	}
	for _, zone := range revision.Spec().Zones() {
		if zone.IsOut() {
			return r.Service + "/" + sharedSlotGroup
		}
	}
	return r.Service + "/" + r.Zone
}

// load orders the engine to load the manifest and checks what it serves afterwards, since it may have executed another order
// meanwhile.
func (r *Reconciler) load(ctx context.Context, manifest railmanifest.Manifest, wantDigest string, fencingToken int64) error {
	r.setPhase("loading")
	r.Admission.SetWeights("", "")
	if err := r.Endpoint.LoadWeights(ctx, manifest.Encode(), fencingToken); err != nil {
		return errors.Wrap(err, "order the engine to load")
	}
	loadedDigest, err := r.observe(ctx)
	if err != nil {
		return err
	}
	if loadedDigest != wantDigest {
		return errors.Newf("engine serves %q after it was ordered to load %q", loadedDigest, wantDigest)
	}
	r.setPhase("serving")
	r.Log.Info("weights in service", "version", manifest.Version, "digest", wantDigest)
	return nil
}

// dropOtherChunks removes the chunks of other versions from the store once the wanted one is in service.
func (r *Reconciler) dropOtherChunks(ctx context.Context, wantDigest string) error {
	if r.keptDigest == wantDigest {
		return nil
	}
	manifest, err := r.manifest(ctx, wantDigest)
	if err != nil {
		return err
	}
	if err := r.Store.Keep(ctx, manifest.Chunks); err != nil {
		return err
	}
	r.keptDigest = wantDigest
	return nil
}

// renewSlot renews the slot four times per lease until ctx is done.
func (r *Reconciler) renewSlot(ctx context.Context) {
	ticks, stop := r.Timer.Subscribe(r.Slots.Lease / 4)
	defer stop()
	for {
		select {
		case <-ticks:
			if err := r.Slots.Renew(ctx); err != nil && ctx.Err() == nil {
				r.Log.Warn("cannot renew the slot", "err", err)
			}
		case <-ctx.Done():
			return
		}
	}
}

// releaseSlot releases the slot even if ctx is done.
func (r *Reconciler) releaseSlot(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	r.Slots.Release(ctx)
}

func (r *Reconciler) setPhase(phase string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.phase = phase
}
