package railpanic

import (
	"fmt"
	"log/slog"
	"runtime/debug"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"github.com/fulmarrail/fulmarrail/internal/core/raillogsampler"
)

// logsPerSecond is the number of panics of one kind of unit that are logged each second. A line holds a whole stack.
const logsPerSecond = 1

// samplers holds a *raillogsampler.Sampler for each kind of unit.
var samplers sync.Map

// Error is a panic that was recovered.
type Error struct {
	// Value is what the unit of work panicked with.
	Value any
}

// Recovered returns nil if value is nil, and otherwise the panic with that value as an error, which it counts and logs with its stack and the
// given attributes. It must be called in a deferred function, with the result of recover. Without a log, it uses the default one. unit names the kind
// of work that has ended, for the log and as a label of the metric.
func Recovered(value any, log *slog.Logger, unit string, attrs ...any) *Error {
	if value == nil {
		return nil
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`fulmarrail_panics_total{unit=%q}`, unit)).Inc()
	record(log, unit, value, attrs)
	return &Error{Value: value}
}

// Error returns the panic's value as text.
func (e *Error) Error() string {
	return fmt.Sprintf("panic: %v", e.Value)
}

// Unwrap returns the panic's value if it is an error.
func (e *Error) Unwrap() error {
	err, _ := e.Value.(error)
	return err
}

func record(log *slog.Logger, unit string, value any, attrs []any) {
	defer func() { _ = recover() }() // The log may be what has panicked; the metric counts it in any case.
	sampler, _ := samplers.LoadOrStore(unit, &raillogsampler.Sampler{PerSecond: logsPerSecond})
	suppressed, ok := sampler.(*raillogsampler.Sampler).Allow()
	if !ok {
		return
	}
	if log == nil {
		log = slog.Default()
	}
	log.With(attrs...).Error("panic contained", "unit", unit, "panic", fmt.Sprint(value), "stack", string(debug.Stack()), "leftOut", suppressed)
}
