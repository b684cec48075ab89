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
	// childVariable tells this test's binary to run as the process under test, with the settings that it names.
	childVariable = "RAIL_TEST_SETTINGS"
	settings      = `[process]
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
	if path := os.Getenv(childVariable); path != "" {
		os.Exit(runChild(path))
	}
	os.Exit(m.Run())
}

// runChild runs a process whose stop lasts until a line comes on its standard input.
func runChild(path string) int {
	f := railfactory.New()
	cmd := railsiteprocess.Command(f, "gateway", "", "", func(ctx context.Context, p *railsiteprocess.Process) error {
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

// An entry that was told to read its settings again while it stopped was ended by that, with 62 answers on their way.
func TestAHangUpDuringAStopEndsNothing(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.ini")
	qt.Assert(t, os.WriteFile(path, []byte(settings), 0o600), qt.IsNil)
	child := exec.Command(os.Args[0])
	child.Env = append(os.Environ(), childVariable+"="+path)
	in, err := child.StdinPipe()
	qt.Assert(t, err, qt.IsNil)
	out, err := child.StdoutPipe()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, child.Start(), qt.IsNil)
	lines := bufio.NewScanner(out)
	await := func(text string) {
		for lines.Scan() {
			if strings.Contains(lines.Text(), text) {
				return
			}
		}
		t.Errorf("the process ended before its line %q", text)
	}
	await("process started")
	qt.Check(t, child.Process.Signal(syscall.SIGTERM), qt.IsNil)
	await("stopping")
	for range 2 {
		qt.Check(t, child.Process.Signal(syscall.SIGHUP), qt.IsNil)
		await("settings read again")
		qt.Check(t, child.Process.Signal(syscall.SIGTERM), qt.IsNil)
	}
	_, err = in.Write([]byte("\n"))
	qt.Check(t, err, qt.IsNil)
	await("process stopped")
	for lines.Scan() {
		continue
	}
	// The planned stop is told by its code, as before.
	_ = child.Wait()
	qt.Check(t, child.ProcessState.Exited(), qt.IsTrue, qt.Commentf("%s", child.ProcessState))
}
