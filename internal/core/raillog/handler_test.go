package raillog_test

import (
	"bytes"
	"log/slog"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/core/raillog"
)

func TestNamedPrefixesMessages(t *testing.T) {
	var out bytes.Buffer
	log := slog.New(slog.NewTextHandler(&out, nil))
	raillog.Named(log, "config").With("revision", 7).Info("revision published")
	qt.Check(t, out.String(), qt.Contains, `msg="config: revision published" revision=7`)
}

func TestReadableDurationsIncludeUnits(t *testing.T) {
	var out bytes.Buffer
	log := slog.New(slog.NewJSONHandler(&out, &slog.HandlerOptions{ReplaceAttr: raillog.ReadableDurations}))
	log.Info("x", "after", 1500*time.Millisecond)
	qt.Check(t, out.String(), qt.Contains, `"after":"1.5s"`)
}
