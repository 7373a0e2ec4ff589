package routes

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"io"
	"sync"

	"github.com/pkg/errors"
)

// CompressedDocument is the compressed source text of one version of the document.
type CompressedDocument struct {
	Version uint64
	Data    []byte
}

const (
	versionBytes = 8
	// MaxDocumentBytes limits the size of an unpacked document, because a corrupt one may unpack to any size.
	MaxDocumentBytes = 16 << 20
)

// Pack compresses the source text of a document.
func Pack(version uint64, source []byte) (CompressedDocument, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return CompressedDocument{}, errors.Wrap(err, "compress document")
	}
	if _, err = w.Write(source); err == nil {
		err = w.Close()
	}
	return CompressedDocument{Version: version, Data: b.Bytes()}, errors.Wrap(err, "compress document")
}

// Unpack returns the source text of the document.
func (p CompressedDocument) Unpack() ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(p.Data)), MaxDocumentBytes+1))
	if err != nil {
		return nil, errors.Wrapf(err, "unpack document version %d", p.Version)
	}
	if len(data) > MaxDocumentBytes {
		return nil, errors.Errorf("document version %d unpacks to more than %d bytes", p.Version, MaxDocumentBytes)
	}
	return data, nil
}

// Encode returns the command that proposes the version.
func (p CompressedDocument) Encode() []byte {
	return append(binary.BigEndian.AppendUint64(nil, p.Version), p.Data...)
}

func decodePacked(b []byte) (CompressedDocument, error) {
	if len(b) < versionBytes {
		return CompressedDocument{}, errors.New("document command is shorter than its version")
	}
	return CompressedDocument{Version: binary.BigEndian.Uint64(b), Data: bytes.Clone(b[versionBytes:])}, nil
}

// Store is the replicated state machine that keeps the highest version that was applied. It is safe for concurrent use.
type Store struct {
	onChange func(CompressedDocument)

	mu     sync.Mutex
	active CompressedDocument
}

// NewStore returns an empty store. onChange is called for each version that becomes active; it must not block.
func NewStore(onChange func(CompressedDocument)) *Store { return &Store{onChange: onChange} }

// Active returns the active version; Version is 0 before the first one.
func (s *Store) Active() CompressedDocument {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active
}

// Apply activates a proposed version. A version that is not higher than the active one is ignored, whatever its content.
func (s *Store) Apply(_ uint64, command []byte) ([]byte, error) {
	p, err := decodePacked(command)
	if err != nil {
		return nil, err
	}
	s.activateIfNewer(p)
	return nil, nil
}

func (s *Store) activateIfNewer(p CompressedDocument) {
	s.mu.Lock()
	newer := p.Version > s.active.Version
	if newer {
		s.active = p
	}
	s.mu.Unlock()
	if newer {
		s.onChange(p)
	}
}

// Snapshot encodes the active version.
func (s *Store) Snapshot() ([]byte, error) { return s.Active().Encode(), nil }

// Restore activates the version of a snapshot, unless the active one is at least as high.
func (s *Store) Restore(data []byte) error {
	p, err := decodePacked(data)
	if err != nil {
		return err
	}
	s.activateIfNewer(p)
	return nil
}
