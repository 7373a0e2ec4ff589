package wal

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// A snapshot file consists of a magic string, the CRC-32C of the payload and the payload.
const (
	snapshotMagic       = "THSNAP01"
	snapshotHeaderBytes = 12
	snapshotSuffix      = ".snap"
)

func snapshotName(index, term uint64) string {
	return fmt.Sprintf("%016x-%016x%s", index, term, snapshotSuffix)
}

func (l *Log) writeSnapshot(s *Snapshot) error {
	payload, err := cbor.Marshal(s)
	if err != nil {
		return errors.Wrap(err, "encode snapshot")
	}
	b := make([]byte, 0, snapshotHeaderBytes+len(payload))
	b = append(b, snapshotMagic...)
	b = binary.BigEndian.AppendUint32(b, crc32.Checksum(payload, checksumTable))
	b = append(b, payload...)
	return WriteFileIn(l.files, filepath.Join(l.dir, snapshotName(s.Index, s.Term)), b)
}

// loadSnapshot reads the latest snapshot file. A damaged one is an error even if an older one exists, because the log may
// have been compacted up to the latest one.
func (l *Log) loadSnapshot(names []string) (Snapshot, error) {
	var snapshots []string
	for _, name := range names {
		if strings.HasSuffix(name, snapshotSuffix) {
			snapshots = append(snapshots, name)
		}
	}
	if len(snapshots) == 0 {
		return Snapshot{}, nil
	}
	path := filepath.Join(l.dir, slices.Max(snapshots))
	content, err := l.files.ReadFile(path)
	if err != nil {
		return Snapshot{}, errors.Wrap(err, "read snapshot")
	}
	if len(content) < snapshotHeaderBytes || string(content[:len(snapshotMagic)]) != snapshotMagic ||
		crc32.Checksum(content[snapshotHeaderBytes:], checksumTable) != binary.BigEndian.Uint32(content[len(snapshotMagic):]) {
		return Snapshot{}, errors.Wrapf(ErrCorrupt, "%s: snapshot is too short or has a wrong magic or checksum", path)
	}
	var s Snapshot
	if err := decoder.Unmarshal(content[snapshotHeaderBytes:], &s); err != nil {
		return Snapshot{}, errors.Wrapf(ErrCorrupt, "%s: decode snapshot: %v", path, err)
	}
	return s, nil
}

func (l *Log) removeSnapshotsExcept(keep string) error {
	names, err := listDir(l.files, l.dir)
	if err != nil {
		return err
	}
	for _, name := range names {
		if name == keep || !strings.HasSuffix(name, snapshotSuffix) && !strings.HasSuffix(name, temporarySuffix) {
			continue
		}
		if err := l.files.Remove(filepath.Join(l.dir, name)); err != nil {
			return errors.Wrap(err, "remove old snapshot")
		}
	}
	return syncDir(l.files, l.dir)
}

func listDir(files FileSystem, dir string) ([]string, error) {
	entries, err := files.ReadDir(dir)
	if err != nil {
		return nil, errors.Wrap(err, "read log directory")
	}
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, nil
}

// WriteFile replaces a file atomically: after a crash it holds either the old or the new content. It returns when the new
// content is durable.
func WriteFile(path string, content []byte) error { return WriteFileIn(OS{}, path, content) }

// WriteFileIn is WriteFile in another file system.
func WriteFileIn(files FileSystem, path string, content []byte) error {
	temporary := path + temporarySuffix
	file, err := files.OpenFile(temporary, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, fileMode)
	if err != nil {
		return errors.Wrap(err, "create temporary file")
	}
	_, err = file.Write(content)
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		// The bytes of the incomplete file would keep a full disk full.
		_ = files.Remove(temporary)
		return errors.Wrapf(err, "write %s", temporary)
	}
	if err := files.Rename(temporary, path); err != nil {
		_ = files.Remove(temporary)
		return errors.Wrap(err, "rename temporary file")
	}
	return syncDir(files, filepath.Dir(path))
}

// SyncDir syncs a directory, which makes creations, renames and removals of its files durable.
func SyncDir(dir string) error { return syncDir(OS{}, dir) }

func syncDir(files FileSystem, dir string) error {
	d, err := files.OpenFile(dir, os.O_RDONLY, 0)
	if err != nil {
		return errors.Wrap(err, "open directory")
	}
	defer d.Close()
	return errors.Wrapf(d.Sync(), "sync directory %s", dir)
}
