package railini

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"
)

type entry struct {
	value string
	file  string
	line  int
}

type section struct {
	file string
	line int
	keys map[string]entry
}

// Document is an immutable set of INI sections merged from one or more files.
type Document struct {
	sections map[string]section
}

// Parse parses one file. It returns an error that names the file and, if known, the line.
func Parse(file string, data []byte) (Document, error) {
	doc, err := indexLines(file, data)
	if err != nil {
		return Document{}, err
	}
	parsed, err := ini.LoadSources(ini.LoadOptions{IgnoreContinuation: true, SkipUnrecognizableLines: true}, data)
	if err != nil {
		return Document{}, errors.Newf("%s: %v", file, err)
	}
	for name, s := range doc.sections {
		for key, e := range s.keys {
			e.value = parsed.Section(name).Key(key).String()
			s.keys[key] = e
		}
	}
	return doc, nil
}

// WithOverlay returns the document merged with another one, whose keys take precedence.
func (d Document) WithOverlay(other Document) Document {
	merged := make(map[string]section, len(d.sections)+len(other.sections))
	maps.Copy(merged, d.sections)
	for name, overlay := range other.sections {
		base, ok := merged[name]
		if !ok {
			merged[name] = overlay
			continue
		}
		keys := maps.Clone(base.keys)
		maps.Copy(keys, overlay.keys)
		merged[name] = section{file: base.file, line: base.line, keys: keys}
	}
	return Document{sections: merged}
}

// WithValue returns a copy of the document with one key set, for example by a command-line flag. Origin names the source of the
// value in positions.
func (d Document) WithValue(origin, sectionName, key, value string) Document {
	keys := map[string]entry{key: {value: value, file: origin}}
	return d.WithOverlay(Document{sections: map[string]section{sectionName: {file: origin, keys: keys}}})
}

// Sections returns the sorted names of the sections.
func (d Document) Sections() []string {
	return slices.Sorted(maps.Keys(d.sections))
}

// Keys returns the sorted names of a section's keys.
func (d Document) Keys(sectionName string) []string {
	return slices.Sorted(maps.Keys(d.sections[sectionName].keys))
}

// Value returns a key's value and whether it is set.
func (d Document) Value(sectionName, key string) (string, bool) {
	e, ok := d.sections[sectionName].keys[key]
	return e.value, ok
}

// Position returns the position of a key as "file:line: [section] key". If the key is not set, file and line are those of its
// section; if it is empty, the position is that of the section.
func (d Document) Position(sectionName, key string) string {
	s := d.sections[sectionName]
	if e, ok := s.keys[key]; ok {
		return formatPosition(e.file, e.line, sectionName) + " " + key
	}
	if key == "" {
		return formatPosition(s.file, s.line, sectionName)
	}
	return formatPosition(s.file, s.line, sectionName) + " " + key
}

// Text returns the document as canonical INI with sorted sections and keys.
func (d Document) Text() string {
	var b strings.Builder
	for i, name := range d.Sections() {
		if i > 0 {
			b.WriteByte('\n')
		}
		fmt.Fprintf(&b, "[%s]\n", name)
		for _, key := range d.Keys(name) {
			value, _ := d.Value(name, key)
			fmt.Fprintf(&b, "%s = %s\n", key, value)
		}
	}
	return b.String()
}

func formatPosition(file string, line int, sectionName string) string {
	if line == 0 {
		return fmt.Sprintf("%s: [%s]", file, sectionName)
	}
	return fmt.Sprintf("%s:%d: [%s]", file, line, sectionName)
}

// indexLines records the line of each section and key, which the INI library does not report.
func indexLines(file string, data []byte) (Document, error) {
	doc := Document{sections: map[string]section{}}
	currentSection := ""
	for i, rawLine := range strings.Split(string(data), "\n") {
		line := strings.TrimSpace(rawLine)
		lineNumber := i + 1
		switch {
		case line == "" || line[0] == '#' || line[0] == ';':
		case line[0] == '[':
			name, err := sectionName(line)
			if err != nil {
				return Document{}, errors.Newf("%s:%d: %v", file, lineNumber, err)
			}
			if earlier, ok := doc.sections[name]; ok {
				return Document{}, errors.Newf("%s:%d: [%s] stands already in line %d; merge the two sections", file, lineNumber, name, earlier.line)
			}
			currentSection = name
			doc.sections[name] = section{file: file, line: lineNumber, keys: map[string]entry{}}
		default:
			key, _, found := strings.Cut(line, "=")
			key = strings.TrimSpace(key)
			if !found || key == "" {
				return Document{}, errors.Newf("%s:%d: %q is not a line of the form key = value", file, lineNumber, line)
			}
			if currentSection == "" {
				return Document{}, errors.Newf("%s:%d: %s stands before the first [section]", file, lineNumber, key)
			}
			keys := doc.sections[currentSection].keys
			if earlier, ok := keys[key]; ok {
				return Document{}, errors.Newf("%s:%d: [%s] %s is set already in line %d; keep one of the two", file, lineNumber, currentSection, key, earlier.line)
			}
			keys[key] = entry{file: file, line: lineNumber}
		}
	}
	return doc, nil
}

func sectionName(line string) (string, error) {
	end := strings.IndexByte(line, ']')
	if end < 0 {
		return "", errors.Newf("%q has no closing bracket", line)
	}
	name := strings.Join(strings.Fields(line[1:end]), " ")
	if name == "" || name != strings.TrimSpace(line[1:end]) {
		return "", errors.Newf("%q is not a section name of the form [kind name]", line)
	}
	return name, nil
}
