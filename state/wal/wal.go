// Package wal is a segmented write-ahead log with snapshot files.
//
// Each call of Append writes one frame and syncs it before it returns, so at most the last frame of the log can be
// incomplete after a crash. Open truncates the log before such a frame. A damaged frame that is followed by a valid frame
// had been synced, so it is reported as corruption and never dropped.
package wal

import (
	"os"
	"path/filepath"
	"syscall"

	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/state/defaults"
)

const (
	defaultSegmentBytes = 4 << 20
	lockFile            = "lock"
	dirMode             = 0o750
	fileMode            = 0o640
)

// HardState is the durable state of the consensus protocol besides the log. It is replaced as a whole.
type HardState struct {
	Term   uint64 `cbor:"1,keyasint"`
	Vote   string `cbor:"2,keyasint"`
	Commit uint64 `cbor:"3,keyasint"`
}

// Entry is one log entry. Appending an entry replaces all entries with the same or a higher index.
type Entry struct {
	Index uint64 `cbor:"1,keyasint"`
	Term  uint64 `cbor:"2,keyasint"`
	Kind  uint8  `cbor:"3,keyasint,omitempty"`
	ID    string `cbor:"4,keyasint,omitempty"`
	Data  []byte `cbor:"5,keyasint,omitempty"`
}

// Snapshot is the content of a snapshot file. Meta and Data are opaque to this package.
type Snapshot struct {
	Index uint64 `cbor:"1,keyasint"`
	Term  uint64 `cbor:"2,keyasint"`
	Meta  []byte `cbor:"3,keyasint,omitempty"`
	Data  []byte `cbor:"4,keyasint,omitempty"`
}

// State is the content of the log as read by Open.
type State struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
	// TruncatedBytes is the size of the incomplete frame that was truncated from the end.
	TruncatedBytes int64
}

// ErrCorrupt is the cause of errors about damaged or missing files.
var ErrCorrupt = errors.New("corrupt write-ahead log")

// Options of a log. Zero values are replaced by defaults.
type Options struct {
	SegmentBytes int64
	// Files is the file system of the log. The default is OS.
	Files FileSystem
}

// Log is an open log. It is not safe for concurrent use. After a failed write it refuses further writes, because it
// is unknown what reached the disk.
type Log struct {
	dir              string
	lock             File
	maxSegmentBytes  int64
	files            FileSystem
	segments         []segment
	file             File
	lastSegmentBytes int64
	nextFrame        uint64
	salt             uint32 // of the last segment
	hardState        HardState
	first, last      uint64 // indexes of the first and last entry; last is first-1 when there are none
	writeErr         error
}

// segment is a file of the log. maxIndex is the highest entry index in it, including entries that were replaced later.
type segment struct {
	path       string
	firstFrame uint64
	maxIndex   uint64
}

// Open locks and reads the log in dir. It creates dir if it does not exist.
func Open(dir string, opts Options) (*Log, State, error) {
	defaults.Positive(&opts.SegmentBytes, defaultSegmentBytes)
	if opts.Files == nil {
		opts.Files = OS{}
	}
	l := &Log{dir: dir, maxSegmentBytes: opts.SegmentBytes, files: opts.Files, nextFrame: 1}
	if err := MakeDirIn(l.files, dir); err != nil {
		return nil, State{}, err
	}
	if err := l.lockDir(); err != nil {
		return nil, State{}, err
	}
	state, err := l.load()
	if err == nil {
		err = l.openLastSegment(&state)
	}
	if err == nil {
		err = l.syncOpened()
	}
	if err != nil {
		_ = l.Close()
		return nil, State{}, err
	}
	return l, state, nil
}

// syncOpened syncs what an earlier process may have written and not synced. Its caller takes all that Open read for durable
// and acknowledges it, but the last frame and the last rename can be in memory only.
func (l *Log) syncOpened() error {
	if err := l.file.Sync(); err != nil {
		return errors.Wrap(err, "sync segment")
	}
	return syncDir(l.files, l.dir)
}

