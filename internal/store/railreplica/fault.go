package railreplica

import (
	"log/slog"
	"sync"

	"github.com/fulmarrail/fulmarrail/internal/store/railversion"
)

// Fault is a row that can't be decoded, with the reason.
type Fault struct {
	Table, Key string
	Version    int64
	Err        error
}

// Faults logs each fault once per version of its row. Its exported fields must be set before its first use.
type Faults struct {
	Log *slog.Logger

	mu     sync.Mutex
	logged map[string]int64
}

// Report takes the current faults of a table, logs the new ones and forgets those that are no longer present.
func (f *Faults) Report(faults []Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	current := make(map[string]int64, len(faults))
	for _, fault := range faults {
		row := fault.Table + "/" + fault.Key
		current[row] = fault.Version
		if f.logged[row] != fault.Version {
			f.Log.Warn("row can't be read, it is left out", "row", row, "version", railversion.String(fault.Version), "err", fault.Err)
		}
	}
	f.logged = current
}
