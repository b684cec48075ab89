package railrevision

import (
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/config/railfile"
	"github.com/fulmarrail/fulmarrail/internal/config/railfolder"
	"github.com/fulmarrail/fulmarrail/internal/config/railini"
	"github.com/fulmarrail/fulmarrail/internal/config/railspec"
)

// ErrStale is returned if a view of the configuration directory is older than the revision in force.
var ErrStale = errors.New("view of the configuration directory is older than the revision in force")

// Next returns the revision that follows from a view of the configuration directory, and whether it differs from this one.
//
// An invalid file is rejected and keeps its last accepted content, so that it does not block changes of the other files. If the
// merged files are invalid, Next returns an error and this revision. For an outdated view it returns ErrStale.
func (r Revision) Next(folder railfolder.Folder) (Revision, bool, error) {
	if r.newerThan(folder) {
		return r, false, ErrStale
	}
	next := r
	next.Number++
	next.FolderStamp = folder.Stamp
	next.Files = r.acceptFiles(folder)
	spec, err := mergedSpec(next.Files)
	if err != nil {
		return r, false, err
	}
	next.spec = spec
	next = next.withPendingVersions()
	if r.Number > 0 && sameContent(r.Files, next.Files) {
		return r, false, nil
	}
	return next, true, nil
}

// DiffersFrom reports whether a view of the configuration directory has other files or stamps than this revision.
func (r Revision) DiffersFrom(folder railfolder.Folder) bool {
	if len(r.Files) != len(folder.Files) {
		return true
	}
	return slices.ContainsFunc(r.Files, func(f railfile.File) bool { return folder.Files[f.Name].Stamp != f.Stamp })
}

// newerThan reports whether any part of the view is older than the one from which this revision was made.
func (r Revision) newerThan(folder railfolder.Folder) bool {
	if folder.Stamp < r.FolderStamp {
		return true
	}
	for _, accepted := range r.Files {
		if file, ok := folder.Files[accepted.Name]; ok && file.Stamp < accepted.Stamp {
			return true
		}
	}
	return false
}

// acceptFiles returns the files of a view. An invalid file has its last accepted content, or none if it was never accepted.
func (r Revision) acceptFiles(folder railfolder.Folder) []railfile.File {
	files := make([]railfile.File, 0, len(folder.Files))
	for _, name := range folder.Names() {
		file := folder.Files[name]
		if err := checkFile(file); err != nil {
			last, _ := r.file(name)
			file = file.WithRejection(last.Content, err.Error())
		}
		files = append(files, file)
	}
	return files
}

// withPendingVersions marks each engine service whose configured version is not pinned as pending, and drops the pins of services
// that were removed.
func (r Revision) withPendingVersions() Revision {
	r.Pending = nil
	versions, manifests := r.Versions, r.Manifests
	r.Versions, r.Manifests = nil, nil
	for _, service := range r.spec.Services() {
		if !service.IsEngine() {
			continue
		}
		pinned, ok := versions[service.Name]
		if ok {
			r.Versions = withKey(r.Versions, service.Name, pinned)
			r.Manifests = withKey(r.Manifests, service.Name, manifests[service.Name])
		}
		if pinned != service.Version {
			r.Pending = withKey(r.Pending, service.Name, service.Version)
		}
	}
	return r
}

func checkFile(file railfile.File) error {
	doc, err := railini.Parse(file.Name, []byte(file.Content))
	if err != nil {
		return err
	}
	return railspec.CheckFile(doc)
}

func sameContent(a, b []railfile.File) bool {
	return slices.EqualFunc(a, b, func(x, y railfile.File) bool {
		return x.Name == y.Name && x.Content == y.Content && x.RejectReason == y.RejectReason
	})
}
