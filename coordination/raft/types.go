// Package raft implements the Raft consensus algorithm as a deterministic state machine without I/O, goroutines or
// clocks. The caller passes in the time, messages and proposals. Ready returns the state to sync, the messages to send
// and the entries to apply.
//
// A member id consists of the instance name and a disk incarnation, see MemberID. After a disk loss the instance gets a
// new incarnation and thus a new member id. Its votes do not count until a membership entry adds the new id as a
// learner and a later one promotes it.
package raft

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/state/defaults"
)

const (
	// MaxVoters bounds the voters of one group.
	MaxVoters = 7
	// maxRemovedIDs bounds Membership.Removed. It is far above the number of disks that can be lost before a delayed join
	// request with an old id arrives.
	maxRemovedIDs = 64

	defaultElectionTimeout   = time.Second
	defaultHeartbeatInterval = 200 * time.Millisecond
	// defaultMaxEntryBytes keeps a message with one entry below the 1 MiB frame limit even when it is encoded in base64.
	defaultMaxEntryBytes   = 512 << 10
	defaultMaxMessageBytes = 64 << 10
	// defaultMaxInflight limits the unacknowledged data for six followers to 1.5 MiB, below the 4 MiB burst of the byte
	// rate limit between instances, so that heartbeats do not queue behind appends to a follower that is catching up.
	defaultMaxInflight = 4
)

// MemberID returns the member id for an instance name and a disk incarnation.
func MemberID(name, incarnation string) string { return name + "@" + incarnation }

// MemberName returns the instance name of a member id.
func MemberName(id string) string {
	if i := strings.LastIndexByte(id, '@'); i >= 0 {
		return id[:i]
	}
	return id
}

// EntryKind is the type of a log entry's payload.
type EntryKind uint8

// Entry kinds.
const (
	EntryCommand    EntryKind = iota // a proposal
	EntryNoop                        // the first entry that a new leader appends in its term
	EntryMembership                  // an encoded Membership
)

// Entry is a log entry. ID is the unique id of the proposal.
type Entry struct {
	Index uint64    `cbor:"1,keyasint" json:"index"`
	Term  uint64    `cbor:"2,keyasint" json:"term"`
	Kind  EntryKind `cbor:"3,keyasint,omitempty" json:"kind,omitempty"`
	ID    string    `cbor:"4,keyasint,omitempty" json:"id,omitempty"`
	Data  []byte    `cbor:"5,keyasint,omitempty" json:"data,omitempty"`
}

const entryOverheadBytes = 48

func (e *Entry) sizeBytes() int { return len(e.Data) + len(e.ID) + entryOverheadBytes }

// HardState must be synced before the messages of the same Ready are sent. It includes the commit index so that the
// applied index does not go back when a process restarts.
type HardState struct {
	Term   uint64
	Vote   string
	Commit uint64
}

// Membership lists the member ids of a group. Voters and Learners are sorted. Learners receive entries but do not count
// towards a quorum. Removed lists the most recently removed ids, oldest first; they cannot join again.
type Membership struct {
	Voters   []string `cbor:"1,keyasint,omitempty" json:"voters,omitempty"`
	Learners []string `cbor:"2,keyasint,omitempty" json:"learners,omitempty"`
	Removed  []string `cbor:"3,keyasint,omitempty" json:"removed,omitempty"`
}

func (m *Membership) IsVoter(id string) bool { return slices.Contains(m.Voters, id) }

func (m *Membership) IsLearner(id string) bool { return slices.Contains(m.Learners, id) }

// wasRemoved reports whether an earlier member of an instance is among the removed ones.
func (m *Membership) wasRemoved(name string) bool {
	return slices.ContainsFunc(m.Removed, func(id string) bool { return MemberName(id) == name })
}

func (m *Membership) members() []string { return append(slices.Clone(m.Voters), m.Learners...) }

func (m *Membership) quorum() int { return len(m.Voters)/2 + 1 }

func (m *Membership) clone() Membership {
	return Membership{Voters: slices.Clone(m.Voters), Learners: slices.Clone(m.Learners), Removed: slices.Clone(m.Removed)}
}

// Snapshot replaces all log entries up to and including Index.
type Snapshot struct {
	Index      uint64
	Term       uint64
	Membership Membership
	Data       []byte
}

// SnapshotPart is one chunk of a snapshot that the leader sends to a follower.
type SnapshotPart struct {
	Index      uint64     `cbor:"1,keyasint" json:"index"`
	Term       uint64     `cbor:"2,keyasint" json:"term"`
	Membership Membership `cbor:"3,keyasint" json:"membership"`
	Offset     int        `cbor:"4,keyasint" json:"offset"`
	Total      int        `cbor:"5,keyasint" json:"total"`
	Data       []byte     `cbor:"6,keyasint,omitempty" json:"data,omitempty"`
}

// MessageType identifies a request or response.
type MessageType uint8

// Message types.
const (
	MsgPreVote MessageType = iota + 1
	MsgPreVoteResponse
	MsgVote
	MsgVoteResponse
	MsgAppend
	MsgAppendResponse
	MsgSnapshot
	MsgSnapshotResponse
	MsgHeartbeat // keeps a follower from starting an election while it receives a snapshot
	MsgHeartbeatResponse
	MsgTimeoutNow // tells a voter to start an election at once, to transfer leadership to it
)

var messageNames = [...]string{"", "PreVote", "PreVoteResponse", "Vote", "VoteResponse", "Append", "AppendResponse",
	"Snapshot", "SnapshotResponse", "Heartbeat", "HeartbeatResponse", "TimeoutNow"}

// String returns the name of the message type.
func (t MessageType) String() string {
	if int(t) < len(messageNames) {
		return messageNames[t]
	}
	return fmt.Sprintf("MessageType(%d)", uint8(t))
}

