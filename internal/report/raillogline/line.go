package raillogline

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Line is a parsed log line.
type Line struct {
	Time    time.Time `json:"time"`
	Process string    `json:"process"`
	Level   string    `json:"level"`
	Message string    `json:"message"`
	// Fields holds the other fields of the line in their original order.
	Fields []Field `json:"fields"`
}

// Field is a key and its value, formatted as text.
type Field struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

var errNotLogLine = errors.New("not a log line of a process")

// Parse parses a log line. It ignores any text before the first brace, since log collectors may add a prefix. It returns an error
// if the rest is not a JSON object with a time and a message.
func Parse(raw []byte) (Line, error) {
	start := bytes.IndexByte(raw, '{')
	if start < 0 {
		return Line{}, errNotLogLine
	}
	decoder := json.NewDecoder(bytes.NewReader(raw[start:]))
	decoder.UseNumber()
	if _, err := decoder.Token(); err != nil {
		return Line{}, errors.Wrap(err, "read the line")
	}
	var l Line
	for decoder.More() {
		key, err := decoder.Token()
		if err != nil {
			return Line{}, errors.Wrap(err, "read a key")
		}
		var value json.RawMessage
		if err := decoder.Decode(&value); err != nil {
			return Line{}, errors.Wrapf(err, "read field %v", key)
		}
		if err := l.set(fmt.Sprint(key), unquote(value)); err != nil {
			return Line{}, err
		}
	}
	if l.Message == "" || l.Time.IsZero() {
		return Line{}, errNotLogLine
	}
	return l, nil
}

// Get returns the value of a field, or an empty string if the line has no such field.
func (l Line) Get(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// String formats the line for people, without the request's id.
func (l Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s  %s  %s", l.Time.Format("15:04:05.000000"), l.Process, l.Message)
	for _, f := range l.Fields {
		if f.Key == "request" {
			continue // The id is shown once for all lines of a request.
		}
		value := f.Value
		if value == "" || strings.ContainsAny(value, " \"=") {
			value = strconv.Quote(value)
		}
		fmt.Fprintf(&b, " %s=%s", f.Key, value)
	}
	return b.String()
}

func (l *Line) set(key, value string) error {
	switch key {
	case "time":
		parsed, err := time.Parse(time.RFC3339Nano, value)
		l.Time = parsed
		return errors.Wrap(err, "read the time")
	case "level":
		l.Level = value
	case "msg":
		l.Message = value
	case "name":
		l.Process = value
	default:
		l.Fields = append(l.Fields, Field{Key: key, Value: value})
	}
	return nil
}

// unquote returns a JSON string without quotes and escapes, and any other JSON value unchanged.
func unquote(raw json.RawMessage) string {
	var s string
	if json.Unmarshal(raw, &s) == nil {
		return s
	}
	return string(raw)
}
