package wal

import (
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"

	"github.com/pkg/errors"
)

// failingDisk is a file system of which every operation that changes something fails from a chosen one on, until there is
// room again. A write that fails leaves half of its bytes.
type failingDisk struct {
	OS
	// failFrom is the number of the first operation that fails, and failCount how many fail.
	failFrom, failCount int
	operations          int
	// onlyData lets all operations but writes succeed, as file systems with free inodes do.
	onlyData bool
	failed   []string
}

func (d *failingDisk) check(operation, path string) error {
	if d.onlyData && operation != "write" {
		return nil
	}
	d.operations++
	if d.operations < d.failFrom || d.operations >= d.failFrom+d.failCount {
		return nil
	}
	d.failed = append(d.failed, operation+" "+filepath.Base(path))
	return &fs.PathError{Op: operation, Path: path, Err: syscall.ENOSPC}
}

func (d *failingDisk) OpenFile(path string, flag int, mode fs.FileMode) (File, error) {
	if flag != os.O_RDONLY {
		if err := d.check("open", path); err != nil {
			return nil, err
		}
	}
	file, err := os.OpenFile(path, flag, mode)
	return failingFile{file, d}, err
}

func (d *failingDisk) Mkdir(path string, mode fs.FileMode) error {
	if err := d.check("mkdir", path); err != nil {
		return err
	}
	return os.Mkdir(path, mode)
}

func (d *failingDisk) Rename(from, to string) error {
	if err := d.check("rename", to); err != nil {
		return err
	}
	return os.Rename(from, to)
}

func (d *failingDisk) Remove(path string) error {
	if err := d.check("remove", path); err != nil {
		return err
	}
	return os.Remove(path)
}

type failingFile struct {
	*os.File
	disk *failingDisk
}

func (f failingFile) Write(b []byte) (int, error) {
	if err := f.disk.check("write", f.Name()); err != nil {
		n, _ := f.File.Write(b[:len(b)/2])
		return n, err
	}
	return f.File.Write(b)
}

// Sync syncs nothing: no test cuts the power of this disk.
func (f failingFile) Sync() error { return f.disk.check("sync", f.Name()) }

func (f failingFile) Truncate(size int64) error {
	if err := f.disk.check("truncate", f.Name()); err != nil {
		return err
	}
	return f.File.Truncate(size)
}

// logModel is what a log has to hold.
type logModel struct {
	hard     HardState
	snapshot uint64
	entries  map[uint64]uint64 // term by index
	last     uint64
}

func (m logModel) clone() logModel {
	terms := make(map[uint64]uint64, len(m.entries))
	for index, term := range m.entries {
		terms[index] = term
	}
	m.entries = terms
	return m
}

func (m logModel) append(hard *HardState, list []Entry) logModel {
	m = m.clone()
	if hard != nil {
		m.hard = *hard
	}
	for _, e := range list {
		m.entries[e.Index], m.last = e.Term, e.Index
	}
	return m
}

// difference returns how a log that was opened differs from the model, or an empty string.
func (m logModel) difference(s *State) string {
	last := s.Snapshot.Index
	if n := len(s.Entries); n > 0 {
		last = max(last, s.Entries[n-1].Index)
	}
	switch {
	case s.Snapshot.Index != m.snapshot:
		return fmt.Sprintf("snapshot %d, want %d", s.Snapshot.Index, m.snapshot)
	case s.HardState != m.hard:
		return fmt.Sprintf("hard state %+v, want %+v", s.HardState, m.hard)
	case last != max(m.last, m.snapshot):
		return fmt.Sprintf("last index %d, want %d", last, m.last)
	}
	for _, e := range s.Entries {
		if e.Index > m.snapshot && m.entries[e.Index] != e.Term {
			return fmt.Sprintf("entry %d has term %d, want %d", e.Index, e.Term, m.entries[e.Index])
		}
	}
	return ""
}

// step is a change of a log. after returns what the log may contain when the step fails, besides
// what it contained before; the last one is the content after a success.
type step struct {
	apply func(l *Log) error
	after func(m logModel) []logModel
}

func appendStep(hard *HardState, list []Entry) step {
	return step{
		apply: func(l *Log) error { return l.Append(hard, list) },
		after: func(m logModel) []logModel { return []logModel{m.append(hard, list)} },
	}
}

func saveStep(index, term, keepAfter uint64) step {
	return step{
		apply: func(l *Log) error {
			return l.SaveSnapshot(Snapshot{Index: index, Term: term, Data: []byte("saved")}, keepAfter)
		},
		after: func(m logModel) []logModel {
			m = m.clone()
			m.snapshot = index
			return []logModel{m}
		},
	}
}

func installStep(index, term uint64, hard HardState) step {
	return step{
		apply: func(l *Log) error {
			return l.InstallSnapshot(Snapshot{Index: index, Term: term, Data: []byte("installed")}, hard)
		},
		after: func(m logModel) []logModel {
			partial := logModel{hard: m.hard, snapshot: index, last: index}
			complete := partial
			complete.hard = hard
			return []logModel{partial, complete}
		},
	}
}

var failingDiskSteps = []step{
	appendStep(&HardState{Term: 1, Vote: "a"}, entries(1, 4, 1)),
	appendStep(nil, entries(5, 9, 1)),
	appendStep(&HardState{Term: 2, Vote: "b", Commit: 6}, entries(8, 12, 2)),
	saveStep(6, 1, 4),
	appendStep(nil, entries(13, 20, 2)),
	appendStep(&HardState{Term: 3, Commit: 20}, nil),
	saveStep(18, 2, 18),
	appendStep(nil, entries(21, 24, 3)),
	installStep(60, 4, HardState{Term: 5, Commit: 60}),
	appendStep(&HardState{Term: 5, Vote: "c", Commit: 62}, entries(61, 66, 5)),
}

