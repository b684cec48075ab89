package raillife

import (
	"strings"

	"github.com/fulmarrail/fulmarrail/internal/report/raillogline"
)

// standingKey tells apart what a process knows of different things.
type standingKey struct {
	process, subject string
}

// standing maps the lines that hold until another one of the same subject comes.
var standing = map[string]string{
	"config: configuration in force": "configuration",
	"config: weights wanted":         "weights",
	"store: store lost":              "store",
	"store: store regained":          "store",
	"process started":                "process",
	"settings read again":            "settings",
}

// stands reports whether a line holds until it is replaced.
func stands(message string) bool {
	return standing[message] != ""
}

func keyOf(line raillogline.Line) standingKey {
	return standingKey{process: line.Process, subject: standing[line.Message] + line.Get("table") + line.Get("model")}
}

// outcome says how a request ended by its last line that tells an end.
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
