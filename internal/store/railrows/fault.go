package railrows

import (
	"log/slog"
	"sync"
)

// Fault says why a row can't be read.
type Fault struct {
	Table, Key string
	Version    int64
	Err        error
}

// Faults logs each fault once for each version of its row; its fields are set before its first use.
type Faults struct {
	Log *slog.Logger

	mu     sync.Mutex
	logged map[string]int64
}

// Report logs the faults of a table that are new, and forgets those that are gone.
func (f *Faults) Report(faults []Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	current := make(map[string]int64, len(faults))
	for _, fault := range faults {
		row := fault.Table + "/" + fault.Key
		current[row] = fault.Version
		if f.logged[row] != fault.Version {
			f.Log.Warn("row can't be read, it is left out", "row", row, "version", fault.Version, "err", fault.Err)
		}
	}
	f.logged = current
}