// runSteps applies the steps from the given one on until one fails. It returns the number of the next step and what the
// log may contain.
func runSteps(l *Log, from int, model logModel) (int, []logModel) {
	for i := from; i < len(failingDiskSteps); i++ {
		after := failingDiskSteps[i].after(model)
		if err := failingDiskSteps[i].apply(l); err != nil {
			return i, append([]logModel{model}, after...)
		}
		model = after[len(after)-1]
	}
	return len(failingDiskSteps), []logModel{model}
}

// runOnFailingDisk opens a log on the disk again after each failure, as a process does that is started again, and returns
// the number of failures.
func runOnFailingDisk(t *testing.T, dir string, disk *failingDisk) (failures int) {
	t.Helper()
	next, models := 0, []logModel{{entries: map[uint64]uint64{}}}
	for starts := 0; ; starts++ {
		if starts > 12 {
			t.Fatalf("the log can't be opened or written after %v", disk.failed)
		}
		l, state, err := Open(dir, Options{SegmentBytes: 300, Files: disk})
		if err != nil {
			if errors.Cause(err) == ErrCorrupt {
				t.Fatalf("after %v: %v", disk.failed, err)
			}
			failures++
			continue
		}
		i := slices.IndexFunc(models, func(m logModel) bool { return m.difference(&state) == "" })
		if i < 0 {
			t.Fatalf("after %v in step %d: %s", disk.failed, next, models[0].difference(&state))
		}
		if i > 0 && i == len(models)-1 {
			next++ // the step took effect although it failed
		}
		next, models = runSteps(l, next, models[i])
		requireNoError(t, l.Close())
		if next == len(failingDiskSteps) && starts > 0 {
			return failures
		}
		if next < len(failingDiskSteps) {
			failures++
		}
	}
}

// Guards against a log that can't be opened again, loses what it acknowledged or stays unwritable after the disk was
// full: every operation fails in turn, alone, and with those after it, among them those of the next starts.
func TestDiskFailsAtEveryOperation(t *testing.T) {
	for _, onlyData := range []bool{false, true} {
		for _, failCount := range []int{1, 2, 5} {
			for failFrom := 1; ; failFrom++ {
				dir := filepath.Join(t.TempDir(), "log")
				disk := &failingDisk{failFrom: failFrom, failCount: failCount, onlyData: onlyData}
				if runOnFailingDisk(t, dir, disk) == 0 && len(disk.failed) == 0 {
					if failFrom < 10 {
						t.Fatalf("only %d operations", disk.operations)
					}
					break
				}
			}
		}
	}
}

// Guards against temporary files that stay after a failed write and keep the disk full: each attempt at another index
// leaves one more.
func TestFailedWriteLeavesNoTemporaryFile(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "log")
	disk := &failingDisk{}
	l, _ := mustOpen(t, dir, Options{Files: disk})
	requireNoError(t, l.Append(&HardState{Term: 1}, entries(1, 9, 1)))
	for index := uint64(1); index < 9; index++ {
		requireNoError(t, l.Close())
		l, _ = mustOpen(t, dir, Options{Files: disk})
		disk.failFrom, disk.failCount = disk.operations+2, 1 // the write of the snapshot
		if err := l.SaveSnapshot(Snapshot{Index: index, Term: 1, Data: make([]byte, 1000)}, index); !errors.Is(err, syscall.ENOSPC) {
			t.Fatalf("error %v, want ENOSPC", err)
		}
		names, err := listDir(OS{}, dir)
		requireNoError(t, err)
		if i := slices.IndexFunc(names, func(name string) bool { return strings.HasSuffix(name, temporarySuffix) }); i >= 0 {
			t.Fatalf("%s stays after a failed write", names[i])
		}
	}
}

// Guards against a temporary file of a process that was killed, which keeps a full disk full because only a successful
// snapshot would remove it.
func TestOpenRemovesTemporaryFiles(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, snapshotName(7, 1)+temporarySuffix)
	requireNoError(t, os.WriteFile(path, make([]byte, 1000), fileMode))
	mustOpen(t, dir, Options{})
	if _, err := os.Stat(path); !os.IsNotExist(err) {
		t.Fatalf("the temporary file is still there: %v", err)
	}
}

// Guards against a member that contradicts what it acknowledged: a frame, a rename or a new folder whose sync failed is
// read by the next process, which takes it for durable. A loss of power would then remove it. Open has to sync the last
// segment, the folder of the log and the folder above.
func TestOpenSyncsWhatWasNotSynced(t *testing.T) {
	parent := t.TempDir()
	dir := filepath.Join(parent, "log")
	disk := &failingDisk{}
	l, _ := mustOpen(t, dir, Options{Files: disk})
	requireNoError(t, l.Append(&HardState{Term: 1}, entries(1, 3, 1)))
	disk.failFrom, disk.failCount = disk.operations+2, 1 // the sync of the frame
	if err := l.Append(nil, entries(4, 6, 1)); !errors.Is(err, syscall.ENOSPC) || disk.failed[0][:4] != "sync" {
		t.Fatalf("error %v of %v, want ENOSPC of the sync", err, disk.failed)
	}
	requireNoError(t, l.Close())
	synced := map[string]bool{}
	l, state := mustOpen(t, dir, Options{Files: syncedBy{sync: func(f *os.File) error {
		synced[f.Name()] = true
		return f.Sync()
	}}})
	if len(state.Entries) != 6 {
		t.Fatalf("%d entries, want 6", len(state.Entries))
	}
	for _, path := range []string{l.segments[0].path, dir, parent} {
		if !synced[path] {
			t.Errorf("%s was not synced, only %v", path, synced)
		}
	}
}
