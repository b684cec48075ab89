package railcapacitytrial

import (
	"context"
	"log/slog"
	"runtime"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/lab/raildeployment"
	"github.com/fulmarrail/fulmarrail/internal/lab/railload"
	"github.com/fulmarrail/fulmarrail/internal/standin/railengine"
	"github.com/fulmarrail/fulmarrail/internal/standin/railplatform"
)

const (
	settle      = 3 * time.Second
	idle        = 5 * time.Second
	loaded      = 4 * time.Second
	startLimit  = 40 * time.Second
	zone        = "a"
	requestRate = 100
	shortAnswer = 10
	longAnswer  = 50
	weights     = "capacity-trial-weights"
)

const folder = `[origin main]
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

// Sample is one measured deployment.
type Sample struct {
	Entries           int     `json:"entries"`
	Agents            int     `json:"agents"`
	IdleCPUPercent    float64 `json:"idleCpuPercent"`
	IdleBytesPerSec   float64 `json:"idleBytesPerSecond"`
	IdleCallsPerSec   float64 `json:"idleCallsPerSecond"`
	TableReadsPerSec  float64 `json:"tableReadsPerSecond"`
	MemoryMB          float64 `json:"memoryMB"`
	Goroutines        int     `json:"goroutines"`
	RequestsPerSecond float64 `json:"requestsPerSecond,omitempty"`
	CPUMicrosRequest  float64 `json:"cpuMicrosRequest,omitempty"`
	CPUMicrosToken    float64 `json:"cpuMicrosToken,omitempty"`
}

// Measure runs a deployment of entries and agents in this process and returns what it cost; with load it also measures
// requests and tokens, stand-ins and callers included.
func Measure(ctx context.Context, entries, agents int, load bool) (Sample, error) {
	before := memory()
	platform := &railplatform.Platform{}
	m := platform.AddWeights("v1", []byte(weights), 8)
	d := &raildeployment.Deployment{
		Zones: []string{zone}, EntriesPerZone: entries, EnginesPerZone: agents, SharedKey: []byte("capacity-trial-key"),
		Platform: platform, Log: slog.New(slog.DiscardHandler), NewEngine: newEngine,
	}
	defer d.Stop()
	if err := d.WriteFile("10.ini", folder); err != nil {
		return Sample{}, err
	}
	if err := d.Start(ctx); err != nil {
		return Sample{}, err
	}
	bounded, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	if err := errors.Join(d.WaitReady(bounded), d.WaitServing(bounded, m.Digest(), agents)); err != nil {
		return Sample{}, err
	}
	time.Sleep(settle)
	s := Sample{Entries: entries, Agents: agents}
	s.measureIdle(d, platform)
	s.MemoryMB = memory() - before
	s.Goroutines = runtime.NumGoroutine()
	if load {
		s.measureLoad(ctx, d)
	}
	return s, nil
}

func (s *Sample) measureIdle(d *raildeployment.Deployment, platform *railplatform.Platform) {
	cpu, bytes := processorTime(), d.InternalBytes()
	writes, reads := platform.CallCounts()
	time.Sleep(idle)
	laterWrites, laterReads := platform.CallCounts()
	s.IdleCPUPercent = 100 * (processorTime() - cpu).Seconds() / idle.Seconds()
	s.IdleBytesPerSec = float64(d.InternalBytes()-bytes) / idle.Seconds()
	s.TableReadsPerSec = float64(laterReads-reads) / idle.Seconds()
	s.IdleCallsPerSec = float64(laterWrites+laterReads-writes-reads) / idle.Seconds()
}

// measureLoad sends short and then long answers at one rate; the difference is the cost of the further tokens.
func (s *Sample) measureLoad(ctx context.Context, d *raildeployment.Deployment) {
	idleShare := s.IdleCPUPercent / 100
	short := cost(ctx, d, shortAnswer, idleShare)
	long := cost(ctx, d, longAnswer, idleShare)
	token := (long - short) / (longAnswer - shortAnswer)
	s.RequestsPerSecond = requestRate
	s.CPUMicrosToken = float64(token.Nanoseconds()) / 1000
	s.CPUMicrosRequest = float64((short - shortAnswer*token).Nanoseconds()) / 1000
}

// cost returns the processor time of one request over what the idle deployment takes.
func cost(ctx context.Context, d *raildeployment.Deployment, tokens int, idleShare float64) time.Duration {
	var entries []string
	for _, address := range d.CallerAddresses() {
		entries = append(entries, address)
	}
	load := &railload.Load{
		Entries: entries, Service: raildeployment.AssistantService, Path: "/v1/chat", Rate: requestRate, Tokens: tokens,
		Customers: []string{"castle"}, Deadline: 10 * time.Second, Seed: 1,
	}
	bounded, cancel := context.WithTimeout(ctx, loaded)
	defer cancel()
	began, cpu := time.Now(), processorTime()
	load.Run(bounded)
	used := processorTime() - cpu - time.Duration(idleShare*float64(time.Since(began)))
	requests := len(load.Answers(began, time.Now().Add(time.Hour)))
	return used / time.Duration(max(requests, 1))
}

func newEngine(name string) *railengine.Engine {
	return &railengine.Engine{
		ColdCapacity: 16, WarmCapacity: 64, WarmUpRequests: 1, FirstToken: 10 * time.Millisecond, BetweenTokens: 5 * time.Millisecond, Incarnation: name,
	}
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// memory returns the megabytes in use after a collection.
func memory() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapInuse+stats.StackInuse) / (1 << 20)
}
