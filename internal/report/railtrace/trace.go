package railtrace

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
	// maxLineBytes bounds the length of a log line.
	maxLineBytes = 1 << 20
	// relatedLookback is how long before the first line of a request the lines about its endpoints and processes are included.
	relatedLookback = 10 * time.Second
	// fieldRequest and fieldEndpoint name the fields with the ids of a request and an endpoint. fieldAddress names the field with an
	// endpoint's address, and fieldEngine the field with the address of a carrier's engine.
	fieldRequest  = "request"
	fieldEndpoint = "endpoint"
	fieldAddress  = "address"
	fieldEngine   = "engine"
	// messageRefused is the message of a gateway that has refused a request.
	messageRefused = "front: request refused"
)

// Trace holds the log lines of one request and its outcome.
type Trace struct {
	Request string `json:"request"`
	// Outcome describes how the request ended, as far as the lines show.
	Outcome string `json:"outcome"`
	// Lines holds the lines with the request's id. RelatedLines holds the lines about the state of the processes, endpoints and
	// engines involved, logged before the last of Lines. Both are sorted by time.
	Lines        []raillogline.Line `json:"lines"`
	RelatedLines []raillogline.Line `json:"known"`
	// UnparsedLines is the number of lines that are not log lines of a process.
	UnparsedLines int `json:"unread"`

	// otherLines holds the lines without a request id.
	otherLines []raillogline.Line
}

// New returns an empty trace for the request with the given id.
func New(request string) *Trace {
	return &Trace{Request: request}
}

// Read adds the lines of a log to the trace. It returns an error if a line is longer than 1 MiB or reading fails.
func (t *Trace) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		t.addLine(scanner.Bytes())
	}
	return errors.Wrap(scanner.Err(), "read the log")
}

// addLine keeps a line if it has the request's id or no request id.
func (t *Trace) addLine(raw []byte) {
	if len(bytes.TrimSpace(raw)) == 0 {
		return
	}
	line, err := raillogline.Parse(raw)
	switch {
	case err != nil:
		t.UnparsedLines++
	case line.Get(fieldRequest) == t.Request:
		t.Lines = append(t.Lines, line)
	case line.Get(fieldRequest) == "":
		t.otherLines = append(t.otherLines, line)
	}
}

// Finish sorts the lines by time, determines the outcome and selects the related lines. It must be called once, after all logs
// have been read.
func (t *Trace) Finish() {
	byTime := func(a, b raillogline.Line) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(t.Lines, byTime)
	slices.SortStableFunc(t.otherLines, byTime)
	t.Outcome = outcome(t.Lines)
	if len(t.Lines) > 0 {
		t.RelatedLines = t.findRelatedLines()
	}
	t.otherLines = nil
}

// WriteText writes the trace for people to read.
func (t *Trace) WriteText(w io.Writer) {
	fmt.Fprintf(w, "request %s: %s\n", t.Request, t.Outcome)
	for _, line := range t.Lines {
		fmt.Fprintln(w, "  "+line.String())
	}
	if len(t.RelatedLines) > 0 {
		fmt.Fprintln(w, "what the processes that decided had learned before:")
	}
	for _, line := range t.RelatedLines {
		fmt.Fprintln(w, "  "+line.String())
	}
	if t.UnparsedLines > 0 {
		fmt.Fprintf(w, "%d lines are not of a process's log and were left out\n", t.UnparsedLines)
	}
}

// findRelatedLines returns the lines about participants of the request up to its last line: for each state reported before the
// first line, the latest such line, and all other lines from relatedLookback before the first line on.
func (t *Trace) findRelatedLines() []raillogline.Line {
	p := t.findParticipants()
	firstTime, lastTime := t.Lines[0].Time, t.Lines[len(t.Lines)-1].Time
	var related []raillogline.Line
	latestStates := map[stateKey]raillogline.Line{}
	for _, line := range t.otherLines {
		switch {
		case line.Time.After(lastTime) || !p.include(line):
			continue
		case isStateMessage(line.Message) && line.Time.Before(firstTime):
			latestStates[stateKeyOf(line)] = line
		case !line.Time.Before(firstTime.Add(-relatedLookback)):
			related = append(related, line)
		}
	}
	for _, line := range latestStates {
		related = append(related, line)
	}
	slices.SortStableFunc(related, func(a, b raillogline.Line) int { return a.Time.Compare(b.Time) })
	return related
}

// findParticipants returns the processes and endpoints that the request's lines name, and the engines at these endpoints.
func (t *Trace) findParticipants() participants {
	p := participants{processes: map[string]bool{}, endpoints: map[string]bool{}, engines: map[string]bool{}}
	for _, line := range t.Lines {
		p.processes[line.Process] = true
		p.refused = p.refused || line.Message == messageRefused
		if endpoint := line.Get(fieldEndpoint); endpoint != "" {
			p.endpoints[endpoint] = true
		}
	}
	for _, line := range t.otherLines {
		if address := line.Get(fieldAddress); address != "" && p.endpoints[line.Get(fieldEndpoint)] {
			p.engines[address] = true
		}
	}
	return p
}

// participants holds the names of the processes, the ids of the endpoints and the addresses of the engines that were involved in a
// request.
type participants struct {
	processes, endpoints, engines map[string]bool
	// refused is set if an entry has refused the request, so that what any endpoint had said of itself to it matters.
	refused bool
}

// include reports whether a line is about one of the participants.
func (p participants) include(line raillogline.Line) bool {
	if endpoint := line.Get(fieldEndpoint); endpoint != "" {
		return p.endpoints[endpoint] || p.refused && p.processes[line.Process] && isSelfReport(line.Message)
	}
	return p.processes[line.Process] || p.engines[line.Get(fieldEngine)]
}
