// Package disktest simulates a disk that keeps only what was synced when it loses power, and
// that can refuse calls. Only tests use it.
package disktest

import (
	"errors"
	"io"
	"maps"
	"math/rand/v2"
	"os"
	"path"
	"slices"
	"strings"
	"sync"

	"github.com/umberthread/umberthread/internal/disk"
)

// ErrStopped is returned by all calls after the process was stopped.
var ErrStopped = errors.New("the process was stopped")

// Call is a call to the disk.
type Call struct {
	// Name is the name of the method, such as "Rename", "Write" or "Sync".
	Name string
	// Path is the file or folder; for a rename, its old name.
	Path string
}

// changes reports whether the call changes the disk or makes changes durable.
func (c Call) changes() bool { return c.Name != "Read" && c.Name != "List" }

// Disk is a simulated disk.
type Disk struct {
	mu   sync.Mutex
	root *node
	// refuse, if not nil, returns the error of a call, nil if the disk accepts it.
	refuse func(Call) error
	// changes counts the calls that changed the disk; the one after stopAt fails, if stopAt
	// is not negative.
	changes, stopAt int
}

// node is a file or folder: its current contents, those that a loss of power keeps, and the
// changes since, each of which a loss of power may keep.
type node struct {
	isFolder bool

	data, durableData []byte
	writes            []write

	names, durableNames map[string]*node
	nameChanges         []*nameChange
	// creation is the change that created the name, nil once it is durable.
	creation *nameChange
	parent   *node
}

// write is a write to a file, or a change of its size if data is nil.
type write struct {
	at   int64
	data []byte
}

// nameChange removes a name, adds one, or does both at once. Empty names stand for none.
type nameChange struct {
	removed, added string
	node           *node
}

// New returns an empty disk.
func New() *Disk { return &Disk{root: newFolder(), stopAt: -1} }

func newFolder() *node {
	return &node{isFolder: true, names: map[string]*node{}, durableNames: map[string]*node{}}
}

// Folder returns a folder of the disk.
func (d *Disk) Folder(path string) disk.Folder { return disk.Folder{FS: d, Path: path} }

// Refuse sets a function that returns the error of a call, nil if the disk accepts it.
func (d *Disk) Refuse(refuse func(Call) error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refuse = refuse
}

// Changes returns the number of calls that changed the disk or synced it.
func (d *Disk) Changes() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changes
}

// StopAfter makes all calls fail after n further changes, as if the process ended there.
func (d *Disk) StopAfter(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopAt = d.changes + n
}

// Resume ends the effect of StopAfter: the next process starts, and nothing was lost.
func (d *Disk) Resume() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopAt = -1
}

// accept returns the error of a call, if any, and counts it otherwise.
func (d *Disk) accept(name, path string) error {
	c := Call{name, path}
	if d.stopAt >= 0 && d.changes >= d.stopAt {
		return ErrStopped
	}
	if d.refuse != nil {
		if err := d.refuse(c); err != nil {
			return &os.PathError{Op: strings.ToLower(name), Path: path, Err: err}
		}
	}
	if c.changes() {
		d.changes++
	}
	return nil
}

// find returns the file or folder at a path, or nil.
func (d *Disk) find(p string) *node {
	n := d.root
	for _, name := range split(p) {
		if n == nil || !n.isFolder {
			return nil
		}
		n = n.names[name]
	}
	return n
}

// split returns the names of a path.
func split(p string) []string {
	return strings.FieldsFunc(path.Clean(p), func(r rune) bool { return r == '/' })
}

// notExist returns the error for a path without a file.
func notExist(op, p string) error { return &os.PathError{Op: op, Path: p, Err: os.ErrNotExist} }

// change applies a change of names to a folder.
func (n *node) change(c *nameChange) {
	applyNames(n.names, c)
	n.nameChanges = append(n.nameChanges, c)
}

// applyNames applies a change to the names of a folder.
func applyNames(names map[string]*node, c *nameChange) {
	if c.removed != "" && names[c.removed] == c.node {
		delete(names, c.removed)
	}
	if c.added != "" {
		names[c.added] = c.node
	}
}

// create adds a new file or folder.
func (n *node) create(name string, child *node) *node {
	child.parent = n
	child.creation = &nameChange{added: name, node: child}
	n.change(child.creation)
	return child
}

