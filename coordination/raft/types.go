// Package raft is a consensus core without I/O, goroutines or clocks. The caller passes the time, messages and
// proposals in, and takes the state to sync, the messages to send and the entries to apply out of Ready.
//
// Every node has an id that is bound to the contents of its disk: name and disk incarnation, see MemberID. A disk that
// was lost gets a new incarnation, so its new id is in no membership and its votes count nowhere until the log has
// added it as a learner and promoted it.
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
	// maxRemoved bounds the ids remembered as removed. It is far above the disks that are lost while a delayed join
	// request can still arrive.
	maxRemoved = 64

	defaultElectionTimeout   = time.Second
	defaultHeartbeatInterval = 200 * time.Millisecond
	// defaultMaxEntryBytes keeps a message with one entry below the 1 MiB frame limit even in base64.
	defaultMaxEntryBytes   = 512 << 10
	defaultMaxMessageBytes = 64 << 10
	// defaultMaxInflight keeps what is under way to six followers, 1.5 MiB, below the 4 MiB burst of the byte rate limit
	// between instances, so that heartbeats do not queue behind a follower that catches up.
	defaultMaxInflight = 4
)

// MemberID joins an instance name and a disk incarnation.
func MemberID(name, incarnation string) string { return name + "@" + incarnation }

// MemberName returns the instance name of a member id.
func MemberName(id string) string {
	if i := strings.LastIndexByte(id, '@'); i >= 0 {
		return id[:i]
	}
	return id
}

// EntryKind tells what an entry holds.
type EntryKind uint8

// Kinds of entries.
const (
	EntryCommand    EntryKind = iota // a proposal
	EntryNoop                        // the first entry of a leader's term
	EntryMembership                  // an encoded Membership
)

// Entry is one entry of the log. ID is the unique id of the proposal.
type Entry struct {
	Index uint64    `cbor:"1,keyasint" json:"index"`
	Term  uint64    `cbor:"2,keyasint" json:"term"`
	Kind  EntryKind `cbor:"3,keyasint,omitempty" json:"kind,omitempty"`
	ID    string    `cbor:"4,keyasint,omitempty" json:"id,omitempty"`
	Data  []byte    `cbor:"5,keyasint,omitempty" json:"data,omitempty"`
}

const entryOverheadBytes = 48

func (e *Entry) bytes() int { return len(e.Data) + len(e.ID) + entryOverheadBytes }

// HardState must be synced before the messages of the same Ready are sent. Commit is part of it so that the applied
// index does not go back when a process restarts.
type HardState struct {
	Term   uint64
	Vote   string
	Commit uint64
}

// Membership lists the member ids of a group, each list sorted. Learners receive entries and do not count for quorums.
// Removed lists the ids removed last, oldest first; they are refused when they ask to join again.
type Membership struct {
	Voters   []string `cbor:"1,keyasint,omitempty" json:"voters,omitempty"`
	Learners []string `cbor:"2,keyasint,omitempty" json:"learners,omitempty"`
	Removed  []string `cbor:"3,keyasint,omitempty" json:"removed,omitempty"`
}

// IsVoter tells whether id is a voter.
func (m *Membership) IsVoter(id string) bool { return slices.Contains(m.Voters, id) }

// IsLearner tells whether id is a learner.
func (m *Membership) IsLearner(id string) bool { return slices.Contains(m.Learners, id) }

func (m *Membership) members() []string { return append(slices.Clone(m.Voters), m.Learners...) }

func (m *Membership) quorum() int { return len(m.Voters)/2 + 1 }

func (m *Membership) clone() Membership {
	return Membership{Voters: slices.Clone(m.Voters), Learners: slices.Clone(m.Learners), Removed: slices.Clone(m.Removed)}
}

// Snapshot replaces all entries up to Index.
type Snapshot struct {
	Index      uint64
	Term       uint64
	Membership Membership
	Data       []byte
}

// SnapshotPart is a piece of a snapshot on its way to a follower.
type SnapshotPart struct {
	Index      uint64     `cbor:"1,keyasint" json:"index"`
	Term       uint64     `cbor:"2,keyasint" json:"term"`
	Membership Membership `cbor:"3,keyasint" json:"membership"`
	Offset     int        `cbor:"4,keyasint" json:"offset"`
	Total      int        `cbor:"5,keyasint" json:"total"`
	Data       []byte     `cbor:"6,keyasint,omitempty" json:"data,omitempty"`
}

