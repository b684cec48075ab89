package railrollouttrial

import (
	"context"
	"fmt"

	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
)

// injectFaults causes the faults during the second third of LinkTime. Lying machines lie from the start, and killed ones stay dead.
func (t *Trial) injectFaults(ctx context.Context) {
	t.mu.Lock()
	order := t.random.Perm(t.Replicas)
	t.mu.Unlock()
	pick := func(n int) []*machine {
		var picked []*machine
		for _, i := range order[:min(n, len(order))] {
			picked = append(picked, t.machines[machineName(i)])
		}
		order = order[len(picked):]
		return picked
	}
	for _, m := range pick(t.LyingMachines) {
		m.lying.Store(true)
	}
	railtimer.Sleep(ctx, t.LinkTime/3)
	for _, m := range pick(t.KilledMachines) {
		m.dead.Store(true)
		m.kill()
	}
	stalled := pick(t.StalledMachines)
	for _, m := range stalled {
		m.stalled.Store(true)
	}
	t.originDown.Store(t.OriginOutage)
	t.regionCutOff.Store(t.RegionPartition)
	railtimer.Sleep(ctx, t.LinkTime/3)
	for _, m := range stalled {
		m.stalled.Store(false)
	}
	t.originDown.Store(false)
	t.regionCutOff.Store(false)
}

// fetchOnFreshMachine adds a machine, which the membership list does not include yet, and fetches the weights there.
func (t *Trial) fetchOnFreshMachine(ctx context.Context) error {
	t.addMachine(t.Replicas)
	return t.fetch(ctx, t.machines[machineName(t.Replicas)], t.Replicas)
}

// partitioned reports whether the partition of the last region separates regions a and b.
func (t *Trial) partitioned(a, b string) bool {
	last := fmt.Sprintf("region-%d", t.Regions-1)
	return t.regionCutOff.Load() && a != b && (a == last || b == last)
}
