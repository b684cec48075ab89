package railpublisher

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/config/railrevision"
	"github.com/fulmarrail/fulmarrail/internal/store/railversion"
)

const (
	// peerTime is the time after the beginning of an era for which a process without a revision takes none from the store, since others
	// may know a newer one that the store has lost.
	peerTime = 5 * time.Second
	// maxUnreadableOlder and maxUnreadableNewer are the numbers of attempts to read the content of the row's revision, after which it counts
	// as lost. A newer one is given more time, since a process that has it writes it again as soon as it reaches the store.
	maxUnreadableOlder = 10
	maxUnreadableNewer = 60
)

var errRestoredLately = errors.New("the store was restored lately; a newer revision may come from another process")

// resolve brings together the revision in force and another one that the row names. It puts the row's revision in force if that
// supersedes the one in force, or publishes the one in force again, or a merged one if each has parts that are newer.
func (p *Publisher) resolve(ctx context.Context, current railrevision.Revision, ref revisionRef, rowVersion int64) (int64, error) {
	if rowVersion == 0 {
		return p.publishAgain(ctx, current, rowVersion)
	}
	stored, err := p.fetch(ctx, ref)
	if err != nil {
		if !p.isLost(ref, current.Number) {
			return 0, err
		}
		current.Number = max(current.Number, ref.Number) + 1
		return p.publishAgain(ctx, current, rowVersion)
	}
	p.unreadable = 0
	switch {
	case ref.Number > current.Number && (p.ReadOnly || stored.Supersedes(current)):
		p.Revisions.Adopt(stored)
		p.Revisions.Confirm(ref.Number, 0)
		return rowVersion, nil
	case ref.Number == current.Number && railrevision.Digest(stored.Encode()) == p.ref(current).Digest:
		p.ownRef = ref // The same revision, encoded by another release.
		p.Revisions.Confirm(ref.Number, 0)
		return rowVersion, nil
	case ref.Number < current.Number && current.Supersedes(stored):
		return p.publishAgain(ctx, current, rowVersion)
	}
	return p.publishAgain(ctx, current.Merge(stored), rowVersion)
}

// publishAgain publishes a revision that the store has lost, or one that supersedes those that were published before and after a restore.
func (p *Publisher) publishAgain(ctx context.Context, r railrevision.Revision, rowVersion int64) (int64, error) {
	if p.ReadOnly {
		return rowVersion, nil
	}
	newVersion, published, err := p.publish(ctx, r, rowVersion)
	if published {
		p.Log.Warn("the store was restored from an older copy; revision published again", "revision", r.Number)
	}
	return newVersion, err
}

// isLost counts the failures to read the content of a revision, and reports whether it counts as lost.
func (p *Publisher) isLost(ref revisionRef, ownNumber uint64) bool {
	if ref != p.unreadableRef {
		p.unreadable, p.unreadableRef = 0, ref
	}
	p.unreadable++
	if ref.Number > ownNumber {
		return ownNumber > 0 && p.unreadable >= maxUnreadableNewer
	}
	return p.unreadable >= maxUnreadableOlder
}

// restoreContent writes the content of the revision in force once more if the store has lost it. It looks once in each era.
func (p *Publisher) restoreContent(ctx context.Context, current railrevision.Revision, rowVersion int64) error {
	era := railversion.Era(rowVersion)
	if p.ReadOnly || era == p.checkedEra {
		return nil
	}
	ref := p.ref(current)
	if _, err := p.fetch(ctx, ref); err != nil {
		if err := p.Objects.Write(ctx, objectPrefix+ref.Digest, current.Encode()); err != nil {
			return errors.Wrapf(err, "write revision %d again", ref.Number)
		}
	}
	p.checkedEra = era
	return nil
}

// ref returns the reference to a revision that is in force.
func (p *Publisher) ref(r railrevision.Revision) revisionRef {
	if p.ownRef.Number != r.Number {
		p.ownRef = revisionRef{Number: r.Number, Digest: railrevision.Digest(r.Encode())}
	}
	return p.ownRef
}
