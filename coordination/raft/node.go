package raft

import (
	"math"
	"time"

	"github.com/pkg/errors"
)

type membershipAt struct {
	index      uint64
	membership Membership
}

// Node is the state of one member. It is not safe for concurrent use.
type Node struct {
	cfg      Config
	hard     HardState
	saved    HardState
	log      *entryLog
	snapshot Snapshot
	// memberships holds the membership of the snapshot and of each later entry that changes it. The last one is in
	// effect as soon as its entry is in the log, committed or not.
	memberships []membershipAt
	stable      uint64 // last synced entry
	applied     uint64

	role             Role
	leader           string
	leaderContact    time.Time
	electionDeadline time.Time
	votes            map[string]bool

	progress     map[string]*progress
	heartbeatDue time.Time
	termStart    uint64 // index of the no-op entry of the leader's term
	readSeq      uint64
	reads        []pendingRead

	// appendDue and commitDue ask Ready to tell the followers about new entries and a new commit index. now is the time
	// of the call that set them.
	appendDue, commitDue bool
	now                  time.Time

	incoming  *SnapshotPart // Data holds what has arrived
	installed *Snapshot     // received, not yet handed out by Ready

	messages    []Message
	readResults []ReadResult
}

type pendingRead struct {
	id    uint64
	seq   uint64
	index uint64
}

// New makes a node from what the disk held.
func New(cfg Config, saved SavedState) (*Node, error) {
	if err := cfg.complete(); err != nil {
		return nil, err
	}
	log, err := newEntryLog(saved.Snapshot, saved.Entries)
	if err != nil {
		return nil, err
	}
	n := &Node{cfg: cfg, hard: saved.HardState, saved: saved.HardState, log: log, snapshot: saved.Snapshot}
	n.memberships = []membershipAt{{saved.Snapshot.Index, saved.Snapshot.Membership}}
	for i := range log.entries {
		if log.entries[i].Index > saved.Snapshot.Index {
			if err := n.noteMembership(&log.entries[i]); err != nil {
				return nil, err
			}
		}
	}
	if term := log.lastTerm(); term > n.hard.Term {
		// A crash between the sync of a snapshot and of the hard state leaves the older term.
		n.hard.Term, n.hard.Vote = term, ""
	}
	n.hard.Commit = max(n.hard.Commit, saved.Snapshot.Index)
	if n.hard.Commit > log.lastIndex() {
		return nil, errors.Errorf("raft: saved commit index %d is after the last entry %d", n.hard.Commit, log.lastIndex())
	}
	n.stable, n.applied = log.lastIndex(), saved.Snapshot.Index
	return n, nil
}

// Membership returns the membership in effect.
func (n *Node) Membership() Membership { return n.current().clone() }

func (n *Node) current() *Membership { return &n.memberships[len(n.memberships)-1].membership }

func (n *Node) membershipIndex() uint64 { return n.memberships[len(n.memberships)-1].index }

// MembershipIndex returns the index of the entry that holds the membership in effect.
func (n *Node) MembershipIndex() uint64 { return n.membershipIndex() }

// membershipBefore returns the membership in effect at index.
func (n *Node) membershipBefore(index uint64) Membership {
	m := n.memberships[0].membership
	for _, at := range n.memberships {
		if at.index <= index {
			m = at.membership
		}
	}
	return m
}

// ID returns the member id.
func (n *Node) ID() string { return n.cfg.ID }

// Role returns the current role.
func (n *Node) Role() Role { return n.role }

// Leader returns the id of the known leader, or an empty string.
func (n *Node) Leader() string { return n.leader }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.hard.Term }

// Commit returns the last committed index.
func (n *Node) Commit() uint64 { return n.hard.Commit }

// Applied returns the last index that was handed out by Ready and confirmed by Advance.
func (n *Node) Applied() uint64 { return n.applied }

// LastIndex returns the index of the last entry.
func (n *Node) LastIndex() uint64 { return n.log.lastIndex() }

// LastSnapshot returns the last snapshot. The caller must not change it.
func (n *Node) LastSnapshot() Snapshot { return n.snapshot }

// AppliedAfter returns applied entries after an index, limited to maxBytes but at least one entry. ok is false when
// the entries were compacted, so that the caller needs the snapshot.
func (n *Node) AppliedAfter(after uint64, maxBytes int) (entries []Entry, ok bool) {
	if after < n.log.baseIndex {
		return nil, false
	}
	return n.log.slice(after+1, n.applied, maxBytes), true
}

// Deadline returns when Tick must be called at the latest.
func (n *Node) Deadline() time.Time {
	if n.role == Leader {
		return n.heartbeatDue
	}
	return n.electionDeadline
}

// Tick lets the node act on the time: start elections, send heartbeats, give up leadership without a quorum.
func (n *Node) Tick(now time.Time) {
	if n.role == Leader {
		n.tickLeader(now)
		return
	}
	if n.electionDeadline.IsZero() {
		n.firstElectionDeadline(now)
		if !n.aloneVoter() {
			return
		}
	} else if now.Before(n.electionDeadline) {
		return
	}
	n.resetElectionDeadline(now)
	if n.current().IsVoter(n.cfg.ID) {
		n.startPreVote(now)
	}
}

// aloneVoter allows a group of one voter to elect itself without waiting.
func (n *Node) aloneVoter() bool {
	m := n.current()
	return len(m.Voters) == 1 && m.Voters[0] == n.cfg.ID
}

