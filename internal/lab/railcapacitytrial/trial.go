package railcapacitytrial

import (
	"context"
	"log/slog"
	"runtime"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/lab/raildeployment"
	"github.com/fulmarrail/fulmarrail/internal/lab/railloadgen"
	"github.com/fulmarrail/fulmarrail/internal/standin/railengine"
	"github.com/fulmarrail/fulmarrail/internal/standin/railplatform"
)

const (
	settleTime = 3 * time.Second
	// idleTime and loadTime are the lengths of the measurements.
	idleTime     = 5 * time.Second
	loadTime     = 4 * time.Second
	startTimeout = 40 * time.Second
	zone         = "a"
	// requestRate is in requests per second.
	requestRate       = 100
	shortOutputTokens = 10
	longOutputTokens  = 50
	weights           = "capacity-trial-weights"
)

const config = `[origin main]
region = a
[zone a]
region = a
[customer castle]
[service assistant]
kind = engine
version = v1
coldLimit = 16
maxLimit = 64
warmAfter = 0
subset = 20
`

// Sample holds the measurements of one deployment.
type Sample struct {
	Entries             int     `json:"entries"`
	Agents              int     `json:"agents"`
	IdleCPUPercent      float64 `json:"idleCpuPercent"`
	IdleBytesPerSecond  float64 `json:"idleBytesPerSecond"`
	IdleCallsPerSecond  float64 `json:"idleCallsPerSecond"`
	TableReadsPerSecond float64 `json:"tableReadsPerSecond"`
	MemoryMB            float64 `json:"memoryMB"`
	Goroutines          int     `json:"goroutines"`
	RequestsPerSecond   float64 `json:"requestsPerSecond,omitempty"`
	CPUMicrosPerRequest float64 `json:"cpuMicrosRequest,omitempty"`
	CPUMicrosPerToken   float64 `json:"cpuMicrosToken,omitempty"`
}

// Measure runs a deployment of entries and agents in this process and returns its resource use. If load is set, it also measures the
// CPU time per request and per token, which includes that of the simulated engines and clients.
func Measure(ctx context.Context, entries, agents int, load bool) (Sample, error) {
	memoryBefore := memoryMB()
	platform := &railplatform.Platform{}
	manifest := platform.AddWeights("v1", []byte(weights), 8)
	d := &raildeployment.Deployment{
		Zones: []string{zone}, EntriesPerZone: entries, EnginesPerZone: agents, SharedKey: []byte("capacity-trial-key"),
		Platform: platform, Log: slog.New(slog.DiscardHandler), NewEngine: newEngine,
	}
	defer d.Stop()
	if err := d.WriteFile("10.ini", config); err != nil {
		return Sample{}, err
	}
	if err := d.Start(ctx); err != nil {
		return Sample{}, err
	}
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := errors.Join(d.WaitReady(startCtx), d.WaitServing(startCtx, manifest.Digest(), agents)); err != nil {
		return Sample{}, err
	}
	time.Sleep(settleTime)
	s := Sample{Entries: entries, Agents: agents}
	s.measureIdle(d, platform)
	s.MemoryMB = memoryMB() - memoryBefore
	s.Goroutines = runtime.NumGoroutine()
	if load {
		s.measureLoad(ctx, d)
	}
	return s, nil
}

func (s *Sample) measureIdle(d *raildeployment.Deployment, platform *railplatform.Platform) {
	cpuBefore, bytesBefore := cpuTime(), d.InternalBytes()
	writesBefore, readsBefore := platform.CallCounts()
	time.Sleep(idleTime)
	writesAfter, readsAfter := platform.CallCounts()
	s.IdleCPUPercent = 100 * (cpuTime() - cpuBefore).Seconds() / idleTime.Seconds()
	s.IdleBytesPerSecond = float64(d.InternalBytes()-bytesBefore) / idleTime.Seconds()
	s.TableReadsPerSecond = float64(readsAfter-readsBefore) / idleTime.Seconds()
	s.IdleCallsPerSecond = float64(writesAfter+readsAfter-writesBefore-readsBefore) / idleTime.Seconds()
}

// measureLoad requests short and then long answers at the same rate. The difference is the CPU time of the additional tokens.
func (s *Sample) measureLoad(ctx context.Context, d *raildeployment.Deployment) {
	idleShare := s.IdleCPUPercent / 100
	short := cpuTimePerRequest(ctx, d, shortOutputTokens, idleShare)
	long := cpuTimePerRequest(ctx, d, longOutputTokens, idleShare)
	perToken := (long - short) / (longOutputTokens - shortOutputTokens)
	s.RequestsPerSecond = requestRate
	s.CPUMicrosPerToken = float64(perToken.Nanoseconds()) / 1000
	s.CPUMicrosPerRequest = float64((short - shortOutputTokens*perToken).Nanoseconds()) / 1000
}

// cpuTimePerRequest returns the CPU time of one request beyond that of the idle deployment. idleShare is the idle use in CPUs.
func cpuTimePerRequest(ctx context.Context, d *raildeployment.Deployment, tokens int, idleShare float64) time.Duration {
	var entries []string
	for _, address := range d.CallerAddresses() {
		entries = append(entries, address)
	}
	load := &railloadgen.Load{
		Entries: entries, Service: raildeployment.AssistantService, Path: "/v1/chat", Rate: requestRate, OutputTokens: tokens,
		Customers: []string{"castle"}, Deadline: 10 * time.Second, Seed: 1,
	}
	loadCtx, cancel := context.WithTimeout(ctx, loadTime)
	defer cancel()
	start, cpuBefore := time.Now(), cpuTime()
	load.Run(loadCtx)
	used := cpuTime() - cpuBefore - time.Duration(idleShare*float64(time.Since(start)))
	requests := len(load.Answers(start, time.Now().Add(time.Hour)))
	return used / time.Duration(max(requests, 1))
}

func newEngine(name string) *railengine.Engine {
	return &railengine.Engine{
		ColdCapacity: 16, WarmCapacity: 64, WarmUpRequests: 1, FirstToken: 10 * time.Millisecond, BetweenTokens: 5 * time.Millisecond, Incarnation: name,
	}
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// memoryMB returns the heap and stack in use after a garbage collection, in MiB.
func memoryMB() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapInuse+stats.StackInuse) / (1 << 20)
}
