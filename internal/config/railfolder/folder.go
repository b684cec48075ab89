package railfolder

import (
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/config/railfile"
)

const (
	fileSuffix   = ".ini"
	maxFileBytes = 256 << 10
	maxFiles     = 1000
	readAttempts = 5
)

// Folder is a consistent view of the operators' configuration directory.
type Folder struct {
	// Stamp is the change time of the directory in nanoseconds; it increases when a file is added, renamed or removed.
	Stamp int64
	// Files holds the files by name.
	Files map[string]railfile.File
}

// Read reads a directory. It returns an error if a file can't be read or is too large, if there are no files or too many, or if the
// directory keeps changing during every attempt.
func Read(directory string) (Folder, error) {
	for range readAttempts {
		folder, err := readOnce(directory)
		if err != nil {
			return Folder{}, err
		}
		after, err := changeStamp(directory)
		if err != nil {
			return Folder{}, errors.Wrap(err, "read configuration directory")
		}
		if after == folder.Stamp {
			return folder, nil
		}
	}
	return Folder{}, errors.Newf("%s: directory kept changing while it was read; it will be read again", directory)
}

// Names returns the sorted file names, which is the order in which the files are merged.
func (f Folder) Names() []string {
	return slices.Sorted(maps.Keys(f.Files))
}

// WithFile returns a copy of the folder with one file added or replaced.
func (f Folder) WithFile(file railfile.File) Folder {
	files := maps.Clone(f.Files)
	if files == nil {
		files = map[string]railfile.File{}
	}
	files[file.Name] = file
	f.Files = files
	return f
}

// WithoutFile returns a copy of the folder with one file removed and the given directory stamp.
func (f Folder) WithoutFile(name string, stamp int64) Folder {
	files := maps.Clone(f.Files)
	delete(files, name)
	f.Files = files
	f.Stamp = stamp
	return f
}

func readOnce(directory string) (Folder, error) {
	before, err := changeStamp(directory)
	if err != nil {
		return Folder{}, errors.Wrap(err, "read configuration directory")
	}
	entries, err := os.ReadDir(directory)
	if err != nil {
		return Folder{}, errors.Wrap(err, "read configuration directory")
	}
	folder := Folder{Stamp: before, Files: map[string]railfile.File{}}
	for _, e := range entries {
		if e.IsDir() || !strings.HasSuffix(e.Name(), fileSuffix) || strings.HasPrefix(e.Name(), ".") {
			continue
		}
		file, err := readFile(directory, e.Name())
		if err != nil {
			return Folder{}, err
		}
		folder.Files[file.Name] = file
	}
	switch {
	case len(folder.Files) == 0:
		return Folder{}, errors.Newf("%s: directory holds no *%s file; add one or specify another directory", directory, fileSuffix)
	case len(folder.Files) > maxFiles:
		return Folder{}, errors.Newf("%s: directory has %d files; the maximum is %d", directory, len(folder.Files), maxFiles)
	}
	return folder, nil
}

func readFile(directory, name string) (railfile.File, error) {
	path := filepath.Join(directory, name)
	stamp, err := changeStamp(path)
	if err != nil {
		return railfile.File{}, errors.Wrapf(err, "read %s", name)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return railfile.File{}, errors.Wrapf(err, "read %s", name)
	}
	if len(data) > maxFileBytes {
		return railfile.File{}, errors.Newf("%s: %d bytes; the maximum is %d; split the file", name, len(data), maxFileBytes)
	}
	return railfile.File{Name: name, Stamp: stamp, Content: string(data)}, nil
}

// changeStamp returns the inode change time. Unlike the modification time it also increases when a file is restored with its old
// modification time.
func changeStamp(path string) (int64, error) {
	info, err := os.Stat(path)
	if err != nil {
		return 0, err
	}
	if sys, ok := info.Sys().(*syscall.Stat_t); ok {
		return sys.Ctim.Nano(), nil
	}
	return info.ModTime().UnixNano(), nil
}
