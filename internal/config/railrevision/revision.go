package railrevision

import (
	"encoding/hex"
	"encoding/json"
	"maps"

	"github.com/cockroachdb/errors"
	"github.com/zeebo/blake3"

	"github.com/fulmarrail/fulmarrail/internal/config/railfile"
	"github.com/fulmarrail/fulmarrail/internal/config/railini"
	"github.com/fulmarrail/fulmarrail/internal/config/railspec"
)

// Revision is an accepted, immutable state of the operators' configuration directory.
type Revision struct {
	Number      uint64          `json:"number"`
	FolderStamp int64           `json:"folderStamp"`
	Files       []railfile.File `json:"files"`
	// Versions holds the pinned weights version by service.
	Versions map[string]string `json:"versions,omitempty"`
	// Manifests holds the manifest digest to which that version is pinned, by service.
	Manifests map[string]string `json:"manifests,omitempty"`
	// Pending holds the configured versions, by service, whose manifests could not be resolved yet.
	Pending map[string]string `json:"pending,omitempty"`

	spec railspec.Spec
}

// Decode decodes a revision. It returns an error for damaged or invalid content.
func Decode(content []byte) (Revision, error) {
	var r Revision
	if err := json.Unmarshal(content, &r); err != nil {
		return Revision{}, errors.Wrap(err, "decode revision")
	}
	spec, err := mergedSpec(r.Files)
	if err != nil {
		return Revision{}, errors.Wrap(err, "decode revision")
	}
	r.spec = spec
	return r, nil
}

// Encode returns the revision as JSON.
func (r Revision) Encode() []byte {
	content, err := json.Marshal(r)
	if err != nil {
		panic(errors.Wrap(err, "encode revision"))
	}
	return content
}

// Digest returns the BLAKE3 digest of an encoded revision, in hexadecimal.
func Digest(content []byte) string {
	sum := blake3.Sum256(content)
	return hex.EncodeToString(sum[:])
}

// Spec returns the validated configuration from the merged files.
func (r Revision) Spec() railspec.Spec {
	return r.spec
}

// Text returns the merged files as canonical INI.
func (r Revision) Text() string {
	doc, err := mergedDocument(r.Files)
	if err != nil {
		return "" // Unreachable: the files of a revision have been parsed before.
	}
	return doc.Text()
}

// Rejections returns the errors of rejected files by file name.
func (r Revision) Rejections() map[string]string {
	reasons := map[string]string{}
	for _, f := range r.Files {
		if f.RejectReason != "" {
			reasons[f.Name] = f.RejectReason
		}
	}
	return reasons
}

// ZoneOut reports whether the revision takes the zone out of service; an unknown zone is in service.
func (r Revision) ZoneOut(zone string) bool {
	z, ok := r.spec.Zone(zone)
	return ok && z.IsOut()
}

// WithPin returns a copy of the revision with a service's version pinned to a manifest digest.
func (r Revision) WithPin(service, version, manifest string) Revision {
	r.Versions = withKey(r.Versions, service, version)
	r.Manifests = withKey(r.Manifests, service, manifest)
	r.Pending = withoutKey(r.Pending, service)
	return r
}

func (r Revision) file(name string) (railfile.File, bool) {
	for _, f := range r.Files {
		if f.Name == name {
			return f, true
		}
	}
	return railfile.File{}, false
}

func mergedSpec(files []railfile.File) (railspec.Spec, error) {
	doc, err := mergedDocument(files)
	if err != nil {
		return railspec.Spec{}, err
	}
	return railspec.New(doc)
}

func mergedDocument(files []railfile.File) (railini.Document, error) {
	var merged railini.Document
	for _, f := range files {
		doc, err := railini.Parse(f.Name, []byte(f.Content))
		if err != nil {
			return railini.Document{}, err
		}
		merged = merged.WithOverlay(doc)
	}
	return merged, nil
}

func withKey(m map[string]string, key, value string) map[string]string {
	c := maps.Clone(m)
	if c == nil {
		c = map[string]string{}
	}
	c[key] = value
	return c
}

func withoutKey(m map[string]string, key string) map[string]string {
	c := maps.Clone(m)
	delete(c, key)
	return c
}
