package main

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
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
	"github.com/fulmarrail/fulmarrail/internal/lab/railclient"
	"github.com/fulmarrail/fulmarrail/internal/lab/raillayout"
	"github.com/fulmarrail/fulmarrail/internal/lab/railport"
	"github.com/fulmarrail/fulmarrail/internal/lab/railstandins"
)

const (
	runCommandEnv = "FULMARRAIL_TEST_COMMAND"
	layoutText    = `[deployment]
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
	// layoutPorts is the number of ports that the layout takes at the most.
	layoutPorts = 60
	waitTimeout = time.Minute
)

// TestMain runs the command line instead of the tests if a test started this binary as a process of the deployment.
func TestMain(m *testing.M) {
	if os.Getenv(runCommandEnv) != "" {
		os.Exit(int(railroot.Main(railfactory.New(), os.Args[1:])))
	}
	os.Exit(m.Run())
}

// deployment is a deployment whose entries and agents run as separate processes. The simulated dependencies run in the test.
type deployment struct {
	c               *qt.C
	layout          *raillayout.Layout
	simulators      *railstandins.Simulators
	settingsDir     string
	processes       map[string]*exec.Cmd
	callerAddresses map[string]string
}

func startDeployment(c *qt.C) *deployment {
	dir := c.TempDir()
	configDir := filepath.Join(dir, "folder")
	c.Assert(os.Mkdir(configDir, 0o700), qt.IsNil)
	c.Assert(os.WriteFile(filepath.Join(configDir, "10.ini"), []byte(folderText), 0o600), qt.IsNil)
	layoutPath := filepath.Join(dir, "layout.ini")
	c.Assert(os.WriteFile(layoutPath, fmt.Appendf(nil, layoutText, railport.Claim(c, layoutPorts, "127.0.0.1")), 0o600), qt.IsNil)
	layout, err := raillayout.Load(layoutPath)
	c.Assert(err, qt.IsNil)
	d := &deployment{
		c: c, layout: layout, settingsDir: filepath.Join(dir, "settings"), processes: map[string]*exec.Cmd{}, callerAddresses: map[string]string{},
		simulators: &railstandins.Simulators{
			Layout: layout, Weights: map[string][]byte{"v1": []byte(strings.Repeat("weights", 1000))}, ChunkSize: 1000,
			Log: slog.New(slog.DiscardHandler),
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	simulatorsDone := make(chan error, 1)
	go func() { simulatorsDone <- d.simulators.Run(ctx) }()
	c.Cleanup(func() {
		for _, cmd := range d.processes {
			_ = cmd.Process.Signal(syscall.SIGCONT)
			_ = cmd.Process.Kill()
			_ = cmd.Wait()
		}
		cancel()
		if err := <-simulatorsDone; err != nil {
			c.Error(err)
		}
	})
	c.Assert(layout.WriteSettings(d.settingsDir, configDir), qt.IsNil)
	for _, p := range layout.Processes {
		d.start(p.Member.Role, p.Member.Name)
		if p.Member.Role == "entry" {
			d.callerAddresses[p.Member.Name] = p.CallerAddress
		}
	}
	d.waitUntil("all services answer", func() bool {
		for _, address := range d.callerAddresses {
			if !d.sendRequest(address, "assistant", "").Complete || !d.sendRequest(address, "orders", "").Complete {
				return false
			}
		}
		return true
	})
	return d
}

func (d *deployment) start(role, name string) {
	cmd := exec.Command(os.Args[0], role, "--settings", filepath.Join(d.settingsDir, role+"-"+name+".ini"))
	cmd.Env = append(os.Environ(), runCommandEnv+"=yes")
	cmd.Stderr = os.Stderr
	if os.Getenv("VERBOSE") == "" {
		cmd.Stderr = nil
	}
	d.c.Assert(cmd.Start(), qt.IsNil)
	d.processes[name] = cmd
}

// killAndRestart kills a process and starts it again.
func (d *deployment) killAndRestart(role, name string) {
	d.signal(name, syscall.SIGKILL)
	if err := d.processes[name].Wait(); err == nil {
		d.c.Errorf("%s ended by itself", name)
	}
	d.start(role, name)
}

func (d *deployment) signal(name string, signal os.Signal) {
	d.c.Assert(d.processes[name].Process.Signal(signal), qt.IsNil)
}

func (d *deployment) sendRequest(address, service, key string) railanswer.Answer {
	caller := &railclient.Caller{Customer: "castle", Deadline: 3 * time.Second}
	return caller.Send(address, service, "/x", `{"maxTokens": 50}`, key, 5)
}

func (d *deployment) waitUntil(condition string, isMet func() bool) {
	d.c.Helper()
	for deadline := time.Now().Add(waitTimeout); !isMet(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			d.c.Fatalf("timed out waiting until %s", condition)
		}
	}
}

func TestOrderRunsAtMostOnceWhenProcessesAreKilledOrSuspended(t *testing.T) {
	c := qt.New(t)
	d := startDeployment(c)
	const orders = 12
	for i := range orders {
		key := fmt.Sprintf("order-%d", i)
		agent := []string{"orders-a-1", "orders-b-1"}[i%2]
		answers := make(chan railanswer.Answer, len(d.callerAddresses))
		for _, address := range d.callerAddresses {
			go func() { answers <- d.sendRequest(address, "orders", key) }()
		}
		time.Sleep(time.Duration(5*i) * time.Millisecond)
		switch i % 3 {
		case 0:
			d.killAndRestart("agent", agent)
		case 1:
			d.killAndRestart("entry", []string{"a-1", "b-1"}[i%2])
		default:
			d.signal(agent, syscall.SIGSTOP)
			time.Sleep(200 * time.Millisecond)
			d.signal(agent, syscall.SIGCONT)
		}
		verdict := ""
		for range d.callerAddresses {
			if a := <-answers; a.Verdict == "ran" {
				verdict = a.Verdict
			}
		}
		// A caller whose entry was killed retries with the same idempotency key through the other entry.
		for _, address := range d.callerAddresses {
			if a := d.sendRequest(address, "orders", key); a.Verdict == "ran" {
				verdict = a.Verdict
			}
		}
		commits := d.simulators.CommitCounts()[key]
		c.Check(commits <= 1, qt.IsTrue, qt.Commentf("%s was committed %d times", key, commits))
		c.Check(verdict == "ran" && commits == 0, qt.IsFalse, qt.Commentf("%s was answered and not committed", key))
	}
}

// An order must run at most once if its entry is suspended while the order is in flight, the caller retries through the other entry
// immediately, and the first entry resumes after that with the order still in flight.
func TestOrderThroughSuspendedEntryRunsAtMostOnce(t *testing.T) {
	c := qt.New(t)
	d := startDeployment(c)
	for i := range 5 {
		key := fmt.Sprintf("frozen-%d", i)
		first := make(chan railanswer.Answer, 1)
		go func() { first <- d.sendRequest(d.callerAddresses["a-1"], "orders", key) }()
		time.Sleep(time.Duration(8*i) * time.Millisecond)
		d.signal("a-1", syscall.SIGSTOP)
		var second railanswer.Answer
		d.waitUntil("the other entry knows the outcome", func() bool {
			second = d.sendRequest(d.callerAddresses["b-1"], "orders", key)
			return second.Verdict == "ran"
		})
		c.Check(d.simulators.CommitCounts()[key], qt.Equals, 1, qt.Commentf("%s while the entry was suspended", key))
		d.signal("a-1", syscall.SIGCONT)
		a := <-first
		c.Check(d.simulators.CommitCounts()[key], qt.Equals, 1, qt.Commentf("%s after the entry resumed; its caller received the verdict %q", key, a.Verdict))
		again := d.sendRequest(d.callerAddresses["a-1"], "orders", key)
		c.Check(again.Verdict, qt.Equals, "ran", qt.Commentf("%s through the resumed entry: %+v", key, again))
	}
}

// Guards against an order that runs again since the store came back from a copy without its claim.
func TestOrderRunsAtMostOnceWhenStoreIsRestored(t *testing.T) {
	c := qt.New(t)
	d := startDeployment(c)
	send := func(entry, key string) string { return d.sendRequest(d.callerAddresses[entry], "orders", key).Verdict }
	const orders = 10
	for i := range orders {
		c.Assert(send("a-1", fmt.Sprint("order-", i)), qt.Equals, "ran")
	}
	d.setKnob("storeDown", "yes")
	time.Sleep(time.Second)
	d.setKnob("restore", "1m")
	d.setKnob("storeDown", "no")
	for i := range orders {
		key := fmt.Sprint("order-", i)
		d.waitUntil(key+" is answered again", func() bool { return send("b-1", key) == "ran" })
		c.Check(d.simulators.CommitCounts()[key], qt.Equals, 1, qt.Commentf("commits of %s", key))
	}
	c.Check(d.sendRequest(d.callerAddresses["a-1"], "assistant", "").Complete, qt.IsTrue)
}

// setKnob changes a setting of the simulated platform.
func (d *deployment) setKnob(name, value string) {
	req, err := http.NewRequest(http.MethodPut, "http://"+d.layout.PlatformAddress+"/knob/"+name, strings.NewReader(value))
	d.c.Assert(err, qt.IsNil)
	resp, err := http.DefaultClient.Do(req)
	d.c.Assert(err, qt.IsNil)
	_ = resp.Body.Close()
	d.c.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
}

func TestGracefulShutdownOfEntryCompletesResponses(t *testing.T) {
	c := qt.New(t)
	d := startDeployment(c)
	answers := make(chan railanswer.Answer, 4)
	caller := &railclient.Caller{Customer: "castle", Deadline: 20 * time.Second}
	for range 4 {
		go func() {
			answers <- caller.Send(d.callerAddresses["a-1"], "assistant", "/x", `{"maxTokens": 150}`, "", 5)
		}()
	}
	d.waitUntil("the answers run", func() bool { return d.simulators.RunningRequests() >= 4 })
	d.signal("a-1", syscall.SIGTERM)
	d.waitUntil("the entry is not ready", func() bool {
		status, _, err := fasthttp.GetTimeout(nil, "http://"+d.callerAddresses["a-1"]+"/ready", time.Second)
		return err != nil || status != fasthttp.StatusOK
	})
	for range 4 {
		a := <-answers
		c.Check(a.Complete, qt.IsTrue, qt.Commentf("%+v", a))
	}
	c.Check(d.processes["a-1"].Wait(), qt.IsNil)
	delete(d.processes, "a-1")
}

func TestZoneTakenOutByConfigFileGetsNoNewRequests(t *testing.T) {
	c := qt.New(t)
	d := startDeployment(c)
	zoneFile := filepath.Join(filepath.Dir(d.settingsDir), "folder", "90-zone.ini")
	c.Assert(os.WriteFile(zoneFile, []byte("[zone a]\nstate = out\n"), 0o600), qt.IsNil)
	// The entry in zone b is suspended during the change and resumes with the old revision.
	d.signal("b-1", syscall.SIGSTOP)
	d.waitUntil("zone a gets no work through its own entry", func() bool { return d.sendRequest(d.callerAddresses["a-1"], "orders", "").Endpoint == "orders-b-1" })
	d.signal("b-1", syscall.SIGCONT)
	for range 20 {
		a := d.sendRequest(d.callerAddresses["b-1"], "orders", "")
		c.Check(a.Endpoint, qt.Equals, "orders-b-1", qt.Commentf("%+v", a))
	}
	c.Assert(os.Remove(zoneFile), qt.IsNil)
	d.waitUntil("zone a is back", func() bool { return d.sendRequest(d.callerAddresses["a-1"], "orders", "").Endpoint == "orders-a-1" })
}
