package railpublisher

import (
	"context"
	"encoding/json"
	"log/slog"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/config/railfolder"
	"github.com/fulmarrail/fulmarrail/internal/config/railrevision"
	"github.com/fulmarrail/fulmarrail/internal/config/railrevisioncache"
	"github.com/fulmarrail/fulmarrail/internal/store/railera"
	"github.com/fulmarrail/fulmarrail/internal/store/railobjects"
	"github.com/fulmarrail/fulmarrail/internal/store/railtable"
)

const (
	// CurrentRowKey is the key of the row that names the current revision.
	CurrentRowKey = "config/current"
	objectPrefix  = "revision-"
)

// Publisher follows the current revision and publishes new ones; set its fields before first use.
type Publisher struct {
	// Table is the table service, watched by Era.
	Table     railtable.Table
	Era       *railera.Tracker
	Objects   railobjects.Objects
	Revisions *railrevisioncache.Cache
	// ReadFolder reads the operators' configuration directory.
	ReadFolder func() (railfolder.Folder, error)
	// ResolveVersion returns the digest of the manifest to which a version name refers now.
	ResolveVersion func(ctx context.Context, version string) (string, error)
	// ReadOnly is set by processes that only follow.
	ReadOnly bool
	Log      *slog.Logger

	lastError string
	// ownRef is the reference to the revision in force.
	ownRef revisionRef
	// checkedEra is the era in which the content of the revision in force was last found in the store.
	checkedEra int64
	// unreadable counts the failures in a row to read the content of the revision that unreadableRef names.
	unreadable    int
	unreadableRef revisionRef
}

// revisionRef is the content of the row that names the current revision.
type revisionRef struct {
	Number uint64 `json:"number"`
	Digest string `json:"digest"`
}

// Pull fetches the platform's current revision if it is newer than the local one, and returns the version of its row, or 0 if no
// revision was published yet. If the store was restored and has lost the local revision, Pull publishes it again. It returns an error if
// the row or the revision can't be read or written.
func (p *Publisher) Pull(ctx context.Context) (int64, error) {
	ref, rowVersion, err := p.readRow(ctx)
	if err != nil {
		return 0, err
	}
	current, known := p.Revisions.Current()
	switch {
	case !known && rowVersion == 0:
		return 0, nil
	case !known && p.Era.Remaining(peerTime) > 0:
		return 0, errRestoredLately
	case ref == p.ref(current):
		p.Revisions.Confirm(ref.Number, 0)
		return rowVersion, p.restoreContent(ctx, current, rowVersion)
	case p.ReadOnly && ref.Number <= current.Number:
		return rowVersion, nil
	}
	return p.resolve(ctx, current, ref, rowVersion)
}

// Sync pulls the current revision and publishes a new one if the configuration directory has changed or a pending version can be
// pinned. It returns an error if the directory is rejected or the platform can't be reached.
func (p *Publisher) Sync(ctx context.Context) error {
	rowVersion, err := p.Pull(ctx)
	if err != nil {
		return err
	}
	folder, err := p.ReadFolder()
	if err != nil {
		return p.recordError(err)
	}
	current, _ := p.Revisions.Current()
	next, changed, err := current.Next(folder)
	if errors.Is(err, railrevision.ErrStale) {
		return nil
	}
	if err != nil {
		return p.recordError(err)
	}
	next, pinned := p.pinVersions(ctx, next)
	if !changed && !pinned {
		return nil
	}
	next.Number = current.Number + 1
	_, published, err := p.publish(ctx, next, rowVersion)
	if err == nil && !published {
		_, err = p.Pull(ctx) // Either another publisher wrote first or the reply was lost: read back the row.
	}
	return err
}

// LastError returns the error with which the configuration directory was last rejected, or an empty string after the next
// publication.
func (p *Publisher) LastError() string {
	return p.lastError
}

func (p *Publisher) readRow(ctx context.Context) (revisionRef, int64, error) {
	var ref revisionRef
	value, rowVersion, err := p.Table.Get(ctx, CurrentRowKey)
	if err != nil {
		return ref, 0, errors.Wrap(err, "read the current revision")
	}
	if rowVersion == 0 {
		return ref, 0, nil
	}
	return ref, rowVersion, errors.Wrapf(json.Unmarshal(value, &ref), "decode the row %s", CurrentRowKey)
}

func (p *Publisher) fetch(ctx context.Context, ref revisionRef) (railrevision.Revision, error) {
	content, err := p.Objects.Read(ctx, objectPrefix+ref.Digest)
	if err != nil {
		return railrevision.Revision{}, errors.Wrapf(err, "read revision %d", ref.Number)
	}
	if railrevision.Digest(content) != ref.Digest {
		return railrevision.Revision{}, errors.Newf("revision %d: content does not match digest %s", ref.Number, ref.Digest)
	}
	return railrevision.Decode(content)
}

// pinVersions pins the pending versions whose manifests can be resolved now, and reports whether it pinned any.
func (p *Publisher) pinVersions(ctx context.Context, r railrevision.Revision) (railrevision.Revision, bool) {
	pinned := false
	for service, version := range r.Pending {
		manifest, err := p.ResolveVersion(ctx, version)
		if err != nil {
			p.Log.Warn("can't resolve manifest of version; will retry", "service", service, "version", version, "err", err)
			continue
		}
		r = r.WithPin(service, version, manifest)
		pinned = true
	}
	return r, pinned
}

// publish writes a revision and makes it the current one if the row has the given version. It returns the row's new version, or false if
// another publisher wrote first or the outcome is unknown.
func (p *Publisher) publish(ctx context.Context, r railrevision.Revision, rowVersion int64) (int64, bool, error) {
	content := r.Encode()
	ref := revisionRef{Number: r.Number, Digest: railrevision.Digest(content)}
	if err := p.Objects.Write(ctx, objectPrefix+ref.Digest, content); err != nil {
		return 0, false, errors.Wrapf(err, "write revision %d", r.Number)
	}
	row, err := json.Marshal(ref)
	if err != nil {
		return 0, false, errors.Wrap(err, "encode the current revision")
	}
	newVersion, err := p.Table.Put(ctx, CurrentRowKey, row, rowVersion)
	switch {
	case errors.Is(err, railtable.ErrConflict), errors.Is(err, railtable.ErrUnknown):
		return 0, false, nil
	case err != nil:
		return 0, false, errors.Wrapf(err, "publish revision %d", r.Number)
	}
	p.lastError = ""
	if p.Revisions.Adopt(r) {
		p.Log.Info("revision published", "revision", r.Number, "held", len(r.Rejections()), "pending", len(r.Pending))
	}
	p.Revisions.Confirm(r.Number, 0)
	return newVersion, true, nil
}

// recordError logs an error once until another one occurs, and returns it.
func (p *Publisher) recordError(err error) error {
	if err.Error() != p.lastError {
		p.lastError = err.Error()
		p.Log.Error("configuration directory rejected; keeping the last revision", "err", err)
	}
	return err
}
