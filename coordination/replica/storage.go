package replica

import (
	"encoding/base64"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/coordination/raft"
	"github.com/tarragonhoist/tarragonhoist/state/wal"
)

const (
	identityFile = "identity"
	logFolder    = "log"
)

// identity binds a data folder to an instance, to one incarnation of its disk and, once it is known, to a cluster. A
// folder without an identity file is new: it gets a new incarnation and thus a member id that no membership has ever
// contained. A folder must not be copied or restored from a backup: the votes and acknowledgements that the member gave
// after the copy was made would be missing.
type identity struct {
	Group       string `cbor:"1,keyasint"`
	Name        string `cbor:"2,keyasint"`
	Incarnation string `cbor:"3,keyasint"`
	Cluster     string `cbor:"4,keyasint"`
	// Founders are the initial member ids of a new group. They are stored here so that a restart can write the bootstrap
	// snapshot if the log does not contain it yet.
	Founders []string `cbor:"5,keyasint"`
}

// newIncarnation returns a random UUID. Base64 is shorter than the usual text form and so keeps heartbeats smaller.
func newIncarnation() string {
	id := uuid.New()
	return base64.RawURLEncoding.EncodeToString(id[:])
}

func (i *identity) id() string { return raft.MemberID(i.Name, i.Incarnation) }

// storage stores the identity and the log of a replica. If folder is empty, nothing is stored on disk.
type storage struct {
	files    wal.FileSystem
	folder   string
	identity identity
	log      *wal.Log
}

func openStorage(o *Options) (*storage, raft.SavedState, int64, error) {
	s := &storage{files: o.Files, identity: identity{Group: o.Name, Name: o.Self, Incarnation: newIncarnation()}}
	if o.DataDir == "" {
		return s, raft.SavedState{}, 0, nil
	}
	s.folder = filepath.Join(o.DataDir, o.Name)
	if err := wal.MakeDirIn(s.files, s.folder); err != nil {
		return nil, raft.SavedState{}, 0, err
	}
	hasIdentity, err := s.readIdentity(o)
	if err != nil {
		return nil, raft.SavedState{}, 0, err
	}
	log, state, err := wal.Open(filepath.Join(s.folder, logFolder), wal.Options{Files: s.files})
	if err != nil {
		return nil, raft.SavedState{}, 0, err
	}
	s.log = log
	saved, err := fromWALState(&state)
	if err == nil && !hasIdentity {
		s.setFounderIdentity(o)
		err = s.saveFirstIdentity(&saved)
	}
	if err != nil {
		_ = log.Close()
		return nil, raft.SavedState{}, 0, err
	}
	return s, saved, state.TruncatedBytes, nil
}

func (s *storage) readIdentity(o *Options) (hasIdentity bool, err error) {
	path := filepath.Join(s.folder, identityFile)
	content, err := s.files.ReadFile(path)
	if os.IsNotExist(err) {
		return false, nil
	}
	if err != nil {
		return false, errors.Wrap(err, "read identity file")
	}
	var i identity
	if err := cbor.Unmarshal(content, &i); err != nil {
		return false, errors.Wrapf(err, "decode %s", path)
	}
	if i.Group != o.Name || i.Name != o.Self || i.Incarnation == "" {
		return false, errors.Errorf("%s belongs to group %q of instance %q, expected group %q of instance %q",
			s.folder, i.Group, i.Name, o.Name, o.Self)
	}
	segments, err := filepath.Glob(filepath.Join(s.folder, logFolder, "*.wal"))
	if err != nil {
		return false, errors.Wrap(err, "list log segments")
	}
	if len(segments) == 0 {
		// The log is created before the identity file, so it existed and was lost. A member that continued without it
		// could vote twice in a term or drop entries that it acknowledged.
		return false, errors.Errorf("the log of %s is missing; remove the folder to join as a new member", s.folder)
	}
	s.identity = i
	return true, nil
}

// founderIncarnation is the disk incarnation of all founders of a dynamic group. A fixed value lets each founder derive
// the member ids of the others without contacting them. An instance that loses its disk later gets a random one.
const founderIncarnation = "founder"

// setFounderIdentity gives a new folder the identity of a founder if Options.InitialVoters contains this instance.
func (s *storage) setFounderIdentity(o *Options) {
	if !slices.Contains(o.InitialVoters, o.Self) {
		return
	}
	s.identity.Incarnation = founderIncarnation
	for _, name := range o.InitialVoters {
		s.identity.Founders = append(s.identity.Founders, raft.MemberID(name, founderIncarnation))
	}
	slices.Sort(s.identity.Founders)
	s.identity.Cluster = o.Name + ":" + strings.Join(s.identity.Founders, ",")
}

