package raft

import (
	"math"
	"time"

	"github.com/pkg/errors"
)

type indexedMembership struct {
	index      uint64
	membership Membership
}

// Node is the Raft state machine of one member. It is not safe for concurrent use.
type Node struct {
	cfg             Config
	hardState       HardState
	syncedHardState HardState
	log             *entryLog
	snapshot        Snapshot
	// memberships holds the membership of the snapshot and of each later membership entry in the log. The last one is in
	// effect, even while its entry is uncommitted.
	memberships []indexedMembership
	stable      uint64 // index of the last synced entry
	applied     uint64

	role             Role
	leader           string
	leaderContact    time.Time
	caughtUpAt       time.Time // see CaughtUpAt
	electionDeadline time.Time
	votes            map[string]bool

	progress     map[string]*progress
	voterChanges []voterChange
	// voterChangesFrom is the time from which voterChanges are complete: the start, or the last change that this node caught up on.
	voterChangesFrom time.Time
	waiting          map[string]time.Time // time of the last join request that was refused for want of a place, by member id
	heartbeatDue     time.Time
	termStartIndex   uint64 // index of the no-op entry of the leader's term
	readSeq          uint64
	pendingReads     []pendingRead

	// appendDue and commitDue make the next Ready send new entries or a new commit index to the followers. flushTime is
	// the time of the call that set them.
	appendDue, commitDue bool
	flushTime            time.Time

	incomingSnapshot *SnapshotPart // snapshot being received; Data holds the bytes received so far
	receivedSnapshot *Snapshot     // received snapshot that the caller has not restored yet

	messages    []Message
	readResults []ReadResult
}

type pendingRead struct {
	id    uint64
	seq   uint64
	index uint64
}

// New creates a node from the state read from disk.
func New(cfg Config, saved SavedState) (*Node, error) {
	if err := cfg.applyDefaultsAndValidate(); err != nil {
		return nil, err
	}
	log, err := newEntryLog(saved.Snapshot, saved.Entries)
	if err != nil {
		return nil, err
	}
	n := &Node{cfg: cfg, hardState: saved.HardState, syncedHardState: saved.HardState, log: log, snapshot: saved.Snapshot, waiting: make(map[string]time.Time)}
	n.memberships = []indexedMembership{{saved.Snapshot.Index, saved.Snapshot.Membership}}
	for i := range log.entries {
		if log.entries[i].Index > saved.Snapshot.Index {
			if err := n.recordMembership(&log.entries[i], false); err != nil {
				return nil, err
			}
		}
	}
	if term := log.lastTerm(); term > n.hardState.Term {
		// The process crashed after it synced the snapshot and before it synced the hard state, which has the old term.
		n.hardState.Term, n.hardState.Vote = term, ""
	}
	n.hardState.Commit = max(n.hardState.Commit, saved.Snapshot.Index)
	if n.hardState.Commit > log.lastIndex() {
		return nil, errors.Errorf("raft: saved commit index %d is after the last entry %d", n.hardState.Commit, log.lastIndex())
	}
	n.stable, n.applied = log.lastIndex(), saved.Snapshot.Index
	return n, nil
}

// Membership returns the membership in effect.
func (n *Node) Membership() Membership { return n.currentMembership().clone() }

func (n *Node) currentMembership() *Membership {
	return &n.memberships[len(n.memberships)-1].membership
}

func (n *Node) membershipIndex() uint64 { return n.memberships[len(n.memberships)-1].index }

// MembershipIndex returns the index of the entry that holds the membership in effect.
func (n *Node) MembershipIndex() uint64 { return n.membershipIndex() }

// membershipAtIndex returns the membership in effect at index.
func (n *Node) membershipAtIndex(index uint64) Membership {
	m := n.memberships[0].membership
	for _, entry := range n.memberships {
		if entry.index <= index {
			m = entry.membership
		}
	}
	return m
}

func (n *Node) ID() string { return n.cfg.ID }

func (n *Node) Role() Role { return n.role }

// Leader returns the member id of the leader, or an empty string if it is unknown.
func (n *Node) Leader() string { return n.leader }

func (n *Node) Term() uint64 { return n.hardState.Term }

// Commit returns the commit index.
func (n *Node) Commit() uint64 { return n.hardState.Commit }

// Applied returns the last index that Ready returned as committed and Advance confirmed.
func (n *Node) Applied() uint64 { return n.applied }

// LastIndex returns the index of the last log entry, committed or not.
func (n *Node) LastIndex() uint64 { return n.log.lastIndex() }

// LastSnapshot returns the last snapshot. The caller must not modify it.
func (n *Node) LastSnapshot() Snapshot { return n.snapshot }

