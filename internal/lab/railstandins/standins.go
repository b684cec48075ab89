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
	"github.com/fulmarrail/fulmarrail/internal/standin/railengine"
	"github.com/fulmarrail/fulmarrail/internal/standin/raillink"
	"github.com/fulmarrail/fulmarrail/internal/standin/railorderservice"
	"github.com/fulmarrail/fulmarrail/internal/standin/railplatform"
)

const (
	writeRate         = 500
	readRate          = 2000
	memberListLag     = 3 * time.Second
	bitsPerByte       = 8
	linkBurst         = 64 << 10
	maxBodyBytes      = 64 << 20
	maxConcurrency    = 1 << 14
	orderServiceDelay = 20 * time.Millisecond

	coldCapacity    = 4
	warmCapacity    = 32
	warmUpRequests  = 200
	firstTokenDelay = 80 * time.Millisecond
	tokenInterval   = 20 * time.Millisecond
	loadTime        = 2 * time.Second
	downTime        = 10 * time.Second
)

// Simulators runs the simulated platform, endpoints and inter-region links of a layout. Set the exported fields before Run.
type Simulators struct {
	Layout *raillayout.Layout
	// Weights holds the content of each version in the origin, by version name.
	Weights map[string][]byte
	// ChunkSize is the size of a chunk in bytes.
	ChunkSize int64
	Log       *slog.Logger

	wg       sync.WaitGroup
	servers  []*fasthttp.Server
	platform *railplatform.Platform

	mu            sync.Mutex
	engines       []*railengine.Engine
	orderServices []*railorderservice.OrderService
}

// Run serves until ctx is done. It returns an error if it can't listen on an address.
func (s *Simulators) Run(ctx context.Context) error {
	defer s.wg.Wait()
	defer func() {
		for _, server := range s.servers {
			_ = server.Shutdown()
		}
	}()
	// The VM list that a region gets holds the addresses at which that region reaches the other members.
	regionView := func(region string, m railmember.Member) railmember.Member {
		m.Address = s.Layout.Address(region, m)
		return m
	}
	s.platform = &railplatform.Platform{
		WriteRate: writeRate, ReadRate: readRate, OriginRate: float64(s.Layout.OriginBytesPerSecond), ListLag: memberListLag, RegionView: regionView,
	}
	for version, weights := range s.Weights {
		manifest := s.platform.AddWeights(version, weights, s.ChunkSize)
		s.Log.Info("added version to origin", "version", version, "bytes", manifest.Size, "digest", manifest.Digest())
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
		if err := s.serve(p.EndpointAddress, s.newEndpoint(p.Member.Name, p.Plain)); err != nil {
			return err
		}
	}
	if err := s.runLinks(ctx); err != nil {
		return err
	}
	s.Log.Info("simulated services started", "processes", len(s.Layout.Processes), "links", len(s.Layout.Links))
	<-ctx.Done()
	return nil
}

// runLinks starts the links. All links between the same two regions share one rate limiter for each direction.
func (s *Simulators) runLinks(ctx context.Context) error {
	limiters := map[[2]string]*rate.Limiter{}
	limiter := func(from, to string) *rate.Limiter {
		pair := [2]string{from, to}
		if limiters[pair] == nil {
			limiters[pair] = rate.NewLimiter(rate.Limit(s.Layout.RegionBitsPerSecond/bitsPerByte), linkBurst)
		}
		return limiters[pair]
	}
	for _, l := range s.Layout.Links {
		lis, err := net.Listen("tcp", l.ListenAddress)
		if err != nil {
			return errors.Wrap(err, "listen for link")
		}
		link := &raillink.Link{Target: l.TargetAddress, Delay: s.Layout.RegionDelay, ForwardLimiter: limiter(l.FromRegion, l.ToRegion), ReverseLimiter: limiter(l.ToRegion, l.FromRegion)}
		s.wg.Go(func() { link.Run(ctx, lis) })
	}
	return nil
}

func (s *Simulators) serve(address string, handler fasthttp.RequestHandler) error {
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen for simulated service")
	}
	server := &fasthttp.Server{Handler: handler, MaxRequestBodySize: maxBodyBytes, Concurrency: maxConcurrency, CloseOnShutdown: true}
	s.servers = append(s.servers, server)
	s.wg.Go(func() {
		if err := server.Serve(lis); err != nil {
			s.Log.Error("simulated service failed", "address", address, "err", err)
		}
	})
	return nil
}

// CommitCounts returns the number of commits at all order services by idempotency key.
func (s *Simulators) CommitCounts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := map[string]int{}
	for _, orderService := range s.orderServices {
		for key, n := range orderService.CommitCounts() {
			total[key] += n
		}
	}
	return total
}

// RunningRequests returns the number of requests running at all engines.
func (s *Simulators) RunningRequests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := 0
	for _, engine := range s.engines {
		total += engine.Running()
	}
	return total
}

func (s *Simulators) newEndpoint(name string, plain bool) fasthttp.RequestHandler {
	s.mu.Lock()
	defer s.mu.Unlock()
	if plain {
		orderService := &railorderservice.OrderService{Delay: orderServiceDelay}
		s.orderServices = append(s.orderServices, orderService)
		return orderService.Handle
	}
	engine := &railengine.Engine{
		ColdCapacity: coldCapacity, WarmCapacity: warmCapacity, WarmUpRequests: warmUpRequests, FirstToken: firstTokenDelay, BetweenTokens: tokenInterval,
		LoadTime: loadTime, DownTime: downTime, Incarnation: name + "-1",
	}
	s.engines = append(s.engines, engine)
	return engine.Handle
}
