package railpower

import (
	"context"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/endpoint/railendpoint"
	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
	"github.com/fulmarrail/fulmarrail/internal/request/railverdict"
	"github.com/fulmarrail/fulmarrail/internal/store/railstore"
	"github.com/fulmarrail/fulmarrail/internal/store/railtable"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

var errOff = errors.New("the process is cut off")

// Isolator cuts one process's views of the outside off; the zero value is on.
type Isolator struct {
	off atomic.Bool
}

type platformView struct {
	railstore.Store
	power *Isolator
}

type endpointView struct {
	railendpoint.Endpoint
	power *Isolator
}

// Isolate cuts the views off.
func (s *Isolator) Isolate() { s.off.Store(true) }

// SetConnected ends the cut when on is set, and else cuts the views off.
func (s *Isolator) SetConnected(on bool) { s.off.Store(!on) }

// WrapStore returns the platform as the process sees it.
func (s *Isolator) WrapStore(p railstore.Store) railstore.Store {
	return &platformView{Store: p, power: s}
}

// WrapEndpoint returns the endpoint as the process sees it; a call that has begun goes on there after the cut.
func (s *Isolator) WrapEndpoint(e railendpoint.Endpoint) railendpoint.Endpoint {
	return &endpointView{Endpoint: e, power: s}
}

func (s *Isolator) err() error {
	if s.off.Load() {
		return errors.Mark(errOff, railtable.ErrRefused)
	}
	return nil
}

func (v *platformView) Get(ctx context.Context, key string) ([]byte, int64, error) {
	if err := v.power.err(); err != nil {
		return nil, 0, err
	}
	return v.Store.Get(ctx, key)
}

func (v *platformView) Put(ctx context.Context, key string, value []byte, version int64) (int64, error) {
	if err := v.power.err(); err != nil {
		return 0, err
	}
	return v.Store.Put(ctx, key, value, version)
}

func (v *platformView) Read(ctx context.Context, name string) ([]byte, error) {
	if err := v.power.err(); err != nil {
		return nil, err
	}
	return v.Store.Read(ctx, name)
}

func (v *platformView) Write(ctx context.Context, name string, content []byte) error {
	if err := v.power.err(); err != nil {
		return err
	}
	return v.Store.Write(ctx, name, content)
}

func (v *platformView) Members(ctx context.Context, region string) ([]railmember.Member, error) {
	if err := v.power.err(); err != nil {
		return nil, err
	}
	return v.Store.Members(ctx, region)
}

func (v *endpointView) Run(ctx context.Context, req *railproto.ExecuteRequest, emit func(*railproto.Frame)) (railverdict.Verdict, error) {
	if err := v.power.err(); err != nil {
		return railverdict.NotRun, err
	}
	return v.Endpoint.Run(ctx, req, emit)
}

func (v *endpointView) LoadedWeights(ctx context.Context) (digest, incarnation string, err error) {
	if err := v.power.err(); err != nil {
		return "", "", err
	}
	return v.Endpoint.LoadedWeights(ctx)
}

func (v *endpointView) LoadWeights(ctx context.Context, manifest []byte, fence int64) error {
	if err := v.power.err(); err != nil {
		return err
	}
	return v.Endpoint.LoadWeights(ctx, manifest, fence)
}

func (v *endpointView) PutChunk(ctx context.Context, digest string, data []byte) error {
	if err := v.power.err(); err != nil {
		return err
	}
	return v.Endpoint.PutChunk(ctx, digest, data)
}

func (v *endpointView) Keep(ctx context.Context, digests []string) error {
	if err := v.power.err(); err != nil {
		return err
	}
	return v.Endpoint.Keep(ctx, digests)
}