// AppliedAfter returns the applied entries after an index, limited to maxBytes but at least one entry. ok is false if
// the entries were compacted, so that the caller needs the snapshot instead.
func (n *Node) AppliedAfter(after uint64, maxBytes int) (entries []Entry, ok bool) {
	if after < n.log.baseIndex {
		return nil, false
	}
	return n.log.slice(after+1, n.applied, maxBytes), true
}

// Deadline returns the latest time for the next call of Tick.
func (n *Node) Deadline() time.Time {
	if n.role == Leader {
		return n.heartbeatDue
	}
	return n.electionDeadline
}

// Tick handles timeouts: it starts elections, sends heartbeats and steps down as leader without a quorum.
func (n *Node) Tick(now time.Time) {
	if n.role == Leader {
		n.tickLeader(now)
		return
	}
	if n.electionDeadline.IsZero() {
		n.voterChangesFrom = now
		n.firstElectionDeadline(now)
		if !n.isOnlyVoter() {
			return
		}
	} else if now.Before(n.electionDeadline) {
		return
	}
	n.resetElectionDeadline(now)
	if n.currentMembership().IsVoter(n.cfg.ID) {
		n.startPreVote(now)
	}
}

// isOnlyVoter reports whether this node is the only voter, which elects itself without waiting for the election
// timeout.
func (n *Node) isOnlyVoter() bool {
	m := n.currentMembership()
	return len(m.Voters) == 1 && m.Voters[0] == n.cfg.ID
}

// firstElectionDeadline sets a shorter deadline than resetElectionDeadline, because there is no leader after a restart
// of the whole group. A member that restarts alone does not disturb a working leader, because its pre-vote fails.
func (n *Node) firstElectionDeadline(now time.Time) {
	spread := time.Duration(n.cfg.Rand.Int64N(int64(n.cfg.ElectionTimeout) / 2))
	n.electionDeadline = now.Add(n.cfg.HeartbeatInterval + spread)
}

func (n *Node) resetElectionDeadline(now time.Time) {
	spread := time.Duration(n.cfg.Rand.Int64N(int64(n.cfg.ElectionTimeout)))
	n.electionDeadline = now.Add(n.cfg.ElectionTimeout + spread)
}

// Step handles a message from another member.
func (n *Node) Step(now time.Time, m Message) error {
	if m.To != n.cfg.ID {
		return errors.Errorf("raft: message %v is addressed to %s, but this member is %s", m.Type, m.To, n.cfg.ID)
	}
	if m.From == "" || m.From == n.cfg.ID {
		return errors.Errorf("raft: message %v has invalid sender %q", m.Type, m.From)
	}
	if n.electionDeadline.IsZero() {
		n.voterChangesFrom = now
		n.resetElectionDeadline(now)
	}
	switch m.Type {
	case MsgPreVote:
		n.handlePreVote(now, &m)
		return nil
	case MsgVote:
		if m.Term > n.hardState.Term && n.hasRecentLeaderContact(now) && !m.Transfer {
			// A removed or partitioned member must not depose a leader with which this node has recent contact.
			return nil
		}
	case MsgPreVoteResponse:
		if !m.Reject {
			n.handlePreVoteResponse(now, &m)
			return nil
		}
	}
	if m.Term > n.hardState.Term {
		n.becomeFollower(now, m.Term, "")
	}
	if m.Term < n.hardState.Term {
		n.rejectStaleTerm(&m)
		return nil
	}
	return n.stepCurrentTerm(now, &m)
}

// rejectStaleTerm rejects a request of a stale term. The response carries the newer term, so that a stale leader or
// candidate steps down.
func (n *Node) rejectStaleTerm(m *Message) {
	switch m.Type {
	case MsgVote:
		n.send(Message{Type: MsgVoteResponse, To: m.From, Reject: true})
	case MsgAppend, MsgSnapshot, MsgHeartbeat:
		n.send(Message{Type: MsgAppendResponse, To: m.From, Reject: true})
	}
}

func (n *Node) stepCurrentTerm(now time.Time, m *Message) error {
	switch m.Type {
	case MsgVote:
		n.handleVote(now, m)
	case MsgVoteResponse:
		n.handleVoteResponse(now, m)
	case MsgPreVoteResponse:
		n.handlePreVoteResponse(now, m)
	case MsgAppend, MsgSnapshot, MsgHeartbeat:
		if n.role == Leader {
			return errors.Errorf("raft: two leaders in term %d: %s and %s", m.Term, n.cfg.ID, m.From)
		}
		n.follow(now, m.From)
		return n.handleLeaderMessage(m)
	case MsgTimeoutNow:
		if n.role != Leader && n.currentMembership().IsVoter(n.cfg.ID) {
			n.startElection(now, true)
		}
	case MsgAppendResponse, MsgSnapshotResponse, MsgHeartbeatResponse:
		if n.role == Leader {
			n.handleFollowerMessage(now, m)
		}
	default:
		return errors.Errorf("raft: unknown message type %d from %s", m.Type, m.From)
	}
	return nil
}

