package wal

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// A segment starts with a magic string, a random salt, the number of its first frame and a checksum of these. A frame
// consists of a magic number, payload length, frame number, checksum and payload. The checksum of a frame covers length,
// number and payload and is seeded with the salt, so that entry data that contains bytes of another segment is not taken
// for a frame.
const (
	segmentMagic       = "THWAL001"
	segmentHeaderBytes = 28
	frameMagic         = 0x5448464d
	frameHeaderBytes   = 20
	segmentSuffix      = ".wal"
	temporarySuffix    = ".tmp"
	// maxFrameBytes is the maximum payload length of a frame.
	maxFrameBytes = 1 << 30
	// maxBatchEntries is far above the number of entries in one frame; the decoder's default limit is 131072.
	maxBatchEntries = 1 << 24
)

var checksumTable = crc32.MakeTable(crc32.Castagnoli)

var decoder = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxBatchEntries}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}()

// frame is the unit of one write and sync. ResetTo, unless it is 0, discards all earlier entries: the next entry follows
// that index.
type frame struct {
	Hard    *HardState `cbor:"1,keyasint,omitempty"`
	Entries []Entry    `cbor:"2,keyasint,omitempty"`
	ResetTo uint64     `cbor:"3,keyasint,omitempty"`
}

func encodeFrame(f *frame, number uint64, salt uint32) ([]byte, error) {
	payload, err := cbor.Marshal(f)
	if err != nil {
		return nil, errors.Wrap(err, "encode frame")
	}
	if len(payload) > maxFrameBytes {
		return nil, errors.Errorf("frame of %d bytes exceeds the limit of %d bytes", len(payload), maxFrameBytes)
	}
	b := make([]byte, frameHeaderBytes, frameHeaderBytes+len(payload))
	binary.BigEndian.PutUint32(b[0:], frameMagic)
	binary.BigEndian.PutUint32(b[4:], uint32(len(payload)))
	binary.BigEndian.PutUint64(b[8:], number)
	binary.BigEndian.PutUint32(b[16:], frameChecksum(b[4:16], payload, salt))
	return append(b, payload...), nil
}

func frameChecksum(header, payload []byte, salt uint32) uint32 {
	return crc32.Update(crc32.Update(salt, checksumTable, header), checksumTable, payload)
}

// parseFrame returns the number and payload of the frame at the start of b.
func parseFrame(b []byte, salt uint32) (number uint64, payload []byte, ok bool) {
	if len(b) < frameHeaderBytes || binary.BigEndian.Uint32(b) != frameMagic {
		return 0, nil, false
	}
	length := int(binary.BigEndian.Uint32(b[4:]))
	if length > maxFrameBytes || length > len(b)-frameHeaderBytes {
		return 0, nil, false
	}
	payload = b[frameHeaderBytes : frameHeaderBytes+length]
	if frameChecksum(b[4:16], payload, salt) != binary.BigEndian.Uint32(b[16:]) {
		return 0, nil, false
	}
	return binary.BigEndian.Uint64(b[8:]), payload, true
}

// hasFrameAfter reports whether b contains, at any offset, a valid frame with a number above the given one.
func hasFrameAfter(b []byte, number uint64, salt uint32) bool {
	magic := binary.BigEndian.AppendUint32(nil, frameMagic)
	for {
		i := bytes.Index(b, magic)
		if i < 0 {
			return false
		}
		if found, _, ok := parseFrame(b[i:], salt); ok && found > number {
			return true
		}
		b = b[i+1:]
	}
}

func (l *Log) writeFrame(f *frame) error {
	b, err := encodeFrame(f, l.nextFrame, l.salt)
	if err != nil {
		return err
	}
	if _, err := l.file.Write(b); err != nil {
		return errors.Wrap(err, "write frame")
	}
	if err := l.file.Sync(); err != nil {
		return errors.Wrap(err, "sync frame")
	}
	l.nextFrame++
	l.lastSegmentBytes += int64(len(b))
	return nil
}

func segmentName(firstFrame uint64) string { return fmt.Sprintf("%016x%s", firstFrame, segmentSuffix) }

// startSegment creates a segment whose first frame repeats the hard state, so that older segments can be deleted. The file
// is renamed to its final name when header and first frame are durable.
func (l *Log) startSegment() error {
	salt := rand.Uint32()
	header := make([]byte, 0, segmentHeaderBytes)
	header = append(header, segmentMagic...)
	header = binary.BigEndian.AppendUint64(header, uint64(salt))
	header = binary.BigEndian.AppendUint64(header, l.nextFrame)
	header = binary.BigEndian.AppendUint32(header, crc32.Checksum(header, checksumTable))
	first, err := encodeFrame(&frame{Hard: &l.hardState}, l.nextFrame, salt)
	if err != nil {
		return err
	}
	path := filepath.Join(l.dir, segmentName(l.nextFrame))
	content := append(header, first...)
	if err := WriteFileIn(l.files, path, content); err != nil {
		return err
	}
	file, err := l.files.OpenFile(path, os.O_WRONLY|os.O_APPEND, fileMode)
	if err != nil {
		return errors.Wrap(err, "open new segment")
	}
	if l.file != nil {
		// Every frame of the old segment was synced when it was written.
		_ = l.file.Close()
	}
	l.file, l.lastSegmentBytes, l.salt = file, int64(len(content)), salt
	l.segments = append(l.segments, segment{path: path, firstFrame: l.nextFrame})
	l.nextFrame++
	return nil
}

