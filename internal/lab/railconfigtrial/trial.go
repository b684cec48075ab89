package railconfigtrial

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/lab/raildeployment"
	"github.com/fulmarrail/fulmarrail/internal/lab/railpercentile"
	"github.com/fulmarrail/fulmarrail/internal/standin/railplatform"
)

const (
	zoneCount    = 4
	startTimeout = 30 * time.Second
	settleTime   = 3 * time.Second
	// writeRate and readRate are the rate limits of the table service, in calls per second.
	writeRate, readRate = 500, 2000
	changeTimeout       = 20 * time.Second
	orderServiceDelay   = 10 * time.Millisecond
)

// Trial is one measurement. Its exported fields must be set before Run.
type Trial struct {
	// Entries and Agents are total numbers of processes. Each is rounded up to a multiple of four, the number of zones.
	Entries, Agents int
	Changes         int
	// Customers is the number of customers in the folder besides the one that changes. Each takes about 30 bytes.
	Customers int
	// ChangeInterval is the time from when one change is applied everywhere until the next one.
	ChangeInterval time.Duration

	result    Result
	latencies []time.Duration
}

// Result holds the times that changes took to be applied by all processes.
type Result struct {
	Entries        int     `json:"entries"`
	Agents         int     `json:"agents"`
	Changes        int     `json:"changes"`
	P50Millis      float64 `json:"p50Millis"`
	P99Millis      float64 `json:"p99Millis"`
	MaxMillis      float64 `json:"maxMillis"`
	BytesPerChange float64 `json:"bytesPerChange"`
}

// Run starts the deployment and makes the changes. It returns an error if the deployment does not start or a change is not applied
// everywhere in time.
func (t *Trial) Run(ctx context.Context) (Result, error) {
	d := &raildeployment.Deployment{
		EntriesPerZone: (t.Entries + zoneCount - 1) / zoneCount, OrderServicesPerZone: (t.Agents + zoneCount - 1) / zoneCount, OrderServiceDelay: orderServiceDelay,
		SharedKey: []byte("config-trial-key"), Log: slog.New(slog.DiscardHandler),
		Platform: &railplatform.Platform{WriteRate: writeRate, ReadRate: readRate},
	}
	config := "[customer castle]\n[service orders]\nkind = plain\nsubset = 20\n"
	for i := range zoneCount {
		zone := fmt.Sprintf("zone-%d", i)
		d.Zones = append(d.Zones, zone)
		config += fmt.Sprintf("[zone %s]\nregion = %s\n", zone, zone)
	}
	for i := range t.Customers {
		config += fmt.Sprintf("[customer customer-%d]\nweight = %d\n", i, i%9+1)
	}
	defer d.Stop()
	if err := d.WriteFile("10.ini", config); err != nil {
		return Result{}, err
	}
	if err := d.Start(ctx); err != nil {
		return Result{}, err
	}
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := d.WaitRevision(startCtx, 1); err != nil {
		return Result{}, err
	}
	time.Sleep(settleTime)
	t.result = Result{Entries: zoneCount * d.EntriesPerZone, Agents: zoneCount * d.OrderServicesPerZone, Changes: t.Changes}
	bytesBefore := d.InternalBytes()
	for i := range t.Changes {
		if err := t.applyChange(ctx, d, i+1); err != nil {
			return Result{}, err
		}
	}
	t.result.BytesPerChange = float64(d.InternalBytes()-bytesBefore) / float64(max(t.Changes, 1))
	t.result.P50Millis = railpercentile.Millis(t.latencies, 50)
	t.result.P99Millis = railpercentile.Millis(t.latencies, 99)
	t.result.MaxMillis = railpercentile.Millis(t.latencies, 100)
	return t.result, nil
}

// applyChange makes one change and waits until all processes apply it. It first sleeps for ChangeInterval, which is not aligned with
// the processes' polling intervals.
func (t *Trial) applyChange(ctx context.Context, d *raildeployment.Deployment, number int) error {
	time.Sleep(t.ChangeInterval)
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	if err := d.WriteFile("20.ini", fmt.Sprintf("[customer castle]\nweight = %d\n", number)); err != nil {
		return err
	}
	start := time.Now()
	if err := d.WaitRevision(ctx, uint64(number+1)); err != nil {
		return errors.Wrapf(err, "change %d", number)
	}
	t.latencies = append(t.latencies, time.Since(start))
	return nil
}
