// Package disk is the file system as the durable state uses it. Tests put a file system in its
// place that refuses calls or loses what was not synced.
package disk

import (
	"io"
	"os"
	"path/filepath"
)

// File is an open file.
type File interface {
	io.ReadWriteSeeker
	io.ReaderAt
	io.WriterAt
	io.Closer
	// Truncate changes the size.
	Truncate(size int64) error
	// Sync makes the contents, and the name of a new file, durable.
	Sync() error
}

// FS is a file system. Its errors are those of package os.
type FS interface {
	// OpenFile opens a file like os.OpenFile.
	OpenFile(path string, flag int, perm os.FileMode) (File, error)
	// ReadFile returns the contents of a file.
	ReadFile(path string) ([]byte, error)
	// List returns the sorted names in a folder.
	List(path string) ([]string, error)
	// MkdirAll creates a folder and its parents if they are missing.
	MkdirAll(path string) error
	// Rename renames a file or folder, and replaces a file of the new name.
	Rename(from, to string) error
	// Remove removes a file.
	Remove(path string) error
	// SyncFolder makes the names in a folder durable.
	SyncFolder(path string) error
}

// Folder is a folder of a file system.
type Folder struct {
	FS
	Path string
}

// Join returns the path of a name in the folder.
func (f Folder) Join(name string) string { return filepath.Join(f.Path, name) }

// Folder returns a folder in this folder.
func (f Folder) Folder(name string) Folder { return Folder{f.FS, f.Join(name)} }

// Names returns the sorted names in the folder.
func (f Folder) Names() ([]string, error) { return f.List(f.Path) }

// Create creates the folder and its parents if they are missing.
func (f Folder) Create() error { return f.MkdirAll(f.Path) }

// Sync makes the names in the folder durable.
func (f Folder) Sync() error { return f.SyncFolder(f.Path) }

// ReplaceFile atomically replaces a file of the folder by a synced one. After a loss of power
// during the call the file has its old contents or the new ones. After an error nothing is left of
// a new file that did not take its place, if the disk allows.
func (f Folder) ReplaceFile(name string, data []byte) error {
	tmp := f.Join(name + ".new")
	w, err := f.OpenFile(tmp, os.O_RDWR|os.O_CREATE|os.O_TRUNC, filePerm)
	if err != nil {
		return err
	}
	if _, err = w.Write(data); err == nil {
		err = w.Sync()
	}
	if cerr := w.Close(); err == nil {
		err = cerr
	}
	if err == nil {
		err = f.Rename(tmp, f.Join(name))
	}
	if err != nil {
		// On a full disk the partial file would take the last free bytes from other writes.
		_ = f.Remove(tmp)
		return err
	}
	return f.Sync()
}

const (
	filePerm   = 0o644
	folderPerm = 0o755
)

// OS is the file system of the operating system.
type OS struct{}

// OpenFile implements FS.
func (OS) OpenFile(path string, flag int, perm os.FileMode) (File, error) {
	f, err := os.OpenFile(path, flag, perm)
	if err != nil {
		return nil, err
	}
	return f, nil
}

// ReadFile implements FS.
func (OS) ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }

// List implements FS.
func (OS) List(path string) ([]string, error) {
	items, err := os.ReadDir(path)
	if err != nil {
		return nil, err
	}
	names := make([]string, len(items))
	for i, it := range items {
		names[i] = it.Name()
	}
	return names, nil
}

// MkdirAll implements FS.
func (OS) MkdirAll(path string) error { return os.MkdirAll(path, folderPerm) }

// Rename implements FS.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FS.
func (OS) Remove(path string) error { return os.Remove(path) }

// SyncFolder implements FS.
func (OS) SyncFolder(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = d.Close() }()
	return d.Sync()
}