// lockDir prevents a second process from opening the same directory. The operating system releases the lock when the
// process exits or crashes.
func (l *Log) lockDir() error {
	file, err := l.files.OpenFile(filepath.Join(l.dir, lockFile), os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return errors.Wrap(err, "open lock file")
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = file.Close()
		return errors.Wrapf(err, "lock log directory %s, which another process may be using", l.dir)
	}
	l.lock = file
	return nil
}

// openLastSegment opens the last segment for appends and matches the entries with the snapshot.
func (l *Log) openLastSegment(state *State) error {
	if len(l.segments) == 0 {
		if err := l.startSegment(); err != nil {
			return err
		}
	} else {
		path := l.segments[len(l.segments)-1].path
		file, err := l.files.OpenFile(path, os.O_WRONLY|os.O_APPEND, fileMode)
		if err != nil {
			return errors.Wrap(err, "open segment")
		}
		l.file = file
		info, err := file.Stat()
		if err != nil {
			return errors.Wrap(err, "get size of segment")
		}
		l.lastSegmentBytes = info.Size()
	}
	return l.reconcileSnapshot(state)
}

// reconcileSnapshot checks that the entries connect to the snapshot. After a crash of InstallSnapshot between the snapshot
// file and the frame that discards the old log, it writes this frame.
func (l *Log) reconcileSnapshot(state *State) error {
	index, entries := state.Snapshot.Index, state.Entries
	switch {
	case len(entries) == 0 && l.last == index:
		return nil
	case len(entries) == 0 && l.first == 0:
		if index > 0 {
			l.first, l.last = index+1, index
		}
		return nil
	case len(entries) == 0 && l.last > index:
		return errors.Wrapf(ErrCorrupt, "%s: log without entries continues after index %d, but the snapshot ends at index %d", l.dir, l.last, index)
	case len(entries) > 0 && entries[0].Index > index+1:
		return errors.Wrapf(ErrCorrupt, "%s: entries start at index %d, but the snapshot ends at index %d", l.dir, entries[0].Index, index)
	case len(entries) > 0 && entries[0].Index == index+1:
		return nil
	case len(entries) > 0 && l.last >= index && entries[index-entries[0].Index].Term == state.Snapshot.Term:
		return nil
	}
	f := &frame{ResetTo: index}
	if err := l.writeFrame(f); err != nil {
		return err
	}
	l.updateState(f, &l.segments[len(l.segments)-1])
	state.Entries = nil
	return nil
}

// MakeDirIn creates a directory and its missing parents. It returns when they are durable. It also syncs the parent of a
// directory that exists: the sync of the process that created it may have failed.
func MakeDirIn(files FileSystem, dir string) error {
	if err := createDir(files, dir); err != nil {
		return err
	}
	return syncDir(files, filepath.Dir(dir))
}

func createDir(files FileSystem, dir string) error {
	if _, err := files.Stat(dir); err == nil {
		return nil
	}
	if parent := filepath.Dir(dir); parent != dir {
		if err := createDir(files, parent); err != nil {
			return err
		}
	}
	if err := files.Mkdir(dir, dirMode); err != nil && !os.IsExist(err) {
		return errors.Wrap(err, "create directory")
	}
	return syncDir(files, filepath.Dir(dir))
}

// Append writes the entries and, unless it is nil, the hard state in one frame and syncs it.
func (l *Log) Append(hard *HardState, entries []Entry) error {
	if hard == nil && len(entries) == 0 {
		return nil
	}
	if err := l.writable(); err != nil {
		return err
	}
	if err := l.checkContiguous(entries); err != nil {
		return err
	}
	if l.lastSegmentBytes >= l.maxSegmentBytes {
		if err := l.startSegment(); err != nil {
			return l.fail(err)
		}
	}
	if err := l.writeFrame(&frame{Hard: hard, Entries: entries}); err != nil {
		return l.fail(err)
	}
	l.updateState(&frame{Hard: hard, Entries: entries}, &l.segments[len(l.segments)-1])
	return nil
}

// writable returns an error after Close and after a failed write. Writes are not retried after a failed sync, since a
// later sync can succeed although the data of the failed one was lost.
func (l *Log) writable() error { return errors.Wrap(l.writeErr, "write-ahead log is not writable") }

func (l *Log) fail(err error) error {
	l.writeErr = err
	return err
}

