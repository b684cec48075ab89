package railtrace

import (
	"strings"

	"github.com/fulmarrail/fulmarrail/internal/report/raillogline"
)

// stateKey identifies a state that a process reports, such as the store connection of one table.
type stateKey struct {
	process, subject string
}

const (
	// subjectLeaving and subjectPause are the subjects of what endpoints have said of themselves.
	subjectLeaving = "leaving"
	subjectPause   = "pause"
	subjectLimit   = "limit"
)

// stateSubjects maps each message that reports a state to the subject of that state. The state lasts until the next message about
// the same subject.
var stateSubjects = map[string]string{
	"config: configuration in force":               "configuration",
	"config: weights wanted":                       "weights",
	"quarantine: parts of prompts are quarantined": "quarantine",
	"store: store lost":                            "store",
	"store: store regained":                        "store",
	"process started":                              "process",
	"settings read again":                          "settings",

	"fleet: endpoint leaves":                    subjectLeaving,
	"fleet: endpoint is back after it had left": subjectLeaving,
	"fleet: endpoint asks for no requests":      subjectPause,
	"fleet: endpoint gets requests again":       subjectPause,
	"fleet: endpoint limits requests":           subjectLimit,
	"fleet: endpoint limits requests no more":   subjectLimit,
	"admission: endpoint leaves":                subjectLeaving,
	"admission: endpoint asks for no requests":  subjectPause,
}

// isStateMessage reports whether a message reports a state that lasts until the next message about it.
func isStateMessage(message string) bool {
	return stateSubjects[message] != ""
}

// isSelfReport reports whether a message says what an endpoint has said of itself.
func isSelfReport(message string) bool {
	subject := stateSubjects[message]
	return subject == subjectLeaving || subject == subjectPause || subject == subjectLimit
}

func stateKeyOf(line raillogline.Line) stateKey {
	return stateKey{process: line.Process, subject: stateSubjects[line.Message] + line.Get("table") + line.Get("model") + line.Get("parts") + line.Get(fieldEndpoint)}
}

// outcome describes how a request ended, according to the last of its lines that reports an end.
func outcome(lines []raillogline.Line) string {
	if len(lines) == 0 {
		return "no line names it; an answer on time is logged for a sample of requests only, or always at the level debug"
	}
	for i := len(lines) - 1; i >= 0; i-- {
		line := lines[i]
		switch _, message, _ := strings.Cut(line.Message, ": "); message {
		case "request refused":
			return "answered by the entry with " + line.Get("status") + ", " + line.Get("reason")
		case "request answered":
			return "answered whole by " + line.Get(fieldEndpoint)
		case "stream broken":
			return "its stream was broken off: " + line.Get("err")
		}
	}
	return "no end is logged; the process may have ended first"
}