// MkdirAll implements disk.FS.
func (d *Disk) MkdirAll(p string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := d.root
	for _, name := range split(p) {
		next := n.names[name]
		if next == nil {
			if err := d.accept("MkdirAll", p); err != nil {
				return err
			}
			next = n.create(name, newFolder())
		}
		n = next
	}
	return nil
}

// OpenFile implements disk.FS.
func (d *Disk) OpenFile(p string, flag int, _ os.FileMode) (disk.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if n := d.find(p); n != nil && flag&os.O_TRUNC == 0 {
		if err := d.accept("Read", p); err != nil {
			return nil, err
		}
		return &file{disk: d, node: n, path: p}, nil
	}
	if err := d.accept("OpenFile", p); err != nil {
		return nil, err
	}
	n := d.find(p)
	switch parent := d.find(path.Dir(p)); {
	case n != nil:
		n.write(write{0, nil})
	case parent == nil || flag&os.O_CREATE == 0:
		return nil, notExist("open", p)
	default:
		n = parent.create(path.Base(p), &node{})
	}
	return &file{disk: d, node: n, path: p}, nil
}

// ReadFile implements disk.FS.
func (d *Disk) ReadFile(p string) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.accept("Read", p); err != nil {
		return nil, err
	}
	n := d.find(p)
	if n == nil || n.isFolder {
		return nil, notExist("open", p)
	}
	return slices.Clone(n.data), nil
}

// List implements disk.FS.
func (d *Disk) List(p string) ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.accept("List", p); err != nil {
		return nil, err
	}
	n := d.find(p)
	if n == nil || !n.isFolder {
		return nil, notExist("open", p)
	}
	return slices.Sorted(maps.Keys(n.names)), nil
}

// Rename implements disk.FS. Between two folders, a loss of power may keep the old and the new
// name, or neither.
func (d *Disk) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.accept("Rename", from); err != nil {
		return err
	}
	n, source, target := d.find(from), d.find(path.Dir(from)), d.find(path.Dir(to))
	switch {
	case n == nil || target == nil:
		return notExist("rename", from)
	case source == target:
		source.change(&nameChange{path.Base(from), path.Base(to), n})
	default:
		source.change(&nameChange{path.Base(from), "", n})
		target.change(&nameChange{"", path.Base(to), n})
	}
	return nil
}

// Remove implements disk.FS for files.
func (d *Disk) Remove(p string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.accept("Remove", p); err != nil {
		return err
	}
	n := d.find(p)
	if n == nil || n.isFolder {
		return notExist("remove", p)
	}
	d.find(path.Dir(p)).change(&nameChange{removed: path.Base(p), node: n})
	return nil
}

// SyncFolder implements disk.FS.
func (d *Disk) SyncFolder(p string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.accept("SyncFolder", p); err != nil {
		return err
	}
	n := d.find(p)
	if n == nil {
		return notExist("open", p)
	}
	n.durableNames, n.nameChanges = maps.Clone(n.names), nil
	return nil
}

// write applies a write to a file.
func (n *node) write(w write) {
	n.data = applyWrite(n.data, w)
	n.writes = append(n.writes, w)
}

// applyWrite returns the contents of a file after a write. A gap is filled with zeros.
func applyWrite(data []byte, w write) []byte {
	if w.data == nil {
		data = slices.Clone(data[:min(int64(len(data)), w.at)])
		return append(data, make([]byte, w.at-int64(len(data)))...)
	}
	size := max(int64(len(data)), w.at+int64(len(w.data)))
	out := make([]byte, size)
	copy(out, data)
	copy(out[w.at:], w.data)
	return out
}

// sync makes the contents of a file durable, and its name if it is new.
func (n *node) sync() {
	n.durableData, n.writes = slices.Clone(n.data), nil
	if c := n.creation; c != nil && slices.Contains(n.parent.nameChanges, c) {
		applyNames(n.parent.durableNames, c)
		n.parent.nameChanges = slices.DeleteFunc(n.parent.nameChanges, func(o *nameChange) bool { return o == c })
	}
	n.creation = nil
}

// file is an open file.
type file struct {
	disk *Disk
	node *node
	path string
	at   int64
}

