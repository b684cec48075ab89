package railrevision

import (
	"slices"

	"github.com/fulmarrail/fulmarrail/internal/config/railfile"
)

// Supersedes reports whether no part of this revision is older than the other one's: its view of the configuration directory, and the
// pins of the configured versions.
func (r Revision) Supersedes(other Revision) bool {
	if r.FolderStamp < other.FolderStamp {
		return false
	}
	for _, f := range r.Files {
		if earlier, ok := other.file(f.Name); ok && f.Stamp < earlier.Stamp {
			return false
		}
	}
	for service, version := range r.Pending {
		if other.Versions[service] == version {
			return false
		}
	}
	return true
}

// Merge returns the revision that supersedes two which were published under one number, or of which the store has lost one: of each file
// the content with the newer stamp, and the pins of both. If the merged files are invalid, those of the view with the newer stamp are
// taken. The result has the number after the higher one.
func (r Revision) Merge(other Revision) Revision {
	if other.FolderStamp > r.FolderStamp {
		r, other = other, r
	}
	merged := r
	merged.Number = max(r.Number, other.Number) + 1
	merged.Files = mergeFiles(r.Files, other, true)
	spec, err := mergedSpec(merged.Files)
	if err != nil {
		merged.Files, spec = mergeFiles(r.Files, other, false), r.spec
	}
	merged.spec = spec
	for _, service := range spec.Services() {
		if version := service.Version; r.Versions[service.Name] != version && other.Versions[service.Name] == version {
			merged = merged.WithPin(service.Name, version, other.Manifests[service.Name])
		}
	}
	return merged.withPendingVersions()
}

// mergeFiles returns files with the newer stamps of another revision and, if withContent is set, also with their content.
func mergeFiles(files []railfile.File, other Revision, withContent bool) []railfile.File {
	merged := slices.Clone(files)
	for i, f := range merged {
		newer, ok := other.file(f.Name)
		switch {
		case !ok || newer.Stamp <= f.Stamp:
		case withContent:
			merged[i] = newer
		default:
			merged[i].Stamp = newer.Stamp
		}
	}
	return merged
}
