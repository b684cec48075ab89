package railbenchcmd

import (
	"bytes"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/command/railexit"
	"github.com/fulmarrail/fulmarrail/internal/command/railfactory"
)

func TestLimitRejectsFlagsThatLeaveNothingToRun(t *testing.T) {
	for name, c := range map[string]struct{ args, message string }{
		"no gateway":         {"--gateways 0", "--gateways"},
		"no endpoint":        {"--engines 0", "--engines"},
		"no customer":        {"--customers 0", "--customers"},
		"a limit of zero":    {"--limits 1,0", "--limits"},
		"no demand":          {"--demand 0", "--demand"},
		"all and more lost":  {"--lost 1.5", "--lost"},
		"no time to measure": {"--duration 5s", "--duration"},
		"an unknown policy":  {"--policies best", "--policies"},
	} {
		t.Run(name, func(t *testing.T) {
			var stderr bytes.Buffer
			code := Main(&railfactory.Factory{Out: &bytes.Buffer{}, Err: &stderr}, append([]string{"limit"}, strings.Fields(c.args)...))
			qt.Check(t, code, qt.Equals, railexit.Usage)
			qt.Check(t, stderr.String(), qt.Contains, c.message)
		})
	}
}
