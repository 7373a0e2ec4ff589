package raft

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// ChangeKind is the type of a membership change.
type ChangeKind uint8

// Membership change kinds.
const (
	// ChangeJoin takes one step towards making the member a voter: it removes an earlier incarnation of the same
	// instance, or else adds the member as a learner. The caller repeats it until the member is in the membership. The
	// leader promotes a learner once it has caught up.
	ChangeJoin ChangeKind = iota + 1
	// ChangeRemove removes a voter or learner permanently.
	ChangeRemove
)

// MembershipChange is a request to add or remove one member.
type MembershipChange struct {
	Kind ChangeKind
	ID   string
}

// ProposeChange appends a membership change to the leader's log. Only one change may be uncommitted at a time, and none
// is allowed before the leader has committed an entry of its own term. Otherwise majorities of two memberships might
// not overlap.
func (n *Node) ProposeChange(now time.Time, c MembershipChange) error {
	if n.role != Leader {
		return NotLeaderError{Leader: n.leader}
	}
	m := n.currentMembership()
	switch c.Kind {
	case ChangeJoin:
		if m.IsVoter(c.ID) || m.IsLearner(c.ID) {
			return nil
		}
		if slices.Contains(m.Removed, c.ID) {
			return errors.Wrap(ErrRemoved, c.ID)
		}
	case ChangeRemove:
		if !m.IsVoter(c.ID) && !m.IsLearner(c.ID) {
			return errors.Wrap(ErrUnknownMember, c.ID)
		}
	default:
		return errors.Errorf("raft: unknown membership change kind %d", c.Kind)
	}
	if !n.changeAllowed() {
		return ErrChangePending
	}
	next, err := nextMembership(m, c)
	if errors.Is(err, ErrTooManyVoters) {
		n.recordWaiting(now, c.ID)
	}
	if err != nil {
		return err
	}
	return n.appendMembership(now, next)
}

func (n *Node) changeAllowed() bool {
	return n.membershipIndex() <= n.hardState.Commit && n.hardState.Commit >= n.termStartIndex
}

func nextMembership(m *Membership, c MembershipChange) (Membership, error) {
	if c.Kind == ChangeRemove {
		return withoutMember(m, c.ID)
	}
	for _, id := range m.members() {
		if MemberName(id) == MemberName(c.ID) {
			return withoutMember(m, id)
		}
	}
	if len(m.members()) >= MaxVoters {
		return Membership{}, ErrTooManyVoters
	}
	next := m.clone()
	next.Learners = append(next.Learners, c.ID)
	slices.Sort(next.Learners)
	return next, nil
}

func withoutMember(m *Membership, id string) (Membership, error) {
	next := m.clone()
	isRemoved := func(other string) bool { return other == id }
	next.Voters = slices.DeleteFunc(next.Voters, isRemoved)
	next.Learners = slices.DeleteFunc(next.Learners, isRemoved)
	if len(next.Voters) == 0 {
		return Membership{}, ErrLastVoter
	}
	next.Removed = append(next.Removed, id)
	if excess := len(next.Removed) - maxRemovedIDs; excess > 0 {
		next.Removed = next.Removed[excess:]
	}
	return next, nil
}

// maybePromote makes a learner a voter once it holds all committed entries. Earlier, a voter without them would count
// towards a quorum.
func (n *Node) maybePromote(now time.Time, id string, p *progress) {
	m := n.currentMembership()
	if !m.IsLearner(id) || p.match < n.hardState.Commit || !n.changeAllowed() || len(m.Voters) >= MaxVoters {
		return
	}
	next := m.clone()
	next.Learners = slices.DeleteFunc(next.Learners, func(other string) bool { return other == id })
	next.Voters = append(next.Voters, id)
	slices.Sort(next.Voters)
	// Encoding a Membership cannot fail, and the next acknowledgement retries the promotion.
	_ = n.appendMembership(now, next)
}

func (n *Node) appendMembership(now time.Time, m Membership) error {
	data, err := cbor.Marshal(m)
	if err != nil {
		return errors.Wrap(err, "raft: encode membership")
	}
	e := Entry{Index: n.log.lastIndex() + 1, Term: n.hardState.Term, Kind: EntryMembership, Data: data}
	n.log.append(e)
	n.recordVoterChanges(now, e.Index, n.currentMembership(), &m)
	n.memberships = append(n.memberships, indexedMembership{e.Index, m})
	for id := range n.progress {
		if !m.IsVoter(id) && !m.IsLearner(id) {
			delete(n.progress, id)
		}
	}
	for _, id := range m.members() {
		n.addProgress(now, id)
		delete(n.waiting, id)
	}
	n.appendDue, n.flushTime = true, now
	return nil
}

// recordMembership adds the membership of a membership entry that was just appended to the log. isNew is false for an
// entry that was committed before this node got it: how long ago is not known.
func (n *Node) recordMembership(e *Entry, isNew bool) error {
	if e.Kind != EntryMembership {
		return nil
	}
	var m Membership
	if err := cbor.Unmarshal(e.Data, &m); err != nil {
		return errors.Wrapf(err, "raft: decode membership entry %d", e.Index)
	}
	if isNew {
		n.recordVoterChanges(n.leaderContact, e.Index, n.currentMembership(), &m)
	}
	n.memberships = append(n.memberships, indexedMembership{e.Index, m})
	return nil
}

// truncateMemberships drops the memberships of the entries from index on, because these entries are truncated.
func (n *Node) truncateMemberships(index uint64) {
	for len(n.memberships) > 1 && n.memberships[len(n.memberships)-1].index >= index {
		n.memberships = n.memberships[:len(n.memberships)-1]
	}
	n.voterChanges = slices.DeleteFunc(n.voterChanges, func(c voterChange) bool { return c.index >= index })
}

// AppendCommitted appends entries that are known to be committed. Instances that are not members of the group use it to
// replicate the log from another instance.
func (n *Node) AppendCommitted(entries []Entry) error {
	for i := range entries {
		if entries[i].Index <= n.hardState.Commit {
			continue
		}
		if entries[i].Index != n.hardState.Commit+1 {
			return errors.Errorf("raft: committed entry %d received, expected %d", entries[i].Index, n.hardState.Commit+1)
		}
		if err := n.appendFromLeader(entries[i:], entries[len(entries)-1].Index); err != nil {
			return err
		}
		n.hardState.Commit = entries[len(entries)-1].Index
		n.hardState.Term = max(n.hardState.Term, n.log.lastTerm())
		return nil
	}
	return nil
}

// InstallCommittedSnapshot installs a snapshot that is known to be committed. It ignores a snapshot that is not newer
// than the commit index.
func (n *Node) InstallCommittedSnapshot(s Snapshot) {
	if s.Index > n.hardState.Commit {
		n.installSnapshot(s)
		n.hardState.Term = max(n.hardState.Term, s.Term)
	}
}
