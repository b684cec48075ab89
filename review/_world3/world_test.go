package world3

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	storePort, callersPort, readyPort, innerPort, enginePort = 8007, 8005, 8002, 7700, 8001
	// restartDelay is the short delay after which the platform starts a process again that has ended.
	restartDelay = 500 * time.Millisecond
	// stableWindow is the bound stable-window-ms.
	stableWindow = 3 * time.Second
)

// zones are the zones of the deployment, each of which is a region of its own.
var zones = []string{"leinster-a", "munster-a", "connacht-a"}

func region(zone string) string { return strings.TrimSuffix(zone, "-a") }

// world is a small deployment: the project's processes, and stand-ins for the platform, the servers and the clients.
type world struct {
	prefix  string
	dir     string
	trouble bool
	start   time.Time
	store   *store
	record  *os.File
	mu      sync.Mutex
	procs   []*proc
	hosts   int
}

// proc is one process of the project.
type proc struct {
	w        *world
	name     string
	role     string
	zone     string
	ip       string
	settings string
	mu       sync.Mutex
	cmd      *exec.Cmd
	// troubles holds the times of all starts, kills, stops and continuations.
	troubles []time.Time
	rotation
}

// rotation is the balancer's state of a gateway.
type rotation struct {
	mu     sync.Mutex
	misses int
	in     bool
}

func fatal(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "the case could not run: "+format+"\n", args...)
	if current != nil {
		current.close()
	}
	os.Exit(2)
}

// current is the world of this process.
var current *world

func newWorld(recordPath string) *world {
	dir, err := os.MkdirTemp("", "world3-")
	if err != nil {
		fatal("temporary folder: %v", err)
	}
	record, err := os.Create(recordPath)
	if err != nil {
		fatal("record: %v", err)
	}
	w := &world{dir: dir, trouble: os.Getenv("TROUBLE") != "0", start: time.Now(), store: newStore(), record: record}
	for range 100 {
		w.prefix = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), rand.IntN(250))
		lis, err := net.Listen("tcp", fmt.Sprintf("%s1:%d", w.prefix, storePort))
		if err == nil {
			_ = lis.Close()
			break
		}
	}
	w.hosts = 1
	w.store.serve(w.storeAddress())
	current = w
	return w
}

func (w *world) storeAddress() string { return fmt.Sprintf("%s1:%d", w.prefix, storePort) }

// newIP returns the address of a further machine.
func (w *world) newIP() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hosts++
	return fmt.Sprintf("%s%d", w.prefix, w.hosts)
}

// log writes a line to the record.
func (w *world) log(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%9.3f "+format+"\n", append([]any{time.Since(w.start).Seconds()}, args...)...)
}

// say writes a line to the record and to standard output.
func (w *world) say(format string, args ...any) {
	w.log(format, args...)
	fmt.Printf(format+"\n", args...)
}

// close ends all processes that were started.
func (w *world) close() {
	for _, p := range w.procs {
		p.end()
	}
	_ = w.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs are in", w.dir)
	}
}

// finish ends the run with the result of the check.
func (w *world) finish(broken bool) {
	w.close()
	if broken {
		os.Exit(1)
	}
	os.Exit(0)
}

// newProc writes the settings of a process as the template deploy/settings.ini gives them.
func (w *world) newProc(role, zone, ip, name, extra string) *proc {
	var b strings.Builder
	fmt.Fprintf(&b, "[process]\nname = %s\nzone = %s\nregion = %s\ninner = %s:%d\nadmin = %s:7702\nstore = %s\nsharedKey = fulmarrail-inner-protocol\n%s\n", name, zone, region(zone), ip, innerPort, ip, w.storeAddress(), extra)
	b.WriteString("[bounds]\ndrain = 2000ms\ngrace = 8s\nconfiguration = 2000ms\nrevocation = 5000ms\nweights = 8000ms\ncoldOvershoot = 1.5\ncoldSlack = 5\nrepeatShare = 0.2\n\n[zones]\n")
	for _, z := range zones {
		fmt.Fprintf(&b, "%s = %s\n", z, region(z))
	}
	path := filepath.Join(w.dir, name+".ini")
	if err := os.WriteFile(path, []byte(b.String()), 0o600); err != nil {
		fatal("settings: %v", err)
	}
	p := &proc{w: w, name: name, role: role, zone: zone, ip: ip, settings: path}
	w.mu.Lock()
	w.procs = append(w.procs, p)
	w.mu.Unlock()
	return p
}

// newGateway returns a gateway on a machine of its own, which is not started yet.
func (w *world) newGateway(zone, name string) *proc {
	ip := w.newIP()
	return w.newProc("gateway", zone, ip, name, fmt.Sprintf("link = 1000.0\nmemory = 284\ncallers = %s:%d\nready = %s:%d\n", ip, callersPort, ip, readyPort))
}

// newCarrier returns the carrier beside a server.
func (w *world) newCarrier(e *engine, name string) *proc {
	return w.newProc("carrier", e.zone, e.ip, name, fmt.Sprintf("link = 7.3\nmemory = 152\nendpoint = %s\nservice = %s\n", e.address(), e.service))
}

func (p *proc) run() {
	p.mu.Lock()
	defer p.mu.Unlock()
	out, err := os.OpenFile(filepath.Join(p.w.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fatal("log: %v", err)
	}
	p.cmd = exec.Command("target/fulmarrail", p.role)
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + p.w.dir, "FULMARRAIL_CONFIG=" + p.settings}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		fatal("start %s: %v", p.name, err)
	}
	p.troubles = append(p.troubles, time.Now())
	p.w.log("%s starts", p.name)
	cmd := p.cmd
	go func() { _ = cmd.Wait(); _ = out.Close() }()
}

// signal sends a signal to the process that this test has started.
func (p *proc) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s)
		p.w.log("%s gets %s", p.name, s)
		p.troubles = append(p.troubles, time.Now())
	}
}

// killAndRestart kills the process. The platform starts it again after a short delay.
func (p *proc) killAndRestart() {
	p.signal(syscall.SIGKILL)
	time.Sleep(restartDelay)
	p.run()
}

func (p *proc) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Kill()
	}
}

// inTouchAt reports whether the process's machine was in touch at a time: no kill, start or other signal in the stable window before it.
func (p *proc) inTouchAt(at time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range p.troubles {
		if !t.After(at) && at.Sub(t) < stableWindow {
			return false
		}
	}
	return true
}

// balance asks each gateway once a second whether it is ready. After two misses it gets no new connections until it answers 200 again.
func (w *world) balance(gateways []*proc) {
	for _, p := range gateways {
		go func() {
			for {
				status := get(fmt.Sprintf("http://%s:%d/readiness", p.ip, readyPort), time.Second)
				p.rotation.mu.Lock()
				if status == 200 {
					p.misses, p.in = 0, true
				} else if p.misses++; p.misses >= 2 {
					p.in = false
				}
				p.rotation.mu.Unlock()
				time.Sleep(time.Second)
			}
		}()
	}
}

func (p *proc) inRotation() bool {
	p.rotation.mu.Lock()
	defer p.rotation.mu.Unlock()
	return p.in
}

// awaitReady waits until all gateways are in rotation.
func (w *world) awaitReady(gateways []*proc) {
	for deadline := time.Now().Add(15 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, p := range gateways {
			if p.inRotation() {
				ready++
			}
		}
		if ready == len(gateways) {
			return
		}
		if time.Now().After(deadline) {
			fatal("only %d of %d gateways are ready", ready, len(gateways))
		}
	}
}
