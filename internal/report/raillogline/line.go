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

// Line is one line of a process's log.
type Line struct {
	Time    time.Time `json:"time"`
	Process string    `json:"process"`
	Level   string    `json:"level"`
	Message string    `json:"message"`
	// Fields holds all else that stands in the line, in the line's order.
	Fields []Field `json:"fields"`
}

// Field is one named value of a line.
type Field struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

var errNoLine = errors.New("no line of a process's log")

// Parse reads a line; what stands before its first brace, as collectors of logs put it there, is left out.
func Parse(raw []byte) (Line, error) {
	start := bytes.IndexByte(raw, '{')
	if start < 0 {
		return Line{}, errNoLine
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
		if err := l.set(fmt.Sprint(key), text(value)); err != nil {
			return Line{}, err
		}
	}
	if l.Message == "" || l.Time.IsZero() {
		return Line{}, errNoLine
	}
	return l, nil
}

// Get returns a field's value, or nothing when the line has no such field.
func (l Line) Get(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// String returns the line as people read it, without the request's id.
func (l Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s  %s  %s", l.Time.Format("15:04:05.000000"), l.Process, l.Message)
	for _, f := range l.Fields {
		if f.Key == "request" {
			continue // Whoever reads a request's lines knows it.
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
		at, err := time.Parse(time.RFC3339Nano, value)
		l.Time = at
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

// text returns a value without quotes if it is a string.
func text(raw json.RawMessage) string {
	var s string
	if json.Unmarshal(raw, &s) == nil {
		return s
	}
	return string(raw)
}
