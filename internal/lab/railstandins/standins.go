package railstandins

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"github.com/fulmarrail/fulmarrail/internal/lab/raillayout"
	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
	"github.com/fulmarrail/fulmarrail/internal/standin/raildesk"
	"github.com/fulmarrail/fulmarrail/internal/standin/railengine"
	"github.com/fulmarrail/fulmarrail/internal/standin/raillink"
	"github.com/fulmarrail/fulmarrail/internal/standin/railplatform"
)

const (
	writeRate    = 500
	readRate     = 2000
	listLag      = 3 * time.Second
	bitsPerByte  = 8
	linkBurst    = 64 << 10
	maxBodyBytes = 64 << 20
	threads      = 1 << 14
	deskDelay    = 20 * time.Millisecond

	coldBears     = 4
	warmBears     = 32
	warmUp        = 200
	firstToken    = 80 * time.Millisecond
	betweenTokens = 20 * time.Millisecond
	loadTime      = 2 * time.Second
	downTime      = 10 * time.Second
)

// Simulators are the outside systems of one layout; the fields are set before Run.
type Simulators struct {
	Layout *raillayout.Layout
	// Weights holds the versions in the origin by name.
	Weights map[string][]byte
	// ChunkSize is the length of a chunk in bytes.
	ChunkSize int64
	Log       *slog.Logger

	wg       sync.WaitGroup
	servers  []*fasthttp.Server
	platform *railplatform.Platform

	mu      sync.Mutex
	engines []*railengine.Engine
	desks   []*raildesk.OrderService
}

// Run serves until ctx is done, or returns an error when an address is taken.
func (s *Simulators) Run(ctx context.Context) error {
	defer s.wg.Wait()
	defer func() {
		for _, server := range s.servers {
			_ = server.Shutdown()
		}
	}()
	// Each region is told the addresses under which it reaches the others.
	view := func(region string, m railmember.Member) railmember.Member {
		m.Address = s.Layout.Address(region, m)
		return m
	}
	s.platform = &railplatform.Platform{
		WriteRate: writeRate, ReadRate: readRate, OriginRate: float64(s.Layout.OriginBytesPerSecond), ListLag: listLag, RegionView: view,
	}
	for version, weights := range s.Weights {
		m := s.platform.AddWeights(version, weights, s.ChunkSize)
		s.Log.Info("version in the origin", "version", version, "bytes", m.Size, "digest", m.Digest())
	}
	for _, p := range s.Layout.Processes {
		s.platform.SetMember(p.Member)
	}
	if err := s.serve(s.Layout.PlatformAddress, s.platform.Handle); err != nil {
		return err
	}
	for _, p := range s.Layout.Processes {
		if p.Member.Role != railmember.RoleAgent {
			continue
		}
		if err := s.serve(p.EndpointAddress, s.endpoint(p.Member.Name, p.Plain)); err != nil {
			return err
		}
	}
	if err := s.runLinks(ctx); err != nil {
		return err
	}
	s.Log.Info("stand-ins serve", "processes", len(s.Layout.Processes), "links", len(s.Layout.Links))
	<-ctx.Done()
	return nil
}

// runLinks runs the links; those of a pair of regions share one rate each way.
func (s *Simulators) runLinks(ctx context.Context) error {
	paces := map[[2]string]*rate.Limiter{}
	pace := func(from, to string) *rate.Limiter {
		pair := [2]string{from, to}
		if paces[pair] == nil {
			paces[pair] = rate.NewLimiter(rate.Limit(s.Layout.RegionBitsPerSecond/bitsPerByte), linkBurst)
		}
		return paces[pair]
	}
	for _, l := range s.Layout.Links {
		lis, err := net.Listen("tcp", l.ListenAddress)
		if err != nil {
			return errors.Wrap(err, "listen for a link")
		}
		link := &raillink.Link{Target: l.TargetAddress, Delay: s.Layout.RegionDelay, ForwardLimiter: pace(l.FromRegion, l.ToRegion), ReverseLimiter: pace(l.ToRegion, l.FromRegion)}
		s.wg.Go(func() { link.Run(ctx, lis) })
	}
	return nil
}

func (s *Simulators) serve(address string, handler fasthttp.RequestHandler) error {
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen for a stand-in")
	}
	server := &fasthttp.Server{Handler: handler, MaxRequestBodySize: maxBodyBytes, Concurrency: threads, CloseOnShutdown: true}
	s.servers = append(s.servers, server)
	s.wg.Go(func() {
		if err := server.Serve(lis); err != nil {
			s.Log.Error("stand-in failed", "address", address, "err", err)
		}
	})
	return nil
}

// CommitCounts returns the commits of all order desks by key.
func (s *Simulators) CommitCounts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := map[string]int{}
	for _, desk := range s.desks {
		for key, n := range desk.CommitCounts() {
			total[key] += n
		}
	}
	return total
}

// RunningRequests returns the number of requests that run at all engines.
func (s *Simulators) RunningRequests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := 0
	for _, engine := range s.engines {
		total += engine.Running()
	}
	return total
}

func (s *Simulators) endpoint(name string, plain bool) fasthttp.RequestHandler {
	s.mu.Lock()
	defer s.mu.Unlock()
	if plain {
		desk := &raildesk.OrderService{Delay: deskDelay}
		s.desks = append(s.desks, desk)
		return desk.Handle
	}
	engine := &railengine.Engine{
		ColdCapacity: coldBears, WarmCapacity: warmBears, WarmUpRequests: warmUp, FirstToken: firstToken, BetweenTokens: betweenTokens,
		LoadTime: loadTime, DownTime: downTime, Incarnation: name + "-1",
	}
	s.engines = append(s.engines, engine)
	return engine.Handle
}
