package world

import (
	"syscall"
	"time"
)

const (
	// gatewayMemoryMB and carrierMemoryMB are memory-mb of the site's machines.
	gatewayMemoryMB = 284
	carrierMemoryMB = 152
	memoryInterval  = 2 * time.Millisecond
)

// memoryWatch kills a process that holds more memory than its limit, as the platform does.
type memoryWatch struct {
	stop, done chan struct{}
	peak       float64
	killed     bool
}

func (w *world) watchMemory(p *process, limitMB float64) *memoryWatch {
	m := &memoryWatch{stop: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(m.done)
		for {
			select {
			case <-m.stop:
				return
			case <-time.After(memoryInterval):
			}
			rss := p.rssMB()
			m.peak = max(m.peak, rss)
			if rss > limitMB {
				m.killed = true
				w.note("%s holds %.0f MB, over its limit of %.0f MB: the platform kills it", p.name, rss, limitMB)
				p.signal(syscall.SIGKILL)
				return
			}
		}
	}()
	return m
}

// end ends the watch and returns the process's peak, and whether it was killed.
func (m *memoryWatch) end() (float64, bool) {
	close(m.stop)
	<-m.done
	return m.peak, m.killed
}