func (s *storage) saveFirstIdentity(saved *raft.SavedState) error {
	if saved.HardState != (raft.HardState{}) || saved.Snapshot.Index != 0 || len(saved.Entries) != 0 {
		return errors.Errorf("identity file of %s is missing, but its log is not empty", s.folder)
	}
	return s.saveIdentity()
}

func (s *storage) saveIdentity() error {
	if s.folder == "" {
		return nil
	}
	content, err := cbor.Marshal(s.identity)
	if err != nil {
		return errors.Wrap(err, "encode identity")
	}
	return wal.WriteFileIn(s.files, filepath.Join(s.folder, identityFile), content)
}

// bindToCluster binds the folder to a cluster. The binding is synced before any data of that cluster is stored.
// If that fails, the identity stays as it was.
func (s *storage) bindToCluster(cluster string, founders []string) error {
	before := s.identity
	s.identity.Cluster, s.identity.Founders = cluster, slices.Clone(founders)
	if err := s.saveIdentity(); err != nil {
		s.identity = before
		return err
	}
	return nil
}

func fromWALState(state *wal.State) (raft.SavedState, error) {
	saved := raft.SavedState{HardState: raft.HardState(state.HardState)}
	saved.Snapshot = raft.Snapshot{Index: state.Snapshot.Index, Term: state.Snapshot.Term, Data: state.Snapshot.Data}
	if len(state.Snapshot.Meta) > 0 {
		if err := cbor.Unmarshal(state.Snapshot.Meta, &saved.Snapshot.Membership); err != nil {
			return saved, errors.Wrap(err, "decode membership of snapshot")
		}
	}
	for _, e := range state.Entries {
		saved.Entries = append(saved.Entries, raft.Entry{Index: e.Index, Term: e.Term, Kind: raft.EntryKind(e.Kind), ID: e.ID, Data: e.Data})
	}
	return saved, nil
}

func toWALSnapshot(s *raft.Snapshot) (wal.Snapshot, error) {
	meta, err := cbor.Marshal(s.Membership)
	return wal.Snapshot{Index: s.Index, Term: s.Term, Meta: meta, Data: s.Data}, errors.Wrap(err, "encode membership")
}

// save writes the hard state, entries and snapshot of a Ready to disk and syncs them.
func (s *storage) save(r *raft.Ready) error {
	if s.log == nil {
		return nil
	}
	hardState := wal.HardState(r.HardState)
	if r.Snapshot != nil {
		snapshot, err := toWALSnapshot(r.Snapshot)
		if err != nil {
			return err
		}
		if err := s.log.InstallSnapshot(snapshot, hardState); err != nil {
			return err
		}
	}
	entries := make([]wal.Entry, len(r.Entries))
	for i, e := range r.Entries {
		entries[i] = wal.Entry{Index: e.Index, Term: e.Term, Kind: uint8(e.Kind), ID: e.ID, Data: e.Data}
	}
	var changed *wal.HardState
	if r.SyncHardState {
		changed = &hardState
	}
	return s.log.Append(changed, entries)
}

func (s *storage) saveSnapshot(snapshot *raft.Snapshot, keepAfter uint64) error {
	if s.log == nil {
		return nil
	}
	converted, err := toWALSnapshot(snapshot)
	if err != nil {
		return err
	}
	return s.log.SaveSnapshot(converted, keepAfter)
}

// installBootstrapSnapshot stores the bootstrap snapshot of a new group, which holds the initial membership.
func (s *storage) installBootstrapSnapshot() (raft.SavedState, error) {
	snapshot := raft.BootstrapSnapshot(s.identity.Founders)
	hardState := raft.HardState{Term: snapshot.Term, Commit: snapshot.Index}
	converted, err := toWALSnapshot(&snapshot)
	if err != nil {
		return raft.SavedState{}, err
	}
	if err := s.log.InstallSnapshot(converted, wal.HardState(hardState)); err != nil {
		return raft.SavedState{}, err
	}
	return raft.SavedState{HardState: hardState, Snapshot: snapshot}, nil
}

func (s *storage) close() error {
	if s.log == nil {
		return nil
	}
	return s.log.Close()
}
