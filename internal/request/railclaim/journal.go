package railclaim

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/fulmarrail/fulmarrail/internal/store/railera"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	// maxJournalBytes bounds the responses in the journal. Beyond it, a lost outcome is written again without its response, which others
	// then get from the registry of this agent.
	maxJournalBytes = 8 << 20
	pruneInterval   = 5 * time.Second
)

// journal holds the claims and outcomes that the store may still lose when it is restored from an older copy. The zero value is empty.
type journal struct {
	mu       sync.Mutex
	records  map[string]*record
	bytes    int
	prunedAt time.Time
}

// record is a claim, or its outcome once the request has ended.
type record struct {
	row string

	// The journal's mutex guards the following fields. writing is set while a goroutine writes the record. writtenAt is the time at which
	// the store acknowledged the claim, or zero if that was not acknowledged yet.
	writing   bool
	claim     *railproto.Claim
	version   int64
	writtenAt time.Time
}

// add adds a claim that the store has acknowledged. It reports false if that was in an earlier era than the latest, or if the latest has
// just begun.
func (j *journal) add(row string, claim *railproto.Claim, version int64, era *railera.Tracker) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if era.IsOutdated(version) || era.Remaining(settleTime) > 0 {
		return false
	}
	j.prune()
	j.put(&record{row: row, claim: claim, version: version, writtenAt: time.Now()})
	return true
}

// setOutcome replaces a claim by its outcome, which is not written yet. version is the version of the claim's row.
func (j *journal) setOutcome(row string, outcome *railproto.Claim, version int64) *record {
	j.mu.Lock()
	defer j.mu.Unlock()
	r := j.records[row]
	if r == nil || !isSameClaim(r.claim, outcome) {
		r = &record{row: row, version: version}
		j.put(r)
	}
	r.claim, r.writtenAt = outcome, time.Time{}
	j.bytes += len(outcome.GetAnswer())
	return r
}

// beginWriting reports whether the caller is to write a record, since no other goroutine does so.
func (j *journal) beginWriting(r *record) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	begun := !r.writing
	r.writing = true
	return begun
}

// setWritten records that the store has acknowledged a claim or its outcome. It returns errNotWritten if the request has ended meanwhile,
// so that the outcome is still to be written.
func (j *journal) setWritten(r *record, claim *railproto.Claim, version int64) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	r.version = version
	if r.claim != claim {
		return errNotWritten
	}
	r.writing, r.writtenAt = false, time.Now()
	if j.bytes > maxJournalBytes && len(claim.GetAnswer()) > 0 {
		j.bytes -= len(claim.GetAnswer())
		r.claim = withoutAnswer(claim)
	}
	return nil
}

func (j *journal) setVersion(r *record, version int64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r.version = version
}

func (j *journal) remove(row string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if r := j.records[row]; r != nil {
		j.delete(r)
	}
}

func (j *journal) read(r *record) (*railproto.Claim, int64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return r.claim, r.version
}

// contains reports whether a record was not removed or replaced.
func (j *journal) contains(r *record) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.records[r.row] == r
}

// outdated returns the records whose rows were last written or read in an earlier era than the latest, those written last first.
func (j *journal) outdated(era *railera.Tracker) []*record {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.prune()
	var outdated []*record
	for _, r := range j.records {
		if era.IsOutdated(r.version) {
			outdated = append(outdated, r)
		}
	}
	slices.SortFunc(outdated, func(a, b *record) int {
		return cmp.Or(b.writtenAt.Compare(a.writtenAt), cmp.Compare(a.row, b.row))
	})
	return outdated
}

func (j *journal) put(r *record) {
	if j.records == nil {
		j.records = map[string]*record{}
	}
	if earlier := j.records[r.row]; earlier != nil {
		j.delete(earlier)
	}
	j.records[r.row] = r
}

func (j *journal) delete(r *record) {
	j.bytes -= len(r.claim.GetAnswer())
	delete(j.records, r.row)
}

// prune removes what was written so long ago that each copy of the store has it.
func (j *journal) prune() {
	now := time.Now()
	if now.Sub(j.prunedAt) < pruneInterval {
		return
	}
	j.prunedAt = now
	for _, r := range j.records {
		if !r.writtenAt.IsZero() && now.Sub(r.writtenAt) > railera.MaxCopyAge {
			j.delete(r)
		}
	}
}

func withoutAnswer(claim *railproto.Claim) *railproto.Claim {
	claim = proto.CloneOf(claim)
	claim.Answer, claim.AnswerOmitted = nil, true
	return claim
}

// isSameClaim reports whether two rows' values belong to the same request of the same incarnation of an agent.
func isSameClaim(a, b *railproto.Claim) bool {
	return a.GetRequestId() == b.GetRequestId() && a.GetIncarnation() == b.GetIncarnation()
}