// load reads the latest snapshot and all segments.
func (l *Log) load() (State, error) {
	var state State
	names, err := listDir(l.files, l.dir)
	if err != nil {
		return state, err
	}
	for _, name := range names {
		if strings.HasSuffix(name, temporarySuffix) {
			// A process that was killed left it. It is not needed, so an error does not matter.
			_ = l.files.Remove(filepath.Join(l.dir, name))
		}
	}
	if state.Snapshot, err = l.loadSnapshot(names); err != nil {
		return state, err
	}
	var segments []string
	for _, name := range names {
		if strings.HasSuffix(name, segmentSuffix) {
			segments = append(segments, name)
		}
	}
	slices.Sort(segments)
	for i, name := range segments {
		if err := l.loadSegment(filepath.Join(l.dir, name), i == 0, i == len(segments)-1, &state); err != nil {
			return state, err
		}
	}
	state.HardState = l.hardState
	return state, nil
}

func (l *Log) loadSegment(path string, first, last bool, state *State) error {
	content, err := l.files.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read segment")
	}
	if len(content) < segmentHeaderBytes || string(content[:len(segmentMagic)]) != segmentMagic ||
		crc32.Checksum(content[:24], checksumTable) != binary.BigEndian.Uint32(content[24:]) {
		return errors.Wrapf(ErrCorrupt, "%s: invalid segment header", path)
	}
	l.salt = uint32(binary.BigEndian.Uint64(content[8:]))
	firstFrame := binary.BigEndian.Uint64(content[16:])
	if first {
		l.nextFrame = firstFrame
	}
	if firstFrame != l.nextFrame {
		return errors.Wrapf(ErrCorrupt, "%s: segment starts with frame %d, want %d", path, firstFrame, l.nextFrame)
	}
	s := segment{path: path, firstFrame: firstFrame}
	for offset := segmentHeaderBytes; offset < len(content); {
		number, payload, ok := parseFrame(content[offset:], l.salt)
		if !ok || number != l.nextFrame {
			if !last || offset == segmentHeaderBytes || hasFrameAfter(content[offset+1:], l.nextFrame, l.salt) {
				return errors.Wrapf(ErrCorrupt, "%s: damaged frame %d at offset %d", path, l.nextFrame, offset)
			}
			state.TruncatedBytes = int64(len(content) - offset)
			if err := l.truncateSegment(path, int64(offset)); err != nil {
				return err
			}
			break
		}
		if err := l.replay(payload, &s, state); err != nil {
			return errors.WithMessagef(err, "%s: frame %d at offset %d", path, number, offset)
		}
		l.nextFrame++
		offset += frameHeaderBytes + len(payload)
	}
	l.segments = append(l.segments, s)
	return nil
}

func (l *Log) truncateSegment(path string, size int64) error {
	file, err := l.files.OpenFile(path, os.O_RDWR, fileMode)
	if err != nil {
		return errors.Wrap(err, "open segment to truncate an incomplete frame")
	}
	defer file.Close()
	if err := file.Truncate(size); err != nil {
		return errors.Wrapf(err, "truncate incomplete frame at offset %d", size)
	}
	return errors.Wrap(file.Sync(), "sync segment after truncation")
}

func (l *Log) replay(payload []byte, s *segment, state *State) error {
	var f frame
	if err := decoder.Unmarshal(payload, &f); err != nil {
		return errors.Wrapf(ErrCorrupt, "decode frame: %v", err)
	}
	l.updateState(&f, s)
	if f.ResetTo != 0 {
		state.Entries = nil
	}
	if len(f.Entries) == 0 {
		return nil
	}
	if len(state.Entries) == 0 {
		state.Entries = f.Entries
		return nil
	}
	start, next := state.Entries[0].Index, state.Entries[len(state.Entries)-1].Index+1
	switch index := f.Entries[0].Index; {
	case index > next:
		return errors.Wrapf(ErrCorrupt, "entry %d follows entry %d", index, next-1)
	case index <= start:
		state.Entries = f.Entries
	default:
		state.Entries = append(state.Entries[:index-start], f.Entries...)
	}
	return nil
}