func (n *Node) follow(now time.Time, leader string) {
	n.role, n.leader, n.leaderContact, n.votes = Follower, leader, now, nil
	n.resetElectionDeadline(now)
}

func (n *Node) becomeFollower(now time.Time, term uint64, leader string) {
	if n.role == Leader {
		n.caughtUpAt = n.CaughtUpAt(now)
		for _, r := range n.pendingReads {
			n.readResults = append(n.readResults, ReadResult{ID: r.id, LeadershipLost: true})
		}
		n.pendingReads, n.progress = nil, nil
		n.resetElectionDeadline(now)
	}
	if term > n.hardState.Term {
		n.hardState.Term, n.hardState.Vote = term, ""
	}
	n.role, n.leader, n.votes = Follower, leader, nil
}

func (n *Node) send(m Message) {
	m.From = n.cfg.ID
	if m.Term == 0 {
		m.Term = n.hardState.Term
	}
	n.messages = append(n.messages, m)
}

// Ready returns the pending work, and false if there is none. Advance must be called before the next Ready.
func (n *Node) Ready() (Ready, bool) {
	n.flushAppends()
	r := Ready{HardState: n.hardState, SyncHardState: n.hardState != n.syncedHardState, Snapshot: n.receivedSnapshot,
		Messages: n.messages, Reads: n.readResults}
	last := n.log.lastIndex()
	if n.stable < last {
		r.Entries = n.log.slice(n.stable+1, last, math.MaxInt)
	}
	handedOut := n.applied
	if n.receivedSnapshot != nil {
		handedOut = max(handedOut, n.receivedSnapshot.Index)
	}
	if handedOut < n.hardState.Commit {
		r.Committed = n.log.slice(handedOut+1, n.hardState.Commit, math.MaxInt)
	}
	n.messages, n.readResults = nil, nil
	hasWork := r.SyncHardState || r.Snapshot != nil || len(r.Entries) > 0 || len(r.Messages) > 0 ||
		len(r.Committed) > 0 || len(r.Reads) > 0
	return r, hasWork
}

// Advance confirms that the caller has done the work of a Ready.
func (n *Node) Advance(now time.Time, r Ready) {
	if r.SyncHardState {
		n.syncedHardState = r.HardState
	}
	if r.Snapshot != nil {
		n.stable = max(n.stable, r.Snapshot.Index)
		n.applied = max(n.applied, r.Snapshot.Index)
		if n.receivedSnapshot == r.Snapshot {
			n.receivedSnapshot = nil
		}
	}
	if k := len(r.Entries); k > 0 && n.log.matches(r.Entries[k-1].Index, r.Entries[k-1].Term) {
		n.stable = max(n.stable, r.Entries[k-1].Index)
	}
	if k := len(r.Committed); k > 0 {
		n.applied = max(n.applied, r.Committed[k-1].Index)
	}
	if n.role == Leader {
		// The leader's own entries count towards the quorum only after they are synced.
		n.maybeCommit(now)
	}
}

// Compact records a snapshot of the applied state at index and drops the log entries up to keepAfter, or up to index if
// keepAfter is higher. The entries kept between them let followers that lag slightly catch up without a snapshot.
func (n *Node) Compact(index, keepAfter uint64, data []byte) (Snapshot, error) {
	if index > n.applied || index <= n.snapshot.Index {
		return Snapshot{}, errors.Errorf("raft: cannot take a snapshot at index %d: last snapshot at index %d, applied index %d", index, n.snapshot.Index, n.applied)
	}
	term, ok := n.log.term(index)
	if !ok {
		return Snapshot{}, errors.Errorf("raft: cannot take a snapshot at index %d: the entry was compacted", index)
	}
	membership := n.membershipAtIndex(index)
	n.snapshot = Snapshot{Index: index, Term: term, Membership: membership, Data: data}
	n.compactMemberships(index, membership)
	n.log.compact(min(keepAfter, index))
	return n.snapshot, nil
}

func (n *Node) compactMemberships(index uint64, base Membership) {
	kept := []indexedMembership{{index, base}}
	for _, entry := range n.memberships {
		if entry.index > index {
			kept = append(kept, entry)
		}
	}
	n.memberships = kept
}
