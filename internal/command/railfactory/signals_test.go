package railfactory

import (
	"io"
	"os"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Only a second interrupt may abort running work. A supervisor that sent SIGTERM twice within 0.1 s made an entry abort 62 responses.
func TestOnlySecondInterruptAbortsRunningWork(t *testing.T) {
	for name, test := range map[string]struct {
		signals   []os.Signal
		wantExits int
	}{
		"asked to terminate once":                    {[]os.Signal{syscall.SIGTERM}, 0},
		"asked to terminate twice":                   {[]os.Signal{syscall.SIGTERM, syscall.SIGTERM, syscall.SIGTERM}, 0},
		"interrupted once":                           {[]os.Signal{os.Interrupt}, 0},
		"interrupted, then asked to terminate":       {[]os.Signal{os.Interrupt, syscall.SIGTERM}, 0},
		"interrupted twice":                          {[]os.Signal{os.Interrupt, os.Interrupt}, 1},
		"asked to terminate twice, then interrupted": {[]os.Signal{syscall.SIGTERM, syscall.SIGTERM, os.Interrupt}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			signals := make(chan os.Signal, len(test.signals))
			for _, s := range test.signals {
				signals <- s
			}
			close(signals)
			stops, exits := 0, 0
			(&Factory{Err: io.Discard}).handleSignals(signals, func() { stops++ }, func(int) { exits++ })
			qt.Check(t, stops, qt.Equals, 1)
			qt.Check(t, exits, qt.Equals, test.wantExits)
		})
	}
}
