package raillog

import (
	"context"
	"log/slog"
)

// PrefixHandler is a slog.Handler that puts a fixed prefix before each message. Its fields must be set before first use.
type PrefixHandler struct {
	slog.Handler
	Prefix string
}

// Named returns a logger that prefixes each message with a component's name, a colon and a space.
func Named(log *slog.Logger, name string) *slog.Logger {
	return slog.New(PrefixHandler{Handler: log.Handler(), Prefix: name + ": "})
}

// Handle adds the prefix to the record's message and passes the record on.
func (h PrefixHandler) Handle(ctx context.Context, record slog.Record) error {
	record.Message = h.Prefix + record.Message
	return h.Handler.Handle(ctx, record)
}

// WithAttrs returns a handler with the same prefix that adds attrs to each record.
func (h PrefixHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return PrefixHandler{Handler: h.Handler.WithAttrs(attrs), Prefix: h.Prefix}
}

// WithGroup returns a handler with the same prefix that puts later attributes into the named group.
func (h PrefixHandler) WithGroup(name string) slog.Handler {
	return PrefixHandler{Handler: h.Handler.WithGroup(name), Prefix: h.Prefix}
}

// ReadableDurations formats durations with their units, such as 1.5s. It is meant for slog.HandlerOptions.ReplaceAttr.
func ReadableDurations(_ []string, a slog.Attr) slog.Attr {
	if a.Value.Kind() == slog.KindDuration {
		a.Value = slog.StringValue(a.Value.Duration().String())
	}
	return a
}
