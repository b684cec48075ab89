package railpublisher

import (
	"context"
	"encoding/json"
	"log/slog"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/config/railfolder"
	"github.com/fulmarrail/fulmarrail/internal/config/railkeeper"
	"github.com/fulmarrail/fulmarrail/internal/config/railrevision"
	"github.com/fulmarrail/fulmarrail/internal/store/railobjects"
	"github.com/fulmarrail/fulmarrail/internal/store/railtable"
)

const (
	currentRow   = "config/current"
	objectPrefix = "revision-"
)

// Publisher follows and publishes revisions; its fields are set before its first use.
type Publisher struct {
	Table     railtable.Table
	Objects   railobjects.Objects
	Revisions *railkeeper.Cache
	// ReadFolder returns a view of the operators' folder.
	ReadFolder func() (railfolder.Folder, error)
	// ResolveVersion returns the digest of the manifest that a version's name points to now.
	ResolveVersion func(ctx context.Context, version string) (string, error)
	Log            *slog.Logger

	lastFault string
}

type pointer struct {
	Number uint64 `json:"number"`
	Digest string `json:"digest"`
}

// Pull adopts the platform's current revision and returns its row's version, or an error.
func (p *Publisher) Pull(ctx context.Context) (int64, error) {
	value, version, err := p.Table.Get(ctx, currentRow)
	if err != nil {
		return 0, errors.Wrap(err, "read the current revision")
	}
	if version == 0 {
		return 0, nil
	}
	var at pointer
	if err := json.Unmarshal(value, &at); err != nil {
		return 0, errors.Wrapf(err, "decode the row %s", currentRow)
	}
	if at.Number > p.Revisions.Number() {
		if err := p.fetch(ctx, at); err != nil {
			return 0, err
		}
	}
	p.Revisions.Confirm(at.Number, 0)
	return version, nil
}

// Sync follows the platform and publishes the folder's state when it is a new one.
func (p *Publisher) Sync(ctx context.Context) error {
	version, err := p.Pull(ctx)
	if err != nil {
		return err
	}
	folder, err := p.ReadFolder()
	if err != nil {
		return p.fault(err)
	}
	current, _ := p.Revisions.Current()
	next, changed, err := current.Next(folder)
	if errors.Is(err, railrevision.ErrStale) {
		return nil
	}
	if err != nil {
		return p.fault(err)
	}
	next, resolved := p.resolve(ctx, next)
	if !changed && !resolved {
		return nil
	}
	next.Number = current.Number + 1
	return p.publish(ctx, next, version)
}

// LastError returns the reason for which the folder's state is refused, or an empty string.
func (p *Publisher) LastError() string {
	return p.lastFault
}

func (p *Publisher) fetch(ctx context.Context, at pointer) error {
	content, err := p.Objects.Read(ctx, objectPrefix+at.Digest)
	if err != nil {
		return errors.Wrapf(err, "read revision %d", at.Number)
	}
	if railrevision.Digest(content) != at.Digest {
		return errors.Newf("revision %d: the object's content does not have the digest %s", at.Number, at.Digest)
	}
	r, err := railrevision.Decode(content)
	if err != nil {
		return err
	}
	p.Revisions.Adopt(r)
	return nil
}

// resolve pins the pending versions whose manifests can be had now and reports whether it pinned any.
func (p *Publisher) resolve(ctx context.Context, r railrevision.Revision) (railrevision.Revision, bool) {
	pinned := false
	for service, version := range r.Pending {
		manifest, err := p.ResolveVersion(ctx, version)
		if err != nil {
			p.Log.Warn("version waits for its manifest", "service", service, "version", version, "err", err)
			continue
		}
		r = r.WithPin(service, version, manifest)
		pinned = true
	}
	return r, pinned
}

func (p *Publisher) publish(ctx context.Context, r railrevision.Revision, version int64) error {
	content := r.Encode()
	at := pointer{Number: r.Number, Digest: railrevision.Digest(content)}
	if err := p.Objects.Write(ctx, objectPrefix+at.Digest, content); err != nil {
		return errors.Wrapf(err, "write revision %d", r.Number)
	}
	row, err := json.Marshal(at)
	if err != nil {
		return errors.Wrap(err, "encode the current revision")
	}
	_, err = p.Table.Put(ctx, currentRow, row, version)
	switch {
	case errors.Is(err, railtable.ErrConflict), errors.Is(err, railtable.ErrUnknown):
		// Another publisher was first, or the answer was lost: what the row says now is what holds.
		_, err = p.Pull(ctx)
		return err
	case err != nil:
		return errors.Wrapf(err, "publish revision %d", r.Number)
	}
	p.lastFault = ""
	if p.Revisions.Adopt(r) {
		p.Log.Info("revision published", "revision", r.Number, "held", len(r.Rejections()), "pending", len(r.Pending))
	}
	p.Revisions.Confirm(r.Number, 0)
	return nil
}

func (p *Publisher) fault(err error) error {
	if err.Error() != p.lastFault {
		p.lastFault = err.Error()
		p.Log.Error("folder refused, the last revision stays", "err", err)
	}
	return err
}
