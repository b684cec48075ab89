package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"github.com/fulmarrail/fulmarrail/internal/command/railfactory"
	"github.com/fulmarrail/fulmarrail/internal/command/railroot"
	"github.com/fulmarrail/fulmarrail/internal/lab/railanswer"
	"github.com/fulmarrail/fulmarrail/internal/lab/railcaller"
	"github.com/fulmarrail/fulmarrail/internal/lab/raillayout"
	"github.com/fulmarrail/fulmarrail/internal/lab/railstandins"
)

const (
	commandVariable = "FULMARRAIL_TEST_COMMAND"
	layoutText      = `[deployment]
basePort = %d
sharedKey = processes-test-key
storeRegion = a
regionDelay = 1ms
[zone a]
region = a
engines = assistant:1
plain = orders:1
[zone b]
region = b
engines = assistant:1
plain = orders:1
`
	folderText = `[origin main]
region = a
[zone a]
region = a
[zone b]
region = b
[customer castle]
[service assistant]
kind = engine
version = v1
coldLimit = 4
[service orders]
kind = plain
repeatable = no
coldLimit = 8
`
	waitLimit = time.Minute
)

// TestMain runs the product's command line in place of the tests when a test starts this binary as a process.
func TestMain(m *testing.M) {
	if os.Getenv(commandVariable) != "" {
		os.Exit(int(railroot.Main(railfactory.New(), os.Args[1:])))
	}
	os.Exit(m.Run())
}

// deployment is a layout whose entries and agents are processes of their own; the stand-ins run in the test.
type deployment struct {
	c         *qt.C
	layout    *raillayout.Layout
	standins  *railstandins.Simulators
	settings  string
	processes map[string]*exec.Cmd
	callers   map[string]string
}

func startDeployment(c *qt.C) *deployment {
	dir := c.TempDir()
	folder := filepath.Join(dir, "folder")
	c.Assert(os.Mkdir(folder, 0o700), qt.IsNil)
	c.Assert(os.WriteFile(filepath.Join(folder, "10.ini"), []byte(folderText), 0o600), qt.IsNil)
	path := filepath.Join(dir, "layout.ini")
	c.Assert(os.WriteFile(path, fmt.Appendf(nil, layoutText, freePorts(c, 60)), 0o600), qt.IsNil)
	layout, err := raillayout.Load(path)
	c.Assert(err, qt.IsNil)
	d := &deployment{
		c: c, layout: layout, settings: filepath.Join(dir, "settings"), processes: map[string]*exec.Cmd{}, callers: map[string]string{},
		standins: &railstandins.Simulators{
			Layout: layout, Weights: map[string][]byte{"v1": []byte(strings.Repeat("weights", 1000))}, ChunkSize: 1000,
			Log: slog.New(slog.DiscardHandler),
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- d.standins.Run(ctx) }()
	c.Cleanup(func() {
		for _, cmd := range d.processes {
			_ = cmd.Process.Signal(syscall.SIGCONT)
			_ = cmd.Process.Kill()
			_ = cmd.Wait()
		}
		cancel()
		if err := <-ended; err != nil {
			c.Error(err)
		}
	})
	c.Assert(layout.WriteSettings(d.settings, folder), qt.IsNil)
	for _, p := range layout.Processes {
		d.start(p.Member.Role, p.Member.Name)
		if p.Member.Role == "entry" {
			d.callers[p.Member.Name] = p.CallerAddress
		}
	}
	d.wait("all services answer", func() bool {
		for _, address := range d.callers {
			if !d.ask(address, "assistant", "").Whole || !d.ask(address, "orders", "").Whole {
				return false
			}
		}
		return true
	})
	return d
}

func (d *deployment) start(role, name string) {
	cmd := exec.Command(os.Args[0], role, "--settings", filepath.Join(d.settings, role+"-"+name+".ini"))
	cmd.Env = append(os.Environ(), commandVariable+"=yes")
	cmd.Stderr = os.Stderr
	if os.Getenv("VERBOSE") == "" {
		cmd.Stderr = nil
	}
	d.c.Assert(cmd.Start(), qt.IsNil)
	d.processes[name] = cmd
}

// replace kills a process and starts a fresh one in its place.
func (d *deployment) replace(role, name string) {
	d.signal(name, syscall.SIGKILL)
	if err := d.processes[name].Wait(); err == nil {
		d.c.Errorf("%s ended by itself", name)
	}
	d.start(role, name)
}

func (d *deployment) signal(name string, signal os.Signal) {
	d.c.Assert(d.processes[name].Process.Signal(signal), qt.IsNil)
}

func (d *deployment) ask(address, service, key string) railanswer.Answer {
	caller := &railcaller.Caller{Customer: "castle", Deadline: 3 * time.Second}
	return caller.Ask(address, service, "/x", `{"maxTokens": 50}`, key, 5)
}

func (d *deployment) wait(what string, holds func() bool) {
	d.c.Helper()
	for end := time.Now().Add(waitLimit); !holds(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			d.c.Fatalf("waited in vain until %s", what)
		}
	}
}

// freePorts returns the first of n ports in a row that nobody listens on.
func freePorts(c *qt.C, n int) int {
	for base := 31000; base < 60000; base += n {
		free := true
		for port := base; port < base+n && free; port++ {
			lis, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
			if free = err == nil; free {
				_ = lis.Close()
			}
		}
		if free {
			return base
		}
	}
	c.Fatal("no free ports")
	return 0
}

