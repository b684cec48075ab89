package raillog

import (
	"context"
	"log/slog"
)

// PrefixHandler puts a fixed prefix before each message. Its fields must be set before first use.
type PrefixHandler struct {
	slog.Handler
	Prefix string
}

// Named returns a logger that puts the name of a component and a colon before each message.
func Named(log *slog.Logger, name string) *slog.Logger {
	return slog.New(PrefixHandler{Handler: log.Handler(), Prefix: name + ": "})
}

// Handle handles one line.
func (h PrefixHandler) Handle(ctx context.Context, record slog.Record) error {
	record.Message = h.Prefix + record.Message
	return h.Handler.Handle(ctx, record)
}

// WithAttrs returns the handler with further attributes.
func (h PrefixHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return PrefixHandler{Handler: h.Handler.WithAttrs(attrs), Prefix: h.Prefix}
}

// WithGroup returns the handler with a group.
func (h PrefixHandler) WithGroup(name string) slog.Handler {
	return PrefixHandler{Handler: h.Handler.WithGroup(name), Prefix: h.Prefix}
}

// ReadableDurations writes durations with their units; it is for the options of a handler.
func ReadableDurations(_ []string, a slog.Attr) slog.Attr {
	if a.Value.Kind() == slog.KindDuration {
		a.Value = slog.StringValue(a.Value.Duration().String())
	}
	return a
}
