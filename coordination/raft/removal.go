package raft

import "time"

const (
	// minVotersAfterRemoval is the number of voters with which a group still tolerates the loss of one voter. An
	// unreachable voter without a replacement is removed only if that many remain.
	minVotersAfterRemoval = 3
	// sufficientFurtherLosses is the number of further losses that a group has to bear for unreachable voters to keep their
	// places. Below it, an instance that waits takes the place of an unreachable voter. A full group that misses one voter
	// bears two more losses; removing that one would make each short freeze end in a restart.
	sufficientFurtherLosses = 2
)

// UnreachableTimeouts are the times after which an unreachable member may be removed.
type UnreachableTimeouts struct {
	// WithReplacement applies if another instance takes the place of the unreachable one.
	WithReplacement time.Duration
	// FromEvenGroup applies while the number of voters is even: with one voter less, the group bears as many losses.
	FromEvenGroup time.Duration
	// WithoutReplacement applies without a replacement, provided that at least three voters remain.
	WithoutReplacement time.Duration
}

// MemberToRemove returns a member that has been unreachable from the leader for longer than the timeouts allow, and that
// the group can do without:
//
//   - A learner, if an instance waits for its place, or after the longest timeout. It is part of no majority.
//   - The voter that has been unreachable longest, while the group bears too few further losses, if all places are taken
//     and an instance waits for one, or if the group has grown by as many voters as are unreachable. Of several voters
//     behind a partition, none is removed without another one in its place.
//   - A voter of an even number of voters.
//   - A single unreachable voter after the longest timeout. Several indicate a partition.
func (n *Node) MemberToRemove(now time.Time, timeouts UnreachableTimeouts) (id string, ok bool) {
	if n.role != Leader || !n.changeAllowed() {
		return "", false
	}
	m := n.currentMembership()
	r := n.Reachability(now)
	waiting := len(r.Waiting) > 0 && len(m.members()) >= MaxVoters
	var unreachable []string // voters
	for _, id := range r.Unreachable {
		silence := now.Sub(n.progress[id].lastContact)
		switch {
		case silence < timeouts.WithReplacement:
		case m.IsVoter(id):
			unreachable = append(unreachable, id)
		case waiting || silence >= timeouts.WithoutReplacement:
			return id, true
		}
	}
	if len(unreachable) == 0 {
		return "", false
	}
	longest := unreachable[0]
	lastContact := n.progress[longest].lastContact
	silence := now.Sub(lastContact)
	// In planned work, the successor starts before the contact with its predecessor is lost.
	added := len(m.Voters) - n.votersAt(lastContact.Add(-timeouts.WithoutReplacement))
	switch {
	case r.FurtherLosses < sufficientFurtherLosses && (waiting || added >= len(unreachable)):
		return longest, true
	case len(m.Voters)%2 == 0 && silence >= timeouts.FromEvenGroup && len(m.Voters) > minVotersAfterRemoval:
		return longest, true
	}
	return longest, len(unreachable) == 1 && silence >= timeouts.WithoutReplacement && len(m.Voters) > minVotersAfterRemoval
}

// voterCount is the number of voters from a time on, as far as this node knew.
type voterCount struct {
	from   time.Time
	voters int
}

// maxVoterCounts bounds how many changes are remembered. No more than a few happen within the timeouts.
const maxVoterCounts = 64

// recordVoterCount records the number of voters, on leaders and followers alike: a new leader has to know whether the
// group has grown.
func (n *Node) recordVoterCount(now time.Time) {
	n.voterCounts = append(n.voterCounts, voterCount{now, len(n.currentMembership().Voters)})
	if excess := len(n.voterCounts) - maxVoterCounts; excess > 0 {
		n.voterCounts = n.voterCounts[excess:]
	}
}

// votersAt returns the number of voters at a time; for times before the first record, that of the first record.
func (n *Node) votersAt(at time.Time) int {
	count := n.voterCounts[0].voters
	for _, c := range n.voterCounts {
		if !c.from.After(at) {
			count = c.voters
		}
	}
	return count
}
