package railroot_test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/command/railexit"
	"github.com/fulmarrail/fulmarrail/internal/command/railfactory"
	"github.com/fulmarrail/fulmarrail/internal/command/railroot"
	"github.com/fulmarrail/fulmarrail/internal/config/railsettings"
	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
	"github.com/fulmarrail/fulmarrail/internal/report/railagentreport"
	"github.com/fulmarrail/fulmarrail/internal/report/railentryreport"
	"github.com/fulmarrail/fulmarrail/internal/report/railsurvey"
)

const settings = `[process]
name = entry-1
zone = a
region = a
inner = 127.0.0.1:7000
callers = 127.0.0.1:8000
platform = 127.0.0.1:6000
sharedKey = 0123456789abcdef
`

func writeFile(c *qt.C, dir, name, content string) string {
	path := filepath.Join(dir, name)
	c.Assert(os.WriteFile(path, []byte(content), 0o600), qt.IsNil)
	return path
}

func run(f *railfactory.Factory, args ...string) (code railexit.Code, stdoutText, stderrText string) {
	var stdout, stderr bytes.Buffer
	f.Out, f.Err = &stdout, &stderr
	code = railroot.Main(f, args)
	return code, stdout.String(), stderr.String()
}

func TestConfigCheckNamesFileLineSectionAndKey(t *testing.T) {
	for _, test := range []struct {
		name, content, want string
		code                railexit.Code
	}{
		{"no faults", "[customer castle]\n", "1 files, no faults", railexit.OK},
		{"unknown key", "[customer castle]\nwieght = 2\n", "10.ini:2: [customer castle] wieght: unknown key; known keys near it: weight", railexit.CheckFailed},
		{"wrong unit", "[zone a]\nregion = a\nrampUp = 5 minutes\n", `10.ini:3: [zone a] rampUp: "5 minutes" is not a duration such as 250ms or 5s`, railexit.CheckFailed},
		{"duplicate section", "[customer a]\n[customer a]\n", "10.ini:2: [customer a] stands already in line 1", railexit.CheckFailed},
		{"duplicate key", "[customer a]\nweight = 1\nweight = 2\n", "10.ini:3: [customer a] weight is set already in line 2", railexit.CheckFailed},
		{"missing key", "[zone a]\nstate = out\n", "10.ini:1: [zone a] region: missing; set it to the region that the zone lies in", railexit.CheckFailed},
		{"unknown kind", "[zome a]\n", `10.ini:1: [zome a]: unknown kind "zome"; known kinds: service, zone`, railexit.CheckFailed},
		{"below the range", "[customer a]\nweight = 0\n", "10.ini:2: [customer a] weight: 0 is below the least value 1", railexit.CheckFailed},
		{"no equals sign", "[customer a]\nweight\n", `10.ini:2: "weight" is not a line of the form key = value`, railexit.CheckFailed},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			dir := c.TempDir()
			writeFile(c, dir, "10.ini", test.content)
			code, out, _ := run(&railfactory.Factory{}, "config", "check", dir)
			c.Check(code, qt.Equals, test.code)
			c.Check(out, qt.Contains, test.want)
		})
	}
}

func TestConfigCheckRejectsEmptyFolder(t *testing.T) {
	code, out, errOut := run(&railfactory.Factory{}, "config", "check", t.TempDir())
	qt.Check(t, code, qt.Equals, railexit.CheckFailed)
	qt.Check(t, out, qt.Contains, "holds no *.ini file; add one")
	qt.Check(t, errOut, qt.Contains, "fix them")
}

func TestConfigDiffShowsMergedValues(t *testing.T) {
	c := qt.New(t)
	before, after := c.TempDir(), c.TempDir()
	writeFile(c, before, "10.ini", "[zone a]\nregion = a\n")
	writeFile(c, after, "10.ini", "[zone a]\nregion = a\n")
	writeFile(c, after, "20.ini", "[zone a]\nstate = out\n")
	code, out, _ := run(&railfactory.Factory{}, "config", "diff", before, after)
	c.Check(code, qt.Equals, railexit.OK)
	c.Check(out, qt.Equals, "[zone a] state: (not set) -> out\n")
}

func TestUsageErrorsSuggestTheFix(t *testing.T) {
	c := qt.New(t)
	dir := c.TempDir()
	shortKeySettings := writeFile(c, dir, "short.ini", strings.Replace(settings, "0123456789abcdef", "short", 1))
	hostnameSettings := writeFile(c, dir, "name.ini", strings.Replace(settings, "127.0.0.1:6000", "platform.example:6000", 1))
	for _, test := range []struct {
		args []string
		want string
	}{
		{[]string{"entry", "--sttings", "x"}, "unknown flag: --sttings; see fulmarrail entry --help"},
		{[]string{"entry"}, "missing; set it to the process's name"},
		{[]string{"entry", "--settings", shortKeySettings}, "short.ini:8: [process] sharedKey: shorter than 16 characters"},
		{[]string{"entry", "--settings", hostnameSettings}, `name.ini:7: [process] platform: "platform.example:6000" is not an IP address with a port`},
		{[]string{"agent", "--settings", shortKeySettings, "--sharedKey", "0123456789abcdef"}, "the role agent needs it"},
		{[]string{"burn", "--settings", writeFile(c, dir, "ok.ini", settings), "--plot", "burn.gif"}, "the name must end in .svg or .png"},
	} {
		code, _, errOut := run(&railfactory.Factory{}, test.args...)
		c.Check(code, qt.Equals, railexit.Usage, qt.Commentf("%v", test.args))
		c.Check(errOut, qt.Contains, test.want)
		c.Check(errOut, qt.Not(qt.Contains), "0123456789abcdef")
	}
}

