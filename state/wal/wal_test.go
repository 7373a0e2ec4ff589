package wal

import (
	"bytes"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/pkg/errors"
)

func entry(index, term uint64) Entry {
	return Entry{Index: index, Term: term, ID: fmt.Sprint("id", index), Data: bytes.Repeat([]byte{byte(index)}, 40)}
}

func entries(first, last, term uint64) []Entry {
	var list []Entry
	for i := first; i <= last; i++ {
		list = append(list, entry(i, term))
	}
	return list
}

func mustOpen(t *testing.T, dir string, opts Options) (*Log, State) {
	t.Helper()
	l, state, err := Open(dir, opts)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l, state
}

func requireNoError(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func requireState(t *testing.T, dir string, want State) {
	t.Helper()
	l, got := mustOpen(t, dir, Options{})
	requireNoError(t, l.Close())
	if d := cmp.Diff(want, got, cmpopts.EquateEmpty(), cmpopts.IgnoreFields(State{}, "TruncatedBytes")); d != "" {
		t.Fatalf("state after open (-want +got):\n%s", d)
	}
}

// Guards against lost entries or hard state, and against replaced entries that reappear, when a log with many segments and
// snapshots is reopened.
func TestReopen(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "log")
	l, _ := mustOpen(t, dir, Options{SegmentBytes: 300})
	hard := HardState{Term: 2, Vote: "a@1", Commit: 3}
	requireNoError(t, l.Append(&HardState{Term: 1}, entries(1, 5, 1)))
	requireNoError(t, l.Append(nil, entries(6, 9, 1)))
	requireNoError(t, l.Append(&hard, entries(4, 4, 2)))
	requireNoError(t, l.Append(nil, entries(5, 20, 2)))
	log := append(entries(1, 3, 1), entries(4, 20, 2)...)
	if _, _, err := Open(dir, Options{}); err == nil {
		t.Fatal("a locked log was opened a second time")
	}
	requireNoError(t, l.Close())
	requireState(t, dir, State{HardState: hard, Entries: log})

	l, _ = mustOpen(t, dir, Options{SegmentBytes: 300})
	snapshot := Snapshot{Index: 12, Term: 2, Meta: []byte("m"), Data: []byte("state")}
	requireNoError(t, l.SaveSnapshot(snapshot, 10))
	requireNoError(t, l.Close())
	l, state := mustOpen(t, dir, Options{SegmentBytes: 300})
	if first := state.Entries[0].Index; first > 11 || state.Entries[len(state.Entries)-1].Index != 20 {
		t.Fatalf("entries %d to %d after a snapshot that keeps 11 to 20", first, state.Entries[len(state.Entries)-1].Index)
	}
	hard.Commit = 50
	install := Snapshot{Index: 50, Term: 3, Data: []byte("later")}
	requireNoError(t, l.InstallSnapshot(install, hard))
	requireNoError(t, l.Append(nil, entries(51, 52, 3)))
	if files, _ := filepath.Glob(filepath.Join(dir, "*")); len(files) > 3 {
		t.Fatalf("old files were kept: %v", files)
	}
	if err := l.Append(nil, entries(60, 60, 3)); err == nil {
		t.Fatal("a gap in the log was accepted")
	}
	requireNoError(t, l.Close())
	requireState(t, dir, State{HardState: hard, Snapshot: install, Entries: entries(51, 52, 3)})
}

