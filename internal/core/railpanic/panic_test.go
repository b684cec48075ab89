package railpanic_test

import (
	"bytes"
	"io"
	"log/slog"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/core/railpanic"
	"github.com/fulmarrail/fulmarrail/internal/lab/railvirtualtime"
)

func panicWith(value any) {
	panic(value)
}

// contain returns how a unit of work has ended that panics with value, or does not if value is nil.
func contain(log *slog.Logger, unit string, value any) (err error) {
	defer func() {
		if p := railpanic.Recovered(recover(), log, unit, "request", "id-1"); p != nil {
			err = p
		}
	}()
	if value != nil {
		panicWith(value)
	}
	return nil
}

func TestPanicIsReturnedAsErrorAndLoggedWithItsStack(t *testing.T) {
	var lines bytes.Buffer
	log := slog.New(slog.NewJSONHandler(&lines, nil))
	qt.Check(t, contain(log, "none", nil), qt.IsNil)
	qt.Check(t, lines.Len(), qt.Equals, 0)
	err := contain(log, "stack", io.ErrClosedPipe)
	qt.Check(t, err, qt.ErrorIs, io.ErrClosedPipe)
	var p *railpanic.Error
	qt.Check(t, errors.As(err, &p), qt.IsTrue)
	qt.Check(t, lines.String(), qt.Contains, `"request":"id-1"`)
	qt.Check(t, lines.String(), qt.Contains, "railpanic_test.panicWith")
}

func TestPanicsOfOneUnitAreLoggedOnceASecond(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		var lines bytes.Buffer
		log := slog.New(slog.NewTextHandler(&lines, nil))
		for range 10 {
			qt.Check(t, contain(log, "many", "a"), qt.ErrorMatches, "panic: a")
		}
		qt.Check(t, strings.Count(lines.String(), "panic contained"), qt.Equals, 1)
		qt.Check(t, contain(log, "other", "a"), qt.ErrorMatches, "panic: a")
		qt.Check(t, strings.Count(lines.String(), "panic contained"), qt.Equals, 2)
	})
}

type panickingValue struct{}

func (panickingValue) LogValue() slog.Value { panic("in the log") }

// Guards against a log whose own panic ends the process.
func TestPanicInLogIsContained(t *testing.T) {
	log := slog.New(slog.NewTextHandler(io.Discard, nil)).With("value", panickingValue{})
	qt.Check(t, contain(log, "log", "a"), qt.ErrorMatches, "panic: a")
}
