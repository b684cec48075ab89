package railrevision

import (
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/config/raildocument"
	"github.com/fulmarrail/fulmarrail/internal/config/railfile"
	"github.com/fulmarrail/fulmarrail/internal/config/railfolder"
	"github.com/fulmarrail/fulmarrail/internal/config/railspec"
)

// ErrStale means that a view of the folder is older than the revision in force.
var ErrStale = errors.New("the view of the folder is older than the revision in force")

// Next returns the revision that follows from a view of the folder and whether it differs from this one.
//
// A broken file is held at its last accepted content, so that it does not hold up the other files. A fault that
// only the merged whole shows is an error, and this revision stays.
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

// DiffersFrom reports whether a view of the folder has other files or stamps than the revision was made from.
func (r Revision) DiffersFrom(folder railfolder.Folder) bool {
	if len(r.Files) != len(folder.Files) {
		return true
	}
	return slices.ContainsFunc(r.Files, func(f railfile.File) bool { return folder.Files[f.Name].Stamp != f.Stamp })
}

// stale reports whether any part of the view is older than what this revision was made from.
func (r Revision) newerThan(folder railfolder.Folder) bool {
	if folder.Stamp < r.FolderStamp {
		return true
	}
	for _, known := range r.Files {
		if seen, ok := folder.Files[known.Name]; ok && seen.Stamp < known.Stamp {
			return true
		}
	}
	return false
}

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

// withVersions marks each service whose version is not the pinned one as pending and drops services that have gone.
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
	doc, err := raildocument.Parse(file.Name, []byte(file.Content))
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