// Guards against a log that cannot be opened, or loses synced frames, after a crash left the last frame incomplete or
// filled with zeros.
func TestTornTail(t *testing.T) {
	dir := t.TempDir()
	l, _ := mustOpen(t, dir, Options{})
	hard := HardState{Term: 1, Commit: 2}
	requireNoError(t, l.Append(&hard, entries(1, 3, 1)))
	synced := l.lastSegmentBytes
	requireNoError(t, l.Append(nil, entries(4, 6, 1)))
	requireNoError(t, l.Close())
	path := l.segments[0].path
	content, err := os.ReadFile(path)
	requireNoError(t, err)
	for size := synced; size < int64(len(content)); size++ {
		damaged := map[string][]byte{
			"truncated": content[:size],
			"zeros":     append(bytes.Clone(content[:size]), make([]byte, int64(len(content))-size)...),
		}
		for name, b := range damaged {
			requireNoError(t, os.WriteFile(path, b, fileMode))
			l, state := mustOpen(t, dir, Options{})
			if len(state.Entries) != 3 || state.HardState != hard || state.TruncatedBytes != int64(len(b))-synced {
				t.Fatalf("%s, size %d: %d entries, hard state %+v, %d bytes truncated", name, size, len(state.Entries), state.HardState, state.TruncatedBytes)
			}
			requireNoError(t, l.Append(nil, entries(4, 5, 2)))
			requireNoError(t, l.Close())
			requireState(t, dir, State{HardState: hard, Entries: append(entries(1, 3, 1), entries(4, 5, 2)...)})
		}
	}
}

// Guards against synced entries that are dropped silently when a byte before the last frame is corrupt.
func TestCorruptionBeforeLastFrame(t *testing.T) {
	dir := t.TempDir()
	l, _ := mustOpen(t, dir, Options{})
	requireNoError(t, l.Append(&HardState{Term: 1}, entries(1, 3, 1)))
	last := l.lastSegmentBytes
	requireNoError(t, l.Append(nil, entries(4, 6, 1)))
	requireNoError(t, l.Close())
	path := l.segments[0].path
	content, err := os.ReadFile(path)
	requireNoError(t, err)
	for offset := int64(0); offset < last; offset++ {
		damaged := bytes.Clone(content)
		damaged[offset] ^= 0x40
		requireNoError(t, os.WriteFile(path, damaged, fileMode))
		if _, _, err := Open(dir, Options{}); errors.Cause(err) != ErrCorrupt {
			t.Fatalf("offset %d of %d: error %v, want ErrCorrupt", offset, last, err)
		}
		if after, _ := os.ReadFile(path); !bytes.Equal(after, damaged) {
			t.Fatalf("offset %d: the damaged file was changed", offset)
		}
	}
}

// Guards against a log that opens although a file is damaged or missing.
func TestDamagedOrMissingFiles(t *testing.T) {
	build := func(t *testing.T) (string, []string, []string) {
		dir := t.TempDir()
		l, _ := mustOpen(t, dir, Options{SegmentBytes: 200})
		for i := uint64(1); i <= 12; i++ {
			requireNoError(t, l.Append(nil, entries(i, i, 1)))
		}
		requireNoError(t, l.SaveSnapshot(Snapshot{Index: 4, Term: 1, Data: []byte("x")}, 4))
		requireNoError(t, l.Close())
		segments, _ := filepath.Glob(filepath.Join(dir, "*"+segmentSuffix))
		snapshots, _ := filepath.Glob(filepath.Join(dir, "*"+snapshotSuffix))
		return dir, segments, snapshots
	}
	for name, damage := range map[string]func(segments, snapshots []string) error{
		"snapshot damaged":  func(_, s []string) error { return os.WriteFile(s[0], []byte(snapshotMagic+"xxxxyyyy"), fileMode) },
		"snapshot missing":  func(_, s []string) error { return os.Remove(s[0]) },
		"segment missing":   func(s, _ []string) error { return os.Remove(s[1]) },
		"segment truncated": func(s, _ []string) error { return os.Truncate(s[0], 100) },
		"segment emptied":   func(s, _ []string) error { return os.Truncate(s[len(s)-1], 0) },
	} {
		t.Run(name, func(t *testing.T) {
			dir, segments, snapshots := build(t)
			requireNoError(t, damage(segments, snapshots))
			if _, _, err := Open(dir, Options{}); errors.Cause(err) != ErrCorrupt {
				t.Fatalf("error %v, want ErrCorrupt", err)
			}
		})
	}
}

