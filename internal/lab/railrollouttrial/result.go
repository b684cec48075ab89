package railrollouttrial

import (
	"context"
	"time"
)

// Result is what a rollout measured; copies are of the whole weights.
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
	MixedAnswers     int     `json:"mixedAnswers"`
	Killed           int     `json:"killed"`
	Stalled          int     `json:"stalled"`
}

// result counts the links' bytes and loads each machine's engine, which computes the digest of the bytes that it holds.
func (t *Trial) result(ctx context.Context, took time.Duration) Result {
	r := Result{
		Mode: t.Mode, Replicas: t.Replicas, Regions: t.Regions, Seconds: took.Seconds(), BoundSeconds: t.bound().Seconds(),
		OriginCopies: copies(t.origin.Bytes()), Killed: t.Killed, Stalled: t.Stalled,
	}
	r.Ratio = r.Seconds / r.BoundSeconds
	for _, border := range t.borders {
		r.BorderCopies = max(r.BorderCopies, copies(border.Bytes()))
	}
	for _, m := range t.machines {
		r.MaxMachineCopies = max(r.MaxMachineCopies, copies(m.link.Bytes()))
		r.CorruptRejected += m.fetcher.CorruptChunks()
		if m.dead.Load() {
			continue
		}
		if err := m.engine.LoadWeights(ctx, t.manifest.Encode(), 0); err != nil || m.engine.Digest() != t.manifest.Digest() {
			r.MixedAnswers++
		}
	}
	return r
}

// bound is the least time that the links allow: the origin sends one copy, each border carries one, and the machines
// together take a copy each and send all of them but the one from the origin.
func (t *Trial) bound() time.Duration {
	origin := 1 / float64(originCopies)
	border := 0.0
	if t.Regions > 1 {
		border = 1 / t.BorderCopies
	}
	machine := (2 - 1/float64(t.Replicas)) / machineCopies
	return time.Duration(max(origin, border, machine) * float64(t.Allowed))
}

func copies(bytes int64) float64 {
	return float64(bytes) / weightsBytes
}
