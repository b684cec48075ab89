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
	zones      = 4
	startLimit = 30 * time.Second
	settle     = 3 * time.Second
	// writeRate and readRate are the table service's, in calls a second.
	writeRate, readRate = 500, 2000
	changeLimit         = 20 * time.Second
	deskDelay           = 10 * time.Millisecond
)

// Trial is one measurement; its fields are set before Run.
type Trial struct {
	// Entries and Agents are the numbers of processes in all; each is rounded up to a multiple of four.
	Entries, Agents int
	Changes         int
	// Customers is the number of customers in the folder besides the one that changes, 30 bytes each.
	Customers int
	// Pause is the time between one change in force and the next one.
	Pause time.Duration

	result Result
	took   []time.Duration
}

// Result is what the changes took until they were in force everywhere.
type Result struct {
	Entries        int     `json:"entries"`
	Agents         int     `json:"agents"`
	Changes        int     `json:"changes"`
	P50Millis      float64 `json:"p50Millis"`
	P99Millis      float64 `json:"p99Millis"`
	MaxMillis      float64 `json:"maxMillis"`
	BytesPerChange float64 `json:"bytesPerChange"`
}

// Run runs the deployment and the changes, or returns an error when one is not in force in time.
func (t *Trial) Run(ctx context.Context) (Result, error) {
	d := &raildeployment.Deployment{
		EntriesPerZone: (t.Entries + zones - 1) / zones, OrderServicesPerZone: (t.Agents + zones - 1) / zones, OrderServiceDelay: deskDelay,
		SharedKey: []byte("config-trial-key"), Log: slog.New(slog.DiscardHandler),
		Platform: &railplatform.Platform{WriteRate: writeRate, ReadRate: readRate},
	}
	folder := "[customer castle]\n[service orders]\nkind = plain\nsubset = 20\n"
	for i := range zones {
		zone := fmt.Sprintf("zone-%d", i)
		d.Zones = append(d.Zones, zone)
		folder += fmt.Sprintf("[zone %s]\nregion = %s\n", zone, zone)
	}
	for i := range t.Customers {
		folder += fmt.Sprintf("[customer customer-%d]\nweight = %d\n", i, i%9+1)
	}
	defer d.Stop()
	if err := d.WriteFile("10.ini", folder); err != nil {
		return Result{}, err
	}
	if err := d.Start(ctx); err != nil {
		return Result{}, err
	}
	starting, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	if err := d.WaitRevision(starting, 1); err != nil {
		return Result{}, err
	}
	time.Sleep(settle)
	t.result = Result{Entries: zones * d.EntriesPerZone, Agents: zones * d.OrderServicesPerZone, Changes: t.Changes}
	bytes := d.InternalBytes()
	for i := range t.Changes {
		if err := t.change(ctx, d, i+1); err != nil {
			return Result{}, err
		}
	}
	t.result.BytesPerChange = float64(d.InternalBytes()-bytes) / float64(max(t.Changes, 1))
	t.result.P50Millis = railpercentile.Millis(t.took, 50)
	t.result.P99Millis = railpercentile.Millis(t.took, 99)
	t.result.MaxMillis = railpercentile.Millis(t.took, 100)
	return t.result, nil
}

// change makes one change and waits until it is in force; the pause falls anywhere into the processes' intervals.
func (t *Trial) change(ctx context.Context, d *raildeployment.Deployment, state int) error {
	time.Sleep(t.Pause)
	ctx, cancel := context.WithTimeout(ctx, changeLimit)
	defer cancel()
	if err := d.WriteFile("20.ini", fmt.Sprintf("[customer castle]\nweight = %d\n", state)); err != nil {
		return err
	}
	began := time.Now()
	if err := d.WaitRevision(ctx, uint64(state+1)); err != nil {
		return errors.Wrapf(err, "change %d", state)
	}
	t.took = append(t.took, time.Since(began))
	return nil
}