// Guards against a follower that cannot start after a crash in InstallSnapshot, when the snapshot file was written but not
// the frame that discards the old log.
func TestCrashDuringInstall(t *testing.T) {
	for name, old := range map[string][]Entry{"log ends before snapshot": entries(1, 5, 1), "log conflicts with snapshot": entries(1, 60, 1)} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			l, _ := mustOpen(t, dir, Options{})
			requireNoError(t, l.Append(&HardState{Term: 1}, old))
			snapshot := Snapshot{Index: 50, Term: 3, Data: []byte("later")}
			requireNoError(t, l.writeSnapshot(&snapshot))
			requireNoError(t, l.Close())
			l, state := mustOpen(t, dir, Options{})
			if len(state.Entries) != 0 || state.Snapshot.Index != 50 {
				t.Fatalf("%d entries and snapshot index %d, want 0 and 50", len(state.Entries), state.Snapshot.Index)
			}
			requireNoError(t, l.Append(nil, entries(51, 51, 3)))
			requireNoError(t, l.Close())
			requireState(t, dir, State{HardState: HardState{Term: 1}, Snapshot: snapshot, Entries: entries(51, 51, 3)})
		})
	}
}

// syncedBy is the file system of the operating system with another sync.
type syncedBy struct {
	OS
	sync func(*os.File) error
}

func (s syncedBy) OpenFile(path string, flag int, mode fs.FileMode) (File, error) {
	file, err := os.OpenFile(path, flag, mode)
	return syncedFile{file, s.sync}, err
}

type syncedFile struct {
	*os.File
	sync func(*os.File) error
}

func (f syncedFile) Sync() error { return f.sync(f.File) }

// Guards against an acknowledged write that is not durable: a file must be synced after a write, and the directory after a
// file was created in it. A failed sync must stop the log, because a later sync can succeed although the data was lost.
func TestSyncBeforeReturn(t *testing.T) {
	dir := t.TempDir()
	syncedBytes := map[string]int64{}
	var dirSyncs int
	failing := false
	l, _ := mustOpen(t, dir, Options{Files: syncedBy{sync: func(f *os.File) error {
		if failing {
			return errors.New("disk failed")
		}
		info, err := f.Stat()
		requireNoError(t, err)
		if info.IsDir() {
			dirSyncs++
		} else {
			syncedBytes[filepath.Base(f.Name())] = info.Size()
		}
		return f.Sync()
	}}})
	requireNoError(t, l.Append(nil, entries(1, 3, 1)))
	if syncedBytes[filepath.Base(l.segments[0].path)] != l.lastSegmentBytes {
		t.Fatalf("synced sizes %v, written %d", syncedBytes, l.lastSegmentBytes)
	}
	before := dirSyncs
	requireNoError(t, l.SaveSnapshot(Snapshot{Index: 2, Term: 1}, 2))
	if syncedBytes[snapshotName(2, 1)+temporarySuffix] == 0 || dirSyncs < before+2 {
		t.Fatalf("synced sizes %v, directory syncs %d after %d", syncedBytes, dirSyncs, before)
	}
	failing = true
	if err := l.Append(nil, entries(4, 4, 1)); err == nil {
		t.Fatal("an append that was not synced succeeded")
	}
	failing = false
	if err := l.Append(nil, entries(4, 4, 1)); err == nil {
		t.Fatal("an append after a failed sync succeeded")
	}
}

func BenchmarkAppend(b *testing.B) {
	for _, size := range []int{128, 4 << 10, 64 << 10} {
		b.Run(fmt.Sprintf("%dB", size), func(b *testing.B) {
			l, _, err := Open(b.TempDir(), Options{})
			if err != nil {
				b.Fatal(err)
			}
			defer l.Close()
			data := make([]byte, size)
			b.ReportAllocs()
			b.SetBytes(int64(size))
			index := uint64(0)
			for b.Loop() {
				index++
				if err := l.Append(nil, []Entry{{Index: index, Term: 1, Data: data}}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
