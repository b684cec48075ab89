package world

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// world is a small deployment on loopback: the store's stand-in, engines, and the project's programs as separate processes.
type world struct {
	dir     string
	record  *os.File
	started time.Time
	store   *store
	// storeAddress is where the programs reach the store.
	storeAddress string

	mu        sync.Mutex
	processes []*process

	starter sync.Once
	starts  chan startRequest
}

// startRequest asks for the start of a command.
type startRequest struct {
	cmd    *exec.Cmd
	result chan error
}

// process is one of the project's programs.
type process struct {
	name, role, settings string
	front, ready         string
	cmd                  *exec.Cmd
	ended                chan struct{}
}

const (
	zoneA, regionA = "leinster-a", "leinster"
	zoneB, regionB = "munster-a", "munster"
	zoneC, regionC = "connacht-a", "connacht"

	// heartbeat is heartbeat-ms, and restartDelay the short delay after which the platform starts an ended process again.
	heartbeat    = 1200 * time.Millisecond
	restartDelay = 500 * time.Millisecond
	// engineBorn is the start of all engines, in Unix milliseconds.
	engineBorn = 1_700_000_000_000

	firstPort, portCount = 12_000, 18_000
)

// claimedPorts holds the ports that freePort has returned.
var claimedPorts sync.Map

func newWorld(recordPath string) (*world, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, record: record, started: time.Now(), store: newStore()}
	lis, err := listen("127.0.0.1")
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(lis, w.store) }()
	w.storeAddress = lis.Addr().String()
	return w, nil
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	line := fmt.Sprintf("%8.3f s  ", time.Since(w.started).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = w.record.WriteString(line)
}

func (w *world) close() {
	w.mu.Lock()
	processes := w.processes
	w.mu.Unlock()
	for _, p := range processes {
		p.kill()
	}
	_ = os.RemoveAll(w.dir)
	_ = w.record.Close()
}

// settings fills in deploy/settings.ini for a process, as the platform does, with the bounds of the site bandwoven-rail.
func (w *world) settings(name, ip string, inner int, linkMbps float64, listens string) string {
	var b bytes.Buffer
	fmt.Fprintf(&b, "[process]\nname = %s\nzone = %s\nregion = %s\ninner = %s:%d\nstore = %s\nlink = %g\nsharedKey = fulmarrail-inner-protocol\n", name, zoneA, regionA, ip, inner, w.storeAddress, linkMbps)
	b.WriteString(listens)
	b.WriteString("\n[bounds]\ndrain = 2000ms\ngrace = 8s\nconfiguration = 2000ms\nrevocation = 5000ms\nweights = 8000ms\ncoldOvershoot = 1.5\ncoldSlack = 5\nrepeatShare = 0.2\n\n[zones]\n")
	fmt.Fprintf(&b, "%s = %s\n%s = %s\n%s = %s\n", zoneA, regionA, zoneB, regionB, zoneC, regionC)
	path := filepath.Join(w.dir, name+".ini")
	w.write(path, b.String())
	return path
}

// gateway prepares a gateway at a loopback IP. The inner port has to be the same for all processes of a deployment.
func (w *world) gateway(name, ip string, inner int) *process {
	p := &process{name: name, role: "gateway", front: freeAddress(ip), ready: freeAddress(ip)}
	p.settings = w.settings(name, ip, inner, 1000, "callers = "+p.front+"\nready = "+p.ready+"\n")
	return p
}

// carrier prepares a carrier at a loopback IP for the engine at an address.
func (w *world) carrier(name, ip string, inner int, engine, service string) *process {
	return &process{name: name, role: "carrier", settings: w.settings(name, ip, inner, 7.3, "endpoint = "+engine+"\nservice = "+service+"\n")}
}

// beat writes an engine's row to the store now and then as long as the store is there.
func (w *world) beat(id string, row func(sequence int) map[string]any) {
	w.store.put("servers", id, row(1))
	go func() {
		for n := 2; ; n++ {
			time.Sleep(heartbeat)
			w.store.putIfThere("servers", id, row(n))
		}
	}()
}

func (w *world) write(path, text string) {
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		panic(err)
	}
}

// start starts a process with the command of the deploy file, from the repository's root.
func (w *world) start(p *process) error {
	log, err := os.OpenFile(filepath.Join(w.dir, p.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/fulmarrail", p.role)
	cmd.Env = append(os.Environ(), "FULMARRAIL_CONFIG="+p.settings)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := w.startOnLastingThread(cmd); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.cmd, p.ended = cmd, ended
	w.mu.Lock()
	w.processes = append(w.processes, p)
	w.mu.Unlock()
	go func() {
		err := cmd.Wait()
		w.note("process %s (pid %d) has ended: %v", p.name, cmd.Process.Pid, err)
		close(ended)
	}()
	w.note("process %s started, pid %d", p.name, cmd.Process.Pid)
	return nil
}

// startOnLastingThread starts a command from a thread that lasts as long as this program, since the command ends with that thread.
func (w *world) startOnLastingThread(cmd *exec.Cmd) error {
	w.starter.Do(func() {
		w.starts = make(chan startRequest)
		go func() {
			runtime.LockOSThread()
			for s := range w.starts {
				s.result <- s.cmd.Start()
			}
		}()
	})
	s := startRequest{cmd: cmd, result: make(chan error)}
	w.starts <- s
	return <-s.result
}

func (p *process) signal(s syscall.Signal) {
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

func (p *process) kill() {
	if p.cmd == nil {
		return
	}
	_ = p.cmd.Process.Kill()
	<-p.ended
}

// awaitReady waits until a gateway says that it is ready.
func (p *process) awaitReady(limit time.Duration) bool {
	for start := time.Now(); time.Since(start) < limit; time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + p.ready + "/readiness")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// rssMB returns the resident memory of a process in MB (2^20 bytes).
func (p *process) rssMB() float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kb / 1024
		}
	}
	return 0
}

func listen(ip string) (net.Listener, error) {
	return net.Listen("tcp", ip+":0")
}

// freeAddress returns an address whose port is free at an IP, for TCP and UDP.
func freeAddress(ip string) string {
	return net.JoinHostPort(ip, strconv.Itoa(freePort(ip)))
}

// freePort returns a port that is free at all the given IPs, for TCP and UDP, and that it has not returned before. The port lies below those that the
// system gives to outgoing connections.
func freePort(ips ...string) int {
	for {
		port := firstPort + rand.IntN(portCount)
		if _, claimed := claimedPorts.LoadOrStore(port, true); claimed {
			continue
		}
		free := true
		for _, ip := range ips {
			free = free && isFree(net.JoinHostPort(ip, strconv.Itoa(port)))
		}
		if free {
			return port
		}
	}
}

func isFree(address string) bool {
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	_ = lis.Close()
	conn, err := net.ListenPacket("udp4", address)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}
