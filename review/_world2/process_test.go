package world2

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// ports are the same on all machines of a run.
type ports struct {
	front, ready, inner, admin, engine int
}

// machine is a machine with one process of the project on it.
type machine struct {
	name, role, ip, settings string
	cmd                      *exec.Cmd
	done                     chan struct{}
}

// freePorts returns ports that are free on the loopback addresses now.
func freePorts() ports {
	var list [5]int
	for i := range list {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		must(err)
		defer l.Close()
		list[i] = l.Addr().(*net.TCPAddr).Port
	}
	return ports{list[0], list[1], list[2], list[3], list[4]}
}

// newMachine writes the settings of a machine in the form of deploy/settings.ini.
func (w *world) newMachine(name, role, ip, zone, extra string) *machine {
	text := fmt.Sprintf(`[process]
name = %s
zone = %s
region = %s
inner = %s:%d
admin = %s:%d
store = %s
link = 1000.0
memory = 284
sharedKey = fulmarrail-inner-protocol
%s
[bounds]
drain = 2000ms
grace = 8s
configuration = 2000ms
revocation = 5000ms
weights = 8000ms
coldOvershoot = 1.5
coldSlack = 5
repeatShare = 0.2

[zones]
%s = %s
%s = %s
`, name, zone, region, ip, w.ports.inner, ip, w.ports.admin, w.storeAddress, extra, zoneA, region, zoneB, region)
	m := &machine{name: name, role: role, ip: ip, settings: filepath.Join(w.dir, name+".ini")}
	must(os.WriteFile(m.settings, []byte(text), 0o600))
	return m
}

// newFront returns the nth front machine. Each has an address and a name of its own.
func (w *world) newFront(n int) *machine {
	ip := fmt.Sprintf("127.1.%d.%d", n/200, 1+n%200)
	extra, zone := fmt.Sprintf("callers = %s:%d\nready = %s:%d\n", ip, w.ports.front, ip, w.ports.ready), zones[n%len(zones)]
	return w.newMachine(fmt.Sprintf("front-%s-%d", zone, n+1), "gateway", ip, zone, extra)
}

// newSide returns the machine beside an engine.
func (w *world) newSide(n int, e *engine) *machine {
	host, _, err := net.SplitHostPort(e.address)
	must(err)
	return w.newMachine(fmt.Sprintf("side-%s-%d", e.zone, n+1), "carrier", host, e.zone, fmt.Sprintf("endpoint = %s\nservice = %s\n", e.address, service))
}

// start starts the machine's process by the run line of its role in deploy/system.toml.
func (m *machine) start() {
	log, err := os.OpenFile(m.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	defer log.Close()
	m.cmd, m.done = exec.Command("target/fulmarrail", m.role), make(chan struct{})
	m.cmd.Env = []string{"FULMARRAIL_CONFIG=" + m.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	m.cmd.Stdout, m.cmd.Stderr = log, log
	m.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(m.cmd.Start())
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(m.cmd, m.done)
}

// kill ends the machine's process and waits for its end.
func (m *machine) kill() {
	if m.cmd == nil {
		return
	}
	_ = m.cmd.Process.Kill()
	<-m.done
	m.cmd = nil
}

var checker = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// ready asks a front machine as the platform's balancer does.
func (w *world) ready(m *machine) bool {
	resp, err := checker.Get(fmt.Sprintf("http://%s:%d/readiness", m.ip, w.ports.ready))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until a front machine is ready, and reports whether it became so in time.
func (w *world) awaitReady(m *machine, within time.Duration) bool {
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if w.ready(m) {
			return true
		}
	}
	return false
}
