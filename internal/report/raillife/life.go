package raillife

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/report/raillogline"
)

const (
	// maxLine bounds a line's length in bytes.
	maxLine = 1 << 20
	// lookBack is the time before the first line of a request from which on news of its endpoints and processes is told.
	lookBack = 10 * time.Second
	// fieldRequest and fieldEndpoint name the fields that hold a request's and an endpoint's id, fieldAddress that of an endpoint's
	// address, and fieldEngine that of the address of the engine that a carrier is beside.
	fieldRequest  = "request"
	fieldEndpoint = "endpoint"
	fieldAddress  = "address"
	fieldEngine   = "engine"
)

// Trace holds the log lines of one request and its outcome.
type Trace struct {
	Request string `json:"request"`
	// Outcome says how it ended as far as the lines tell.
	Outcome string `json:"outcome"`
	// Lines are about the request itself, and Known holds what the processes that decided had learned before, both by time.
	Lines []raillogline.Line `json:"lines"`
	Known []raillogline.Line `json:"known"`
	// Unread counts the lines that are not of a process's log.
	Unread int `json:"unread"`

	// others holds the lines about no request.
	others []raillogline.Line
}

// New returns the life of a request of which no line has been read.
func New(request string) *Trace {
	return &Trace{Request: request}
}

// Read takes over all lines of a log.
func (l *Trace) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		l.take(scanner.Bytes())
	}
	return errors.Wrap(scanner.Err(), "read the log")
}

// take keeps a line if it is about the request or about none.
func (l *Trace) take(raw []byte) {
	if len(bytes.TrimSpace(raw)) == 0 {
		return
	}
	line, err := raillogline.Parse(raw)
	switch {
	case err != nil:
		l.Unread++
	case line.Get(fieldRequest) == l.Request:
		l.Lines = append(l.Lines, line)
	case line.Get(fieldRequest) == "":
		l.others = append(l.others, line)
	}
}

// Finish sorts the lines by time and determines the outcome.
func (l *Trace) Finish() {
	byTime := func(a, b raillogline.Line) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(l.Lines, byTime)
	slices.SortStableFunc(l.others, byTime)
	l.Outcome = outcome(l.Lines)
	if len(l.Lines) > 0 {
		l.Known = l.known()
	}
	l.others = nil
}

// WriteText writes the life as people read it.
func (l *Trace) WriteText(w io.Writer) {
	fmt.Fprintf(w, "request %s: %s\n", l.Request, l.Outcome)
	for _, line := range l.Lines {
		fmt.Fprintln(w, "  "+line.String())
	}
	if len(l.Known) > 0 {
		fmt.Fprintln(w, "what the processes that decided had learned before:")
	}
	for _, line := range l.Known {
		fmt.Fprintln(w, "  "+line.String())
	}
	if l.Unread > 0 {
		fmt.Fprintf(w, "%d lines are not of a process's log and were left out\n", l.Unread)
	}
}

// known returns the news that the request's processes had before its last line: of what holds until it is replaced the newest, and all
// else about themselves, the request's endpoints and their carriers that is not older than lookBack.
func (l *Trace) known() []raillogline.Line {
	s := l.subjects()
	first, last := l.Lines[0].Time, l.Lines[len(l.Lines)-1].Time
	var known []raillogline.Line
	standing := map[standingKey]raillogline.Line{}
	for _, line := range l.others {
		switch {
		case line.Time.After(last) || !s.include(line):
			continue
		case stands(line.Message) && line.Time.Before(first):
			standing[keyOf(line)] = line
		case !line.Time.Before(first.Add(-lookBack)):
			known = append(known, line)
		}
	}
	for _, line := range standing {
		known = append(known, line)
	}
	slices.SortStableFunc(known, func(a, b raillogline.Line) int { return a.Time.Compare(b.Time) })
	return known
}

// subjects returns the processes, endpoints and engines that the request's lines name.
func (l *Trace) subjects() subjects {
	s := subjects{processes: map[string]bool{}, endpoints: map[string]bool{}, engines: map[string]bool{}}
	for _, line := range l.Lines {
		s.processes[line.Process] = true
		if endpoint := line.Get(fieldEndpoint); endpoint != "" {
			s.endpoints[endpoint] = true
		}
	}
	for _, line := range l.others {
		if address := line.Get(fieldAddress); address != "" && s.endpoints[line.Get(fieldEndpoint)] {
			s.engines[address] = true
		}
	}
	return s
}

// subjects are the processes, endpoints and addresses of engines that a request had to do with.
type subjects struct {
	processes, endpoints, engines map[string]bool
}

// include reports whether a line is about one of the subjects.
func (s subjects) include(line raillogline.Line) bool {
	if endpoint := line.Get(fieldEndpoint); endpoint != "" {
		return s.endpoints[endpoint]
	}
	return s.processes[line.Process] || s.engines[line.Get(fieldEngine)]
}
