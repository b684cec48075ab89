package raillog

import (
	"context"
	"log/slog"
)

// Handler puts a fixed prefix before each line; its fields are set before its first use.
type Handler struct {
	slog.Handler
	Prefix string
}

// Part returns a logger for a part of the process, whose lines begin with the part's name.
func Part(log *slog.Logger, name string) *slog.Logger {
	return slog.New(Handler{Handler: log.Handler(), Prefix: name + ": "})
}

// Handle handles one line.
func (h Handler) Handle(ctx context.Context, record slog.Record) error {
	record.Message = h.Prefix + record.Message
	return h.Handler.Handle(ctx, record)
}

// WithAttrs returns the handler with further attributes.
func (h Handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return Handler{Handler: h.Handler.WithAttrs(attrs), Prefix: h.Prefix}
}

// WithGroup returns the handler with a group.
func (h Handler) WithGroup(name string) slog.Handler {
	return Handler{Handler: h.Handler.WithGroup(name), Prefix: h.Prefix}
}

// ReadableDurations writes durations with their units; it is for the options of a handler.
func ReadableDurations(_ []string, a slog.Attr) slog.Attr {
	if a.Value.Kind() == slog.KindDuration {
		a.Value = slog.StringValue(a.Value.Duration().String())
	}
	return a
}
