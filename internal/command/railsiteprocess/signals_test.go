package railsiteprocess_test

import (
	"bufio"
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/command/railfactory"
	"github.com/fulmarrail/fulmarrail/internal/command/railsiteprocess"
)

const (
	// settingsFileEnv makes this test binary run as the process under test, with the settings file that the variable names.
	settingsFileEnv = "RAIL_TEST_SETTINGS"
	settings        = `[process]
name = entry-1
zone = a
region = r
inner = 127.0.0.1:7700
store = 127.0.0.1:7701
sharedKey = secret
[zones]
a = r
`
)

func TestMain(m *testing.M) {
	if path := os.Getenv(settingsFileEnv); path != "" {
		os.Exit(runChild(path))
	}
	os.Exit(m.Run())
}

// runChild runs a process whose shutdown lasts until it reads a line from its standard input.
func runChild(path string) int {
	f := railfactory.New()
	cmd := railsiteprocess.NewCommand(f, "gateway", "", "", func(ctx context.Context, p *railsiteprocess.Process) error {
		<-ctx.Done()
		p.Log.Info("stopping")
		_, err := bufio.NewReader(os.Stdin).ReadString('\n')
		return err
	})
	cmd.SetArgs([]string{"--settings", path})
	if err := cmd.Execute(); err != nil {
		return 1
	}
	return 0
}

// A SIGHUP during shutdown must not end the process. An entry without a SIGHUP handler at that time ended with 62 responses in flight.
func TestHangupDuringShutdownDoesNotEndProcess(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.ini")
	qt.Assert(t, os.WriteFile(path, []byte(settings), 0o600), qt.IsNil)
	child := exec.Command(os.Args[0])
	child.Env = append(os.Environ(), settingsFileEnv+"="+path)
	stdin, err := child.StdinPipe()
	qt.Assert(t, err, qt.IsNil)
	stdout, err := child.StdoutPipe()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, child.Start(), qt.IsNil)
	lines := bufio.NewScanner(stdout)
	waitForLine := func(text string) {
		for lines.Scan() {
			if strings.Contains(lines.Text(), text) {
				return
			}
		}
		t.Errorf("the process ended before its line %q", text)
	}
	waitForLine("process started")
	qt.Check(t, child.Process.Signal(syscall.SIGTERM), qt.IsNil)
	waitForLine("stopping")
	for range 2 {
		qt.Check(t, child.Process.Signal(syscall.SIGHUP), qt.IsNil)
		waitForLine("settings read again")
		qt.Check(t, child.Process.Signal(syscall.SIGTERM), qt.IsNil)
	}
	_, err = stdin.Write([]byte("\n"))
	qt.Check(t, err, qt.IsNil)
	waitForLine("process stopped")
	for lines.Scan() {
		continue
	}
	// Wait's error is ignored, since the exit code reports the result of the shutdown. The test only rules out an end by a signal.
	_ = child.Wait()
	qt.Check(t, child.ProcessState.Exited(), qt.IsTrue, qt.Commentf("%s", child.ProcessState))
}
