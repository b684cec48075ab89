package railrollouttrial

import (
	"context"
	"time"
)

// Result holds the measurements of one rollout. Traffic is given in copies of the whole weights.
type Result struct {
	Mode             string  `json:"mode"`
	Replicas         int     `json:"replicas"`
	Regions          int     `json:"regions"`
	Seconds          float64 `json:"seconds"`
	BoundSeconds     float64 `json:"boundSeconds"`
	Ratio            float64 `json:"ratio"`
	OriginCopies     float64 `json:"originCopies"`
	BorderCopies     float64 `json:"borderCopies"`
	MaxMachineCopies float64 `json:"maxMachineCopies"`
	CorruptRejected  int64   `json:"corruptRejected"`
	MixedReplicas    int     `json:"mixedAnswers"`
	Killed           int     `json:"killed"`
	Stalled          int     `json:"stalled"`
}

// result collects the links' byte counts. It also loads the weights into each live engine, which computes the digest of the bytes
// that it holds, to detect partial or mixed weights.
func (t *Trial) result(ctx context.Context, elapsed time.Duration) Result {
	r := Result{
		Mode: t.Mode, Replicas: t.Replicas, Regions: t.Regions, Seconds: elapsed.Seconds(), BoundSeconds: t.lowerBound().Seconds(),
		OriginCopies: copiesOfWeights(t.origin.Bytes()), Killed: t.KilledMachines, Stalled: t.StalledMachines,
	}
	r.Ratio = r.Seconds / r.BoundSeconds
	for _, link := range t.regionLinks {
		r.BorderCopies = max(r.BorderCopies, copiesOfWeights(link.Bytes()))
	}
	for _, m := range t.machines {
		r.MaxMachineCopies = max(r.MaxMachineCopies, copiesOfWeights(m.link.Bytes()))
		r.CorruptRejected += m.fetcher.CorruptChunks()
		if m.dead.Load() {
			continue
		}
		if err := m.engine.LoadWeights(ctx, t.manifest.Encode(), 0); err != nil || m.engine.Digest() != t.manifest.Digest() {
			r.MixedReplicas++
		}
	}
	return r
}

// lowerBound returns the shortest rollout that the links allow: the origin sends one copy, each link between regions carries one, and
// the machines together receive a copy each and send all of these but the one from the origin.
func (t *Trial) lowerBound() time.Duration {
	originShare := 1 / float64(originLinkCopies)
	regionShare := 0.0
	if t.Regions > 1 {
		regionShare = 1 / t.BorderCopies
	}
	machineShare := (2 - 1/float64(t.Replicas)) / machineLinkCopies
	return time.Duration(max(originShare, regionShare, machineShare) * float64(t.LinkTime))
}

func copiesOfWeights(bytes int64) float64 {
	return float64(bytes) / weightsBytes
}