// MessageType tells what a message asks for or answers.
type MessageType uint8

// Types of messages.
const (
	MsgPreVote MessageType = iota + 1
	MsgPreVoteResponse
	MsgVote
	MsgVoteResponse
	MsgAppend
	MsgAppendResponse
	MsgSnapshot
	MsgSnapshotResponse
	MsgHeartbeat // keeps a follower that receives a snapshot from starting an election
	MsgHeartbeatResponse
	MsgTimeoutNow // asks a voter to start an election at once, because the leader leaves
)

var messageNames = [...]string{"", "PreVote", "PreVoteResponse", "Vote", "VoteResponse", "Append", "AppendResponse",
	"Snapshot", "SnapshotResponse", "Heartbeat", "HeartbeatResponse", "TimeoutNow"}

// String names the type.
func (t MessageType) String() string {
	if int(t) < len(messageNames) {
		return messageNames[t]
	}
	return fmt.Sprintf("MessageType(%d)", uint8(t))
}

// Message goes from one member to another. Index and LogTerm are the last entry of a candidate, the entry before
// Entries in an append, and the last matching entry in its response.
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
	// Transfer marks a vote request that the leader asked for, so that members vote although they hear their leader.
	Transfer bool `cbor:"15,keyasint,omitempty" json:"transfer,omitempty"`
}

// Config holds the parameters of a node. Zero durations and sizes take their defaults.
type Config struct {
	ID string
	// ElectionTimeout is the lower bound; the upper bound is twice as long.
	ElectionTimeout   time.Duration
	HeartbeatInterval time.Duration
	Rand              *rand.Rand
	MaxEntryBytes     int
	MaxMessageBytes   int
	// MaxInflight bounds the unacknowledged appends with entries per follower.
	MaxInflight int
}

func (c *Config) complete() error {
	if c.ID == "" {
		return errors.New("raft: member id is empty")
	}
	if c.Rand == nil {
		return errors.New("raft: random number generator is missing")
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

// SavedState is what the disk held when the process started. Entries are contiguous; they may start before the end of
// the snapshot.
type SavedState struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
}

// BootstrapSnapshot is the state in which the members of a new group start: the first entry of the log is the
// membership, and it is committed.
func BootstrapSnapshot(voters []string) Snapshot {
	voters = slices.Clone(voters)
	slices.Sort(voters)
	return Snapshot{Index: 1, Term: 1, Membership: Membership{Voters: voters}}
}

// Role of a node.
type Role uint8

// Roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

var roleNames = [...]string{"follower", "pre-candidate", "candidate", "leader"}

// String names the role.
func (r Role) String() string { return roleNames[r] }

// ReadResult answers ReadIndex. The read may be served once Index is applied. Lost means that leadership ended before
// it was confirmed.
type ReadResult struct {
	ID    uint64
	Index uint64
	Lost  bool
}

// Ready holds the work of the caller, in this order: sync Snapshot, Entries and HardState, send Messages, restore
// Snapshot, apply Committed, answer Reads, call Advance. An entry replaces the entry at its index and all after it.
type Ready struct {
	HardState     HardState
	SyncHardState bool
	Snapshot      *Snapshot
	Entries       []Entry
	Messages      []Message
	Committed     []Entry
	Reads         []ReadResult
}

// ErrNotLeader is returned for requests that only the leader can serve.
type ErrNotLeader struct {
	Leader string // empty when unknown
}

// Error names the leader.
func (e ErrNotLeader) Error() string {
	if e.Leader == "" {
		return "raft: not the leader; the leader is unknown"
	}
	return fmt.Sprintf("raft: not the leader; the leader is %s", e.Leader)
}

// Errors of membership changes and proposals.
var (
	ErrChangePending = errors.New("raft: another membership change is not committed yet")
	ErrRemoved       = errors.New("raft: this member id was removed and cannot join again")
	ErrTooManyVoters = errors.Errorf("raft: the group already has %d voters", MaxVoters)
	ErrLastVoter     = errors.New("raft: the last voter cannot be removed")
	ErrUnknownMember = errors.New("raft: no such member")
	ErrEntryTooLarge = errors.New("raft: entry exceeds the size limit")
)
