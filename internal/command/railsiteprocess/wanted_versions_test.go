package railsiteprocess

import (
	"log/slog"
	"net"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"github.com/fulmarrail/fulmarrail/internal/standin/railplatform"
	"github.com/fulmarrail/fulmarrail/internal/store/railtable"
)

const (
	testModel = "m"
	// ageTolerance is the time that a test's calls may take.
	ageTolerance = 10 * time.Second
	pollTime     = 10 * time.Millisecond
)

// startTestStore serves a stand-in of the platform's store and returns its address.
func startTestStore(t *testing.T) string {
	t.Helper()
	return serveTestStore(t, &railplatform.Platform{})
}

// serveTestStore serves a stand-in of the platform's store and returns its address.
func serveTestStore(t *testing.T, standin *railplatform.Platform) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	server := &fasthttp.Server{Handler: standin.Handle}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}

// newTestProcess returns a process that has read the configuration from a store once.
func newTestProcess(t *testing.T, store string) *Process {
	t.Helper()
	p := &Process{Log: slog.New(slog.DiscardHandler)}
	p.Site.Process.CallTimeout, p.Site.Process.StoreAddress, p.Site.Bounds.RolloutTime = time.Minute, store, time.Hour
	p.initStore()
	qt.Assert(t, p.NewConfigFollower(nil).Refresh(t.Context()), qt.IsNil)
	return p
}

// age returns the time since a process believes that a version was requested.
func (p *Process) age(t *testing.T, version int64) time.Duration {
	t.Helper()
	for _, wanted := range p.Config.WantedVersions(testModel) {
		if wanted.Version == version {
			return wanted.Age
		}
	}
	t.Fatalf("version %d is not wanted", version)
	return 0
}

// share starts a process that knows, or guesses, the age of version 2 and shares it.
func share(t *testing.T, store string, age time.Duration, guessed bool) *Process {
	t.Helper()
	p := newTestProcess(t, store)
	p.Config.RecordWantedVersion(testModel, 2, age, guessed)
	p.shareOnce(t, age, guessed)
	return p
}

// shareOnce makes one exchange with the other processes.
func (p *Process) shareOnce(t *testing.T, age time.Duration, guessed bool) {
	t.Helper()
	own := wantedVersion{model: testModel, version: 2, wantedAt: p.StoreClock.Now() - age, guessed: guessed}
	_, err := p.exchangeWantedVersion(t.Context(), own)
	qt.Assert(t, err, qt.IsNil)
}

// checkAge checks the time for which a process believes version 2 to have been wanted.
func (p *Process) checkAge(t *testing.T, want time.Duration) {
	t.Helper()
	age := p.age(t, 2)
	qt.Check(t, (age-want).Abs() < ageTolerance, qt.IsTrue, qt.Commentf("%s instead of %s", age, want))
}

// Guards against a process that keeps its own idea of when a version was requested although another knows it better, and against a
// guess that takes the place of what is known.
func TestProcessesAgreeOnLatestPossibleRequest(t *testing.T) {
	const best, early, lowGuess = 20 * time.Minute, 40 * time.Minute, 5 * time.Minute
	for name, first := range map[string]struct {
		age     time.Duration
		guessed bool
	}{
		"best knowledge first":  {age: best},
		"poor knowledge first":  {age: early},
		"guess first":           {age: lowGuess, guessed: true},
		"guess that is too old": {age: early, guessed: true},
	} {
		t.Run(name, func(t *testing.T) {
			store := startTestStore(t)
			share(t, store, first.age, first.guessed)
			share(t, store, best, false)
			share(t, store, early, false).checkAge(t, best)
			share(t, store, lowGuess, true).checkAge(t, best)
			started := newTestProcess(t, store)
			started.RestoreWantedVersions()
			started.checkAge(t, best)
		})
	}
}

// awaitReads waits until the store has been read a number of times.
func awaitReads(standin *railplatform.Platform, count int64) {
	for _, reads := standin.CallCounts(); reads < count; _, reads = standin.CallCounts() {
		time.Sleep(pollTime)
	}
}

// awaitRecord waits until the store holds a record of the version.
func (p *Process) awaitRecord(t *testing.T) {
	t.Helper()
	for {
		row, err := p.Store.Row(t.Context(), tableWantedVersions, testModel+"/2")
		qt.Assert(t, err, qt.IsNil)
		if row.Version > 0 {
			return
		}
		time.Sleep(pollTime)
	}
}

// Guards against a process that starts after the store was restored from a copy without the records, and guesses a time that others know.
func TestRecordIsWrittenAgainAfterRestore(t *testing.T) {
	const known = 20 * time.Minute
	standin := &railplatform.Platform{}
	store := serveTestStore(t, standin)
	p := newTestProcess(t, store)
	p.Config.RecordWantedVersion(testModel, 2, known, false)
	_, readsBefore := standin.CallCounts()
	go p.ShareWantedVersion(t.Context(), testModel, 2, known, false)
	awaitReads(standin, readsBefore+2) // The process reads the record once more after it has written it.
	standin.Restore(time.Hour)
	p.awaitRecord(t)
	started := newTestProcess(t, store)
	started.RestoreWantedVersions()
	started.checkAge(t, known)
}

// Guards against a process that has learned from a record when a version was requested, and writes its own poorer idea of it after the store was
// restored from a copy without the record.
func TestLearnedRequestTimeIsWrittenAgainAfterRestore(t *testing.T) {
	const known, guess = 20 * time.Minute, 5 * time.Minute
	standin := &railplatform.Platform{}
	store := serveTestStore(t, standin)
	share(t, store, known, false) // This process is gone when the store is restored.
	p := newTestProcess(t, store)
	p.Config.RecordWantedVersion(testModel, 2, guess, true)
	_, readsBefore := standin.CallCounts()
	go p.ShareWantedVersion(t.Context(), testModel, 2, guess, true)
	awaitReads(standin, readsBefore+2)
	p.checkAge(t, known)
	standin.Restore(time.Hour)
	p.awaitRecord(t)
	started := newTestProcess(t, store)
	started.RestoreWantedVersions()
	started.checkAge(t, known)
}

// Guards against two processes that only guess and settle for the lower guess.
func TestOlderGuessHoldsUntilRequestTimeIsKnown(t *testing.T) {
	const low, high, known = 5 * time.Minute, 20 * time.Minute, 10 * time.Minute
	store := startTestStore(t)
	a := share(t, store, low, true)
	share(t, store, high, true).checkAge(t, high)
	a.shareOnce(t, low, true)
	a.checkAge(t, high)
	share(t, store, known, false)
	a.shareOnce(t, low, true)
	a.checkAge(t, known)
}

// The records of earlier versions of the software may be too late, so that they must not replace what is known.
func TestRecordOfEarlierSoftwareCountsAsGuess(t *testing.T) {
	const known, late = 20 * time.Minute, 5 * time.Minute
	store := startTestStore(t)
	p := newTestProcess(t, store)
	value := strconv.FormatInt((p.StoreClock.Now() - late).Milliseconds(), 10)
	_, err := p.Store.Change(t.Context(), railtable.Put(tableWantedVersions, testModel+"/2", []byte(value)))
	qt.Assert(t, err, qt.IsNil)
	share(t, store, known, false).checkAge(t, known)
	p.RestoreWantedVersions()
	p.checkAge(t, known)
}