// Read implements disk.File.
func (f *file) Read(b []byte) (int, error) {
	n, err := f.ReadAt(b, f.at)
	f.at += int64(n)
	if n > 0 {
		err = nil
	}
	return n, err
}

// ReadAt implements disk.File.
func (f *file) ReadAt(b []byte, at int64) (int, error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if err := f.disk.accept("Read", f.path); err != nil {
		return 0, err
	}
	if at >= int64(len(f.node.data)) {
		return 0, io.EOF
	}
	n := copy(b, f.node.data[at:])
	if n < len(b) {
		return n, io.EOF
	}
	return n, nil
}

// Write implements disk.File.
func (f *file) Write(b []byte) (int, error) {
	n, err := f.WriteAt(b, f.at)
	f.at += int64(n)
	return n, err
}

// WriteAt implements disk.File.
func (f *file) WriteAt(b []byte, at int64) (int, error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if err := f.disk.accept("Write", f.path); err != nil {
		return 0, err
	}
	f.node.write(write{at, append([]byte{}, b...)})
	return len(b), nil
}

// Seek implements disk.File for the start and the current position.
func (f *file) Seek(offset int64, whence int) (int64, error) {
	switch whence {
	case io.SeekStart:
		f.at = offset
	case io.SeekCurrent:
		f.at += offset
	default:
		return f.at, errors.ErrUnsupported
	}
	return f.at, nil
}

// Truncate implements disk.File.
func (f *file) Truncate(size int64) error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if err := f.disk.accept("Truncate", f.path); err != nil {
		return err
	}
	f.node.write(write{size, nil})
	return nil
}

// Sync implements disk.File.
func (f *file) Sync() error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if err := f.disk.accept("Sync", f.path); err != nil {
		return err
	}
	f.node.sync()
	return nil
}

// Close implements disk.File.
func (f *file) Close() error { return nil }

// loss decides what a loss of power keeps.
type loss struct {
	rand *rand.Rand
	// keepData and keepNames are the shares of the unsynced writes and names that are kept.
	keepData, keepNames float64
}

// PowerLoss returns the disk after a loss of power. Of all that was not synced, each write is
// present, missing or torn, and each name is kept or lost; in some losses all are.
func (d *Disk) PowerLoss(r *rand.Rand) *Disk {
	d.mu.Lock()
	defer d.mu.Unlock()
	shares := []float64{0, 0.3, 0.5, 0.7, 1}
	l := loss{r, shares[r.IntN(len(shares))], shares[r.IntN(len(shares))]}
	return &Disk{root: l.apply(d.root), stopAt: -1}
}

// LoseUnsynced returns the disk after a loss of power that keeps nothing that was not synced.
func (d *Disk) LoseUnsynced() *Disk {
	d.mu.Lock()
	defer d.mu.Unlock()
	return &Disk{root: loss{rand: rand.New(rand.NewPCG(0, 0))}.apply(d.root), stopAt: -1}
}

// apply returns a file or folder as the loss leaves it.
func (l loss) apply(n *node) *node {
	if !n.isFolder {
		data := l.contents(n)
		return &node{data: data, durableData: data}
	}
	names := maps.Clone(n.durableNames)
	for _, c := range n.nameChanges {
		if l.rand.Float64() < l.keepNames {
			applyNames(names, c)
		}
	}
	out := newFolder()
	for _, name := range slices.Sorted(maps.Keys(names)) {
		out.names[name] = l.apply(names[name])
	}
	out.durableNames = maps.Clone(out.names)
	return out
}

// contents returns the contents of a file as the loss leaves it.
func (l loss) contents(n *node) []byte {
	const tornShare = 0.3
	data := slices.Clone(n.durableData)
	for _, w := range n.writes {
		if l.rand.Float64() >= l.keepData {
			continue
		}
		if len(w.data) > 1 && l.keepData < 1 && l.rand.Float64() < tornShare {
			w = l.tear(w)
		}
		data = applyWrite(data, w)
	}
	return data
}

// tear returns the start or the end of a write.
func (l loss) tear(w write) write {
	cut := 1 + l.rand.IntN(len(w.data)-1)
	if l.rand.IntN(2) == 0 {
		return write{w.at, w.data[:cut]}
	}
	return write{w.at + int64(cut), w.data[cut:]}
}
