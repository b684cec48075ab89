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

// Folder is what the operators' folder held at one moment.
type Folder struct {
	// Stamp grows whenever a file is added, renamed or removed.
	Stamp int64
	// Files holds the files by name.
	Files map[string]railfile.File
}

// Read returns the folder in a directory, or an error when it can't be read whole or holds no file.
func Read(directory string) (Folder, error) {
	for range readAttempts {
		folder, err := readOnce(directory)
		if err != nil {
			return Folder{}, err
		}
		after, err := changeStamp(directory)
		if err != nil {
			return Folder{}, errors.Wrap(err, "read the folder")
		}
		if after == folder.Stamp {
			return folder, nil
		}
	}
	return Folder{}, errors.Newf("%s: the folder kept changing while it was read; the next attempt follows by itself", directory)
}

// Names returns the files' names in the order in which they are merged.
func (f Folder) Names() []string {
	return slices.Sorted(maps.Keys(f.Files))
}

// WithFile returns the folder with one file added or replaced.
func (f Folder) WithFile(file railfile.File) Folder {
	files := maps.Clone(f.Files)
	if files == nil {
		files = map[string]railfile.File{}
	}
	files[file.Name] = file
	f.Files = files
	return f
}

// WithoutFile returns the folder with one file removed at the given stamp.
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
		return Folder{}, errors.Wrap(err, "read the folder")
	}
	entries, err := os.ReadDir(directory)
	if err != nil {
		return Folder{}, errors.Wrap(err, "read the folder")
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
		return Folder{}, errors.Newf("%s: the folder holds no *%s file; add one, or set directory to the folder that is meant", directory, fileSuffix)
	case len(folder.Files) > maxFiles:
		return Folder{}, errors.Newf("%s: the folder holds %d files, more than %d", directory, len(folder.Files), maxFiles)
	}
	return folder, nil
}

func readFile(directory, name string) (railfile.File, error) {
	path := filepath.Join(directory, name)
	s, err := changeStamp(path)
	if err != nil {
		return railfile.File{}, errors.Wrapf(err, "read %s", name)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return railfile.File{}, errors.Wrapf(err, "read %s", name)
	}
	if len(data) > maxFileBytes {
		return railfile.File{}, errors.Newf("%s: %d bytes, more than %d; split the file", name, len(data), maxFileBytes)
	}
	return railfile.File{Name: name, Stamp: s, Content: string(data)}, nil
}

// stamp returns the change time, which grows also when a file is restored with its old modification time.
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