func TestOrderRunsAtMostOnceWhenProcessesAreKilledOrFrozen(t *testing.T) {
	c := qt.New(t)
	d := startDeployment(c)
	const orders = 12
	for i := range orders {
		key := fmt.Sprintf("order-%d", i)
		victim := []string{"orders-a-1", "orders-b-1"}[i%2]
		answers := make(chan railanswer.Answer, len(d.callers))
		for _, address := range d.callers {
			go func() { answers <- d.ask(address, "orders", key) }()
		}
		time.Sleep(time.Duration(5*i) * time.Millisecond)
		switch i % 3 {
		case 0:
			d.replace("agent", victim)
		case 1:
			d.replace("entry", []string{"a-1", "b-1"}[i%2])
		default:
			d.signal(victim, syscall.SIGSTOP)
			time.Sleep(200 * time.Millisecond)
			d.signal(victim, syscall.SIGCONT)
		}
		told := ""
		for range d.callers {
			if a := <-answers; a.Verdict == "ran" {
				told = a.Verdict
			}
		}
		// The caller whose entry was lost tries again under its key through the other one.
		for _, address := range d.callers {
			if a := d.ask(address, "orders", key); a.Verdict == "ran" {
				told = a.Verdict
			}
		}
		commits := d.standins.CommitCounts()[key]
		c.Check(commits <= 1, qt.IsTrue, qt.Commentf("%s was committed %d times", key, commits))
		c.Check(told == "ran" && commits == 0, qt.IsFalse, qt.Commentf("%s was answered and not committed", key))
	}
}

// The caller whose entry freezes in the middle of its order asks again through the other one at once; the frozen one wakes
// after that with the order still on its hands.
func TestOrderThroughAFrozenEntryRunsAtMostOnce(t *testing.T) {
	c := qt.New(t)
	d := startDeployment(c)
	for i := range 5 {
		key := fmt.Sprintf("frozen-%d", i)
		first := make(chan railanswer.Answer, 1)
		go func() { first <- d.ask(d.callers["a-1"], "orders", key) }()
		time.Sleep(time.Duration(8*i) * time.Millisecond)
		d.signal("a-1", syscall.SIGSTOP)
		var second railanswer.Answer
		d.wait("the other entry knows the outcome", func() bool {
			second = d.ask(d.callers["b-1"], "orders", key)
			return second.Verdict == "ran"
		})
		c.Check(d.standins.CommitCounts()[key], qt.Equals, 1, qt.Commentf("%s while the entry was frozen", key))
		d.signal("a-1", syscall.SIGCONT)
		a := <-first
		c.Check(d.standins.CommitCounts()[key], qt.Equals, 1, qt.Commentf("%s after the entry woke, whose caller was told %q", key, a.Verdict))
		again := d.ask(d.callers["a-1"], "orders", key)
		c.Check(again.Verdict, qt.Equals, "ran", qt.Commentf("%s through the entry that woke: %+v", key, again))
	}
}

func TestPlannedStopOfAnEntryCutsNoAnswer(t *testing.T) {
	c := qt.New(t)
	d := startDeployment(c)
	answers := make(chan railanswer.Answer, 4)
	caller := &railcaller.Caller{Customer: "castle", Deadline: 20 * time.Second}
	for range 4 {
		go func() { answers <- caller.Ask(d.callers["a-1"], "assistant", "/x", `{"maxTokens": 150}`, "", 5) }()
	}
	d.wait("the answers run", func() bool { return d.standins.RunningRequests() >= 4 })
	d.signal("a-1", syscall.SIGTERM)
	d.wait("the entry is not ready", func() bool {
		status, _, err := fasthttp.GetTimeout(nil, "http://"+d.callers["a-1"]+"/ready", time.Second)
		return err != nil || status != fasthttp.StatusOK
	})
	for range 4 {
		a := <-answers
		c.Check(a.Whole, qt.IsTrue, qt.Commentf("%+v", a))
	}
	c.Check(d.processes["a-1"].Wait(), qt.IsNil)
	delete(d.processes, "a-1")
}

func TestZoneTakenOutByAFileGetsNoNewWork(t *testing.T) {
	c := qt.New(t)
	d := startDeployment(c)
	folder := filepath.Join(filepath.Dir(d.settings), "folder", "90-zone.ini")
	c.Assert(os.WriteFile(folder, []byte("[zone a]\nstate = out\n"), 0o600), qt.IsNil)
	// The entry in zone b is frozen during the change and wakes with the old revision.
	d.signal("b-1", syscall.SIGSTOP)
	d.wait("zone a gets no work through its own entry", func() bool { return d.ask(d.callers["a-1"], "orders", "").Endpoint == "orders-b-1" })
	d.signal("b-1", syscall.SIGCONT)
	for range 20 {
		a := d.ask(d.callers["b-1"], "orders", "")
		c.Check(a.Endpoint, qt.Equals, "orders-b-1", qt.Commentf("%+v", a))
	}
	c.Assert(os.Remove(folder), qt.IsNil)
	d.wait("zone a is back", func() bool { return d.ask(d.callers["a-1"], "orders", "").Endpoint == "orders-a-1" })
}
