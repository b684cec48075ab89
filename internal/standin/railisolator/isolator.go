package railisolator

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

var errDisconnected = errors.New("the process is disconnected from the platform and its endpoint")

// Isolator disconnects one process from the platform and its endpoint. The zero value is connected.
type Isolator struct {
	disconnected atomic.Bool
}

type isolatedStore struct {
	railstore.Store
	isolator *Isolator
}

type isolatedEndpoint struct {
	railendpoint.Endpoint
	isolator *Isolator
}

// Isolate disconnects the process.
func (i *Isolator) Isolate() { i.disconnected.Store(true) }

// SetConnected connects or disconnects the process.
func (i *Isolator) SetConnected(connected bool) { i.disconnected.Store(!connected) }

// WrapStore returns a store whose calls fail with railtable.ErrRefused while the process is disconnected.
func (i *Isolator) WrapStore(store railstore.Store) railstore.Store {
	return &isolatedStore{Store: store, isolator: i}
}

// WrapEndpoint returns an endpoint whose calls, except Chunks and Chunk, fail while the process is disconnected. A call in progress
// continues at the endpoint.
func (i *Isolator) WrapEndpoint(endpoint railendpoint.Endpoint) railendpoint.Endpoint {
	return &isolatedEndpoint{Endpoint: endpoint, isolator: i}
}

// check returns an error marked as railtable.ErrRefused if the process is disconnected.
func (i *Isolator) check() error {
	if i.disconnected.Load() {
		return errors.Mark(errDisconnected, railtable.ErrRefused)
	}
	return nil
}

func (s *isolatedStore) Get(ctx context.Context, key string) ([]byte, int64, error) {
	if err := s.isolator.check(); err != nil {
		return nil, 0, err
	}
	return s.Store.Get(ctx, key)
}

func (s *isolatedStore) Put(ctx context.Context, key string, value []byte, version int64) (int64, error) {
	if err := s.isolator.check(); err != nil {
		return 0, err
	}
	return s.Store.Put(ctx, key, value, version)
}

func (s *isolatedStore) Read(ctx context.Context, name string) ([]byte, error) {
	if err := s.isolator.check(); err != nil {
		return nil, err
	}
	return s.Store.Read(ctx, name)
}

func (s *isolatedStore) Write(ctx context.Context, name string, content []byte) error {
	if err := s.isolator.check(); err != nil {
		return err
	}
	return s.Store.Write(ctx, name, content)
}

func (s *isolatedStore) Members(ctx context.Context, region string) ([]railmember.Member, error) {
	if err := s.isolator.check(); err != nil {
		return nil, err
	}
	return s.Store.Members(ctx, region)
}

func (e *isolatedEndpoint) Run(ctx context.Context, req *railproto.ExecuteRequest, emit func(*railproto.Frame)) (railverdict.Verdict, error) {
	if err := e.isolator.check(); err != nil {
		return railverdict.NotRun, err
	}
	return e.Endpoint.Run(ctx, req, emit)
}

func (e *isolatedEndpoint) LoadedWeights(ctx context.Context) (digest, incarnation string, err error) {
	if err := e.isolator.check(); err != nil {
		return "", "", err
	}
	return e.Endpoint.LoadedWeights(ctx)
}

func (e *isolatedEndpoint) LoadWeights(ctx context.Context, manifest []byte, fence int64) error {
	if err := e.isolator.check(); err != nil {
		return err
	}
	return e.Endpoint.LoadWeights(ctx, manifest, fence)
}

func (e *isolatedEndpoint) PutChunk(ctx context.Context, digest string, data []byte) error {
	if err := e.isolator.check(); err != nil {
		return err
	}
	return e.Endpoint.PutChunk(ctx, digest, data)
}

func (e *isolatedEndpoint) Keep(ctx context.Context, digests []string) error {
	if err := e.isolator.check(); err != nil {
		return err
	}
	return e.Endpoint.Keep(ctx, digests)
}