// Message is sent from one member to another. Index and LogTerm identify the last entry of a candidate in a vote
// request and the entry before Entries in an append. In a response to an append, Index is the last matching entry or,
// with Reject, the entry that did not match; Hint and HintTerm then name an earlier entry to try next. In a response to
// a snapshot part, Hint is the number of bytes received.
type Message struct {
	Type     MessageType   `cbor:"1,keyasint" json:"type"`
	Cluster  string        `cbor:"2,keyasint,omitempty" json:"cluster,omitempty"`
	From     string        `cbor:"3,keyasint" json:"from"`
	To       string        `cbor:"4,keyasint" json:"to"`
	Term     uint64        `cbor:"5,keyasint" json:"term"`
	Index    uint64        `cbor:"6,keyasint,omitempty" json:"index,omitempty"`
	LogTerm  uint64        `cbor:"7,keyasint,omitempty" json:"log_term,omitempty"`
	Commit   uint64        `cbor:"8,keyasint,omitempty" json:"commit,omitempty"`
	Entries  []Entry       `cbor:"9,keyasint,omitempty" json:"entries,omitempty"`
	Reject   bool          `cbor:"10,keyasint,omitempty" json:"reject,omitempty"`
	Hint     uint64        `cbor:"11,keyasint,omitempty" json:"hint,omitempty"`
	HintTerm uint64        `cbor:"12,keyasint,omitempty" json:"hint_term,omitempty"`
	ReadSeq  uint64        `cbor:"13,keyasint,omitempty" json:"read_seq,omitempty"`
	Part     *SnapshotPart `cbor:"14,keyasint,omitempty" json:"part,omitempty"`
	// Transfer marks a vote request of a leadership transfer. Voters answer it although they have recent contact with the
	// leader.
	Transfer bool `cbor:"15,keyasint,omitempty" json:"transfer,omitempty"`
}

// Config holds the parameters of a node. Zero durations and sizes are replaced by defaults.
type Config struct {
	ID string
	// ElectionTimeout is the lower bound of the randomized election timeout. The upper bound is twice as long.
	ElectionTimeout   time.Duration
	HeartbeatInterval time.Duration
	Rand              *rand.Rand
	MaxEntryBytes     int
	MaxMessageBytes   int
	// MaxInflight bounds the unacknowledged appends with entries per follower.
	MaxInflight int
}

func (c *Config) applyDefaultsAndValidate() error {
	if c.ID == "" {
		return errors.New("raft: Config.ID is empty")
	}
	if c.Rand == nil {
		return errors.New("raft: Config.Rand is nil")
	}
	defaults.Positive(&c.ElectionTimeout, defaultElectionTimeout)
	defaults.Positive(&c.HeartbeatInterval, defaultHeartbeatInterval)
	defaults.Positive(&c.MaxEntryBytes, defaultMaxEntryBytes)
	defaults.Positive(&c.MaxMessageBytes, defaultMaxMessageBytes)
	defaults.Positive(&c.MaxInflight, defaultMaxInflight)
	if c.HeartbeatInterval >= c.ElectionTimeout {
		return errors.Errorf("raft: heartbeat interval %v is not below the election timeout %v",
			c.HeartbeatInterval, c.ElectionTimeout)
	}
	return nil
}

// SavedState is the state read from disk at startup. Entries are contiguous and may overlap with the snapshot.
type SavedState struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
}

// BootstrapSnapshot returns the initial snapshot of the members of a new group. It stands for a log with one committed
// entry, the membership.
func BootstrapSnapshot(voters []string) Snapshot {
	voters = slices.Clone(voters)
	slices.Sort(voters)
	return Snapshot{Index: 1, Term: 1, Membership: Membership{Voters: voters}}
}

// Role is the Raft role of a node.
type Role uint8

// Raft roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

var roleNames = [...]string{"follower", "pre-candidate", "candidate", "leader"}

// String returns the name of the role.
func (r Role) String() string { return roleNames[r] }

// ReadResult is the result of ReadIndex. The read may be served once the entry at Index is applied. LeadershipLost
// means that the node lost leadership before a quorum confirmed it.
type ReadResult struct {
	ID             uint64
	Index          uint64
	LeadershipLost bool
}

// Ready holds the pending work for the caller, in this order: sync Snapshot, Entries and HardState, send Messages,
// restore Snapshot, apply Committed, answer Reads, call Advance. An entry in Entries replaces the stored entry at its
// index and all stored entries after it.
type Ready struct {
	HardState     HardState
	SyncHardState bool
	Snapshot      *Snapshot
	Entries       []Entry
	Messages      []Message
	Committed     []Entry
	Reads         []ReadResult
}

// NotLeaderError is the error of a request that only the leader can serve.
type NotLeaderError struct {
	Leader string // member id, empty if unknown
}

// Error returns the message, which names the leader if it is known.
func (e NotLeaderError) Error() string {
	if e.Leader == "" {
		return "raft: not the leader; the leader is unknown"
	}
	return fmt.Sprintf("raft: not the leader; the leader is %s", e.Leader)
}

// Errors of membership changes and proposals.
var (
	ErrChangePending = errors.New("raft: the previous membership change or the first entry of this term is not committed yet")
	ErrRemoved       = errors.New("raft: this member id was removed and cannot join again")
	ErrTooManyVoters = errors.Errorf("raft: the group already has %d voters", MaxVoters)
	ErrLastVoter     = errors.New("raft: the last voter cannot be removed")
	ErrUnknownMember = errors.New("raft: no such member")
	ErrEntryTooLarge = errors.New("raft: entry exceeds the size limit")
)
