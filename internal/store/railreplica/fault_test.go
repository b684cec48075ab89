package railreplica_test

import (
	"log/slog"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/store/railreplica"
	"github.com/fulmarrail/fulmarrail/internal/store/railversion"
)

// Guards against logged versions that can't be compared with the store's own numbers, since they hold the era as well.
func TestFaultShowsStoresNumber(t *testing.T) {
	var log strings.Builder
	faults := &railreplica.Faults{Log: slog.New(slog.NewTextHandler(&log, nil))}
	faults.Report([]railreplica.Fault{{Table: "t", Key: "k", Version: railversion.New(2, 27), Err: errors.New("malformed")}})
	qt.Check(t, log.String(), qt.Contains, "version=2:27")
}