func (l *Log) checkContiguous(entries []Entry) error {
	for i := range entries {
		if i > 0 && entries[i].Index != entries[i-1].Index+1 {
			return errors.Errorf("append: entry %d follows entry %d", entries[i].Index, entries[i-1].Index)
		}
	}
	if len(entries) > 0 && l.first != 0 && (entries[0].Index > l.last+1 || entries[0].Index < l.first) {
		return errors.Errorf("append: entry %d does not connect to the log, which holds entries %d to %d", entries[0].Index, l.first, l.last)
	}
	return nil
}

// updateState updates the hard state and the index range of the log for a frame that was written or read.
func (l *Log) updateState(f *frame, s *segment) {
	if f.Hard != nil {
		l.hardState = *f.Hard
	}
	if f.ResetTo != 0 {
		l.first, l.last = f.ResetTo+1, f.ResetTo
	}
	if k := len(f.Entries); k > 0 {
		if l.first == 0 || f.Entries[0].Index < l.first {
			l.first = f.Entries[0].Index
		}
		l.last = f.Entries[k-1].Index
		s.maxIndex = max(s.maxIndex, l.last)
	}
}

// SaveSnapshot writes a snapshot file of applied state. It deletes older snapshots and segments that only have entries up
// to keepAfter; later entries are kept.
func (l *Log) SaveSnapshot(s Snapshot, keepAfter uint64) error {
	if err := l.beginSnapshot(&s); err != nil {
		return err
	}
	if err := l.removeObsolete(s.Index, s.Term, min(keepAfter, s.Index)); err != nil {
		return l.fail(err)
	}
	return nil
}

// InstallSnapshot writes a snapshot file that replaces the whole log. The next entry must follow the snapshot. The hard
// state is written in the same frame that discards the old entries.
func (l *Log) InstallSnapshot(s Snapshot, hard HardState) error {
	if err := l.beginSnapshot(&s); err != nil {
		return err
	}
	f := &frame{Hard: &hard, ResetTo: s.Index}
	if err := l.writeFrame(f); err != nil {
		return l.fail(err)
	}
	l.updateState(f, &l.segments[len(l.segments)-1])
	if err := l.removeObsolete(s.Index, s.Term, ^uint64(0)); err != nil {
		return l.fail(err)
	}
	return nil
}

// beginSnapshot writes the snapshot file and starts a new segment.
func (l *Log) beginSnapshot(s *Snapshot) error {
	if err := l.writable(); err != nil {
		return err
	}
	if err := l.writeSnapshot(s); err != nil {
		return l.fail(err)
	}
	if err := l.startSegment(); err != nil {
		return l.fail(err)
	}
	return nil
}

// removeObsolete deletes obsolete segments and snapshots. Segments are deleted oldest first, so that a crash leaves no
// gap.
func (l *Log) removeObsolete(index, term, keepAfter uint64) error {
	for len(l.segments) > 1 && l.segments[0].maxIndex <= keepAfter {
		if err := l.files.Remove(l.segments[0].path); err != nil {
			return errors.Wrap(err, "remove old segment")
		}
		// Without a sync in between, a crash could keep an older segment and lose a newer one.
		if err := syncDir(l.files, l.dir); err != nil {
			return err
		}
		l.segments = l.segments[1:]
	}
	l.first = max(l.first, l.firstReplaceable(keepAfter))
	return l.removeSnapshotsExcept(snapshotName(index, term))
}

// firstReplaceable returns the lowest index that may be overwritten after a snapshot. Entries up to keepAfter are
// committed.
func (l *Log) firstReplaceable(keepAfter uint64) uint64 {
	if l.first == 0 || keepAfter >= l.last {
		return l.first
	}
	return keepAfter + 1
}

// Close closes the last segment and releases the lock. All appended frames have been synced before.
func (l *Log) Close() error {
	var err error
	if l.file != nil {
		err = l.file.Close()
	}
	if l.lock != nil {
		_ = l.lock.Close()
	}
	l.file, l.lock = nil, nil
	l.writeErr = errors.New("write-ahead log is closed")
	return errors.Wrap(err, "close segment")
}