// firstElectionDeadline is short: after a restart of the whole group nobody leads, and the pre-vote keeps a member that
// restarts alone from disturbing a leader that the others hear.
func (n *Node) firstElectionDeadline(now time.Time) {
	spread := time.Duration(n.cfg.Rand.Int64N(int64(n.cfg.ElectionTimeout) / 2))
	n.electionDeadline = now.Add(n.cfg.HeartbeatInterval + spread)
}

func (n *Node) resetElectionDeadline(now time.Time) {
	spread := time.Duration(n.cfg.Rand.Int64N(int64(n.cfg.ElectionTimeout)))
	n.electionDeadline = now.Add(n.cfg.ElectionTimeout + spread)
}

// Step handles a message of another member.
func (n *Node) Step(now time.Time, m Message) error {
	if m.To != n.cfg.ID {
		return errors.Errorf("raft: message %v is for %s, this is %s", m.Type, m.To, n.cfg.ID)
	}
	if m.From == "" || m.From == n.cfg.ID {
		return errors.Errorf("raft: message %v has sender %q", m.Type, m.From)
	}
	if n.electionDeadline.IsZero() {
		n.resetElectionDeadline(now)
	}
	switch m.Type {
	case MsgPreVote:
		n.handlePreVote(now, &m)
		return nil
	case MsgVote:
		if m.Term > n.hard.Term && n.leaderIsRecent(now) && !m.Transfer {
			// A member that was removed or cut off must not depose a leader that the others still hear.
			return nil
		}
	case MsgPreVoteResponse:
		if !m.Reject {
			n.handlePreVoteResponse(now, &m)
			return nil
		}
	}
	if m.Term > n.hard.Term {
		n.becomeFollower(now, m.Term, "")
	}
	if m.Term < n.hard.Term {
		n.answerOldTerm(&m)
		return nil
	}
	return n.stepCurrentTerm(now, &m)
}

// answerOldTerm tells the sender the newer term, so that an old leader or candidate gives up.
func (n *Node) answerOldTerm(m *Message) {
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
		if n.role != Leader && n.current().IsVoter(n.cfg.ID) {
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
		for _, r := range n.reads {
			n.readResults = append(n.readResults, ReadResult{ID: r.id, Lost: true})
		}
		n.reads, n.progress = nil, nil
		n.resetElectionDeadline(now)
	}
	if term > n.hard.Term {
		n.hard.Term, n.hard.Vote = term, ""
	}
	n.role, n.leader, n.votes = Follower, leader, nil
}

func (n *Node) send(m Message) {
	m.From = n.cfg.ID
	if m.Term == 0 {
		m.Term = n.hard.Term
	}
	n.messages = append(n.messages, m)
}

// Ready returns the work to do, and false when there is none. Advance must be called before the next Ready.
func (n *Node) Ready() (Ready, bool) {
	n.flushAppends()
	r := Ready{HardState: n.hard, SyncHardState: n.hard != n.saved, Snapshot: n.installed,
		Messages: n.messages, Reads: n.readResults}
	last := n.log.lastIndex()
	if n.stable < last {
		r.Entries = n.log.slice(n.stable+1, last, math.MaxInt)
	}
	from := n.applied
	if n.installed != nil {
		from = max(from, n.installed.Index)
	}
	if from < n.hard.Commit {
		r.Committed = n.log.slice(from+1, n.hard.Commit, math.MaxInt)
	}
	n.messages, n.readResults = nil, nil
	work := r.SyncHardState || r.Snapshot != nil || len(r.Entries) > 0 || len(r.Messages) > 0 ||
		len(r.Committed) > 0 || len(r.Reads) > 0
	return r, work
}

// Advance tells the node that the work of a Ready is done.
func (n *Node) Advance(now time.Time, r Ready) {
	if r.SyncHardState {
		n.saved = r.HardState
	}
	if r.Snapshot != nil {
		n.stable = max(n.stable, r.Snapshot.Index)
		n.applied = max(n.applied, r.Snapshot.Index)
		if n.installed == r.Snapshot {
			n.installed = nil
		}
	}
	if k := len(r.Entries); k > 0 && n.log.matches(r.Entries[k-1].Index, r.Entries[k-1].Term) {
		n.stable = max(n.stable, r.Entries[k-1].Index)
	}
	if k := len(r.Committed); k > 0 {
		n.applied = max(n.applied, r.Committed[k-1].Index)
	}
	if n.role == Leader {
		// The leader's own copy counts for the quorum only now that it is synced.
		n.maybeCommit(now)
	}
}

// Compact installs a snapshot of the applied state at index and drops entries up to keepAfter, which is at most index.
// Entries that are kept spare slightly late followers a snapshot.
func (n *Node) Compact(index, keepAfter uint64, data []byte) (Snapshot, error) {
	if index > n.applied || index <= n.snapshot.Index {
		return Snapshot{}, errors.Errorf("raft: snapshot at %d, last snapshot at %d, applied %d", index, n.snapshot.Index, n.applied)
	}
	term, ok := n.log.term(index)
	if !ok {
		return Snapshot{}, errors.Errorf("raft: entry %d was compacted", index)
	}
	membership := n.membershipBefore(index)
	n.snapshot = Snapshot{Index: index, Term: term, Membership: membership, Data: data}
	n.dropMemberships(index, membership)
	n.log.compact(min(keepAfter, index))
	return n.snapshot, nil
}

func (n *Node) dropMemberships(index uint64, base Membership) {
	kept := []membershipAt{{index, base}}
	for _, at := range n.memberships {
		if at.index > index {
			kept = append(kept, at)
		}
	}
	n.memberships = kept
}