func TestStatusShowsOutdatedProcessesAndRejectedFiles(t *testing.T) {
	c := qt.New(t)
	entry := railentryreport.Report{Name: "entry-1", Zone: "a", Revision: 7, Rejections: map[string]string{"20.ini": "20.ini:2: [zone a] stat: unknown key"}}
	f := &railfactory.Factory{
		Members: func(context.Context, railsettings.Settings) ([]railmember.Member, error) { return nil, nil },
		Survey: func(context.Context, railsettings.Settings, []railmember.Member) railsurvey.Survey {
			return railsurvey.Survey{
				Entries: []railentryreport.Report{entry.WithZone("a", "a", "out")},
				Agents:  []railagentreport.Report{{Name: "chat-1", Revision: 6, Phase: "fetching", ChunksHeld: 3, ChunksTotal: 4}},
				Missing: []string{"agent chat-2"},
			}
		},
	}
	code, out, _ := run(f, "status", "--settings", writeFile(c, c.TempDir(), "s.ini", settings))
	c.Check(code, qt.Equals, railexit.OK)
	for _, want := range []string{"revision 7, behind: chat-1", "zone a in a: out", "held: 20.ini:2:", "fetching 3/4", "no answer: agent chat-2"} {
		c.Check(out, qt.Contains, want)
	}
}

func TestStatusAndBurnSuggestRetryForEmptyVMList(t *testing.T) {
	c := qt.New(t)
	f := &railfactory.Factory{
		Members: func(context.Context, railsettings.Settings) ([]railmember.Member, error) { return nil, nil },
		Survey: func(context.Context, railsettings.Settings, []railmember.Member) railsurvey.Survey {
			return railsurvey.Survey{}
		},
	}
	for _, command := range []string{"status", "burn"} {
		code, out, errOut := run(f, command, "--settings", writeFile(c, c.TempDir(), "s.ini", settings))
		c.Check(code, qt.Equals, railexit.Failed)
		c.Check(out, qt.Equals, "")
		c.Check(errOut, qt.Contains, "try again in a few seconds")
	}
}

func TestBurnExitsWithCheckFailedOnFastBurn(t *testing.T) {
	c := qt.New(t)
	report := railentryreport.Report{Name: "entry-1"}.WithObjective("chat", "chat", "", 99.9)
	for _, minutes := range []int{5, 30, 60, 360, 4320} {
		report = report.WithWindow(minutes, 900, 100)
	}
	f := &railfactory.Factory{
		Members: func(context.Context, railsettings.Settings) ([]railmember.Member, error) { return nil, nil },
		Survey: func(context.Context, railsettings.Settings, []railmember.Member) railsurvey.Survey {
			return railsurvey.Survey{Entries: []railentryreport.Report{report}, Missing: []string{"entry entry-2"}}
		},
	}
	plotPath := filepath.Join(c.TempDir(), "burn.svg")
	code, out, _ := run(f, "burn", "--settings", writeFile(c, c.TempDir(), "s.ini", settings), "--plot", plotPath)
	c.Check(code, qt.Equals, railexit.CheckFailed)
	c.Check(out, qt.Contains, "fast burn")
	c.Check(out, qt.Contains, "missing, not counted: entry entry-2")
	image, err := os.ReadFile(plotPath)
	c.Assert(err, qt.IsNil)
	c.Check(string(image), qt.Contains, "<svg")
}

func TestExplainReadsFilesAndStdin(t *testing.T) {
	c := qt.New(t)
	const line = `{"time":"2026-10-08T07:46:05Z","level":"INFO","msg":"front: stream broken","name":"gw-1","request":"aa11","err":"EOF"}` + "\n"
	code, out, _ := run(&railfactory.Factory{}, "explain", "aa11", writeFile(c, c.TempDir(), "gw-1.json", line))
	c.Check(code, qt.Equals, railexit.OK)
	c.Check(out, qt.Contains, "request aa11: its stream was broken off: EOF\n")
	code, out, _ = run(&railfactory.Factory{In: strings.NewReader(line)}, "explain", "aa11", "--json")
	c.Check(code, qt.Equals, railexit.OK)
	c.Check(out, qt.Contains, `"process": "gw-1"`)
	code, _, errOut := run(&railfactory.Factory{In: strings.NewReader(line)}, "explain", "bb22")
	c.Check(code, qt.Equals, railexit.Failed)
	c.Check(errOut, qt.Contains, "no log line mentions request bb22")
}
