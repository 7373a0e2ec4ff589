package raft

import (
	"slices"
	"time"
)

const (
	// minVotersAfterRemoval is the number of voters with which a group still tolerates the loss of one voter. An
	// unreachable voter without a replacement is removed only if that many remain.
	minVotersAfterRemoval = 3
	// votersForTwoLosses is the number of voters with which a group bears two losses. Beyond it, voters that have been
	// unreachable for the longest timeout are removed although there are several.
	votersForTwoLosses = 5
	// sufficientFurtherLosses is the number of further losses that a group has to bear for unreachable voters to keep their
	// places. Below it, an instance that waits takes the place of an unreachable voter. A full group that misses one voter
	// bears two more losses; removing that one would make each short freeze end in a restart.
	sufficientFurtherLosses = 2
)

// UnreachableTimeouts are the times after which an unreachable member may be removed.
type UnreachableTimeouts struct {
	// WithReplacement applies if another instance takes the place of the unreachable one.
	WithReplacement time.Duration
	// FromEvenGroup applies if the leader can't know whether the unreachable voter was replaced, and the number of voters is
	// even: with one voter less, the group bears as many losses.
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
//   - A voter of an even number of voters, if the leader doesn't know of earlier growth.
//   - A single unreachable voter after the longest timeout. Several indicate a partition, so that they are removed only while
//     enough remain for two losses.
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
	since := lastContact.Add(-timeouts.WithoutReplacement)
	growth := n.growthSince(since, timeouts.WithoutReplacement)
	switch {
	case r.FurtherLosses < sufficientFurtherLosses && (waiting || growth >= len(unreachable)):
		return longest, true
	case n.voterChangesFrom.After(since) && len(m.Voters)%2 == 0 && silence >= timeouts.FromEvenGroup && len(m.Voters) > minVotersAfterRemoval:
		return longest, true
	case silence < timeouts.WithoutReplacement:
	case len(unreachable) == 1 && len(m.Voters) > minVotersAfterRemoval, len(m.Voters) > votersForTwoLosses:
		return longest, true
	}
	return "", false
}

// voterChange is a change of the voters.
type voterChange struct {
	at    time.Time
	index uint64 // of the entry
	name  string // of the instance
	kind  voterChangeKind
}

type voterChangeKind uint8

const (
	voterAdded    voterChangeKind = iota // an instance that was never a voter, as far as known
	voterReturned                        // an instance that was removed before
	voterRemoved
)

// maxVoterChanges bounds how many changes are remembered. No more than a few happen within the timeouts.
const maxVoterChanges = 64

// recordVoterChanges records changes on leaders and followers alike: a new leader has to know whether the group has grown.
func (n *Node) recordVoterChanges(now time.Time, index uint64, before, after *Membership) {
	for _, id := range before.Voters {
		if !after.IsVoter(id) {
			n.voterChanges = append(n.voterChanges, voterChange{now, index, MemberName(id), voterRemoved})
		}
	}
	for _, id := range after.Voters {
		if before.IsVoter(id) {
			continue
		}
		kind := voterAdded
		if before.wasRemoved(MemberName(id)) {
			kind = voterReturned
		}
		n.voterChanges = append(n.voterChanges, voterChange{now, index, MemberName(id), kind})
	}
	if excess := len(n.voterChanges) - maxVoterChanges; excess > 0 {
		n.voterChanges = n.voterChanges[excess:]
	}
}

// growthSince returns how many instances were added since a time and have not yet taken the place of a removed one. An
// instance takes the place of one that was removed before it was added, no longer ago than the period, or of the next one
// that is removed after that. An instance that returns takes back its own place.
func (n *Node) growthSince(at time.Time, period time.Duration) int {
	var added []time.Time                    // instances that took the place of no other
	var places []voterChange                 // places of removed instances that are free
	replacedBy := make(map[string]time.Time) // when the instance was added that took the place of a removed one, by the latter's name
	for _, c := range n.voterChanges {
		places = slices.DeleteFunc(places, func(p voterChange) bool { return c.at.Sub(p.at) > period })
		place := slices.IndexFunc(places, func(p voterChange) bool { return p.name == c.name })
		successor, replaced := replacedBy[c.name]
		switch {
		case c.kind == voterRemoved && len(added) > 0:
			replacedBy[c.name], added = added[0], added[1:]
		case c.kind == voterRemoved:
			places = append(places, c)
		case c.kind == voterReturned && replaced:
			added = append(added, successor)
			delete(replacedBy, c.name)
		case c.kind == voterReturned && place >= 0:
			places = slices.Delete(places, place, place+1)
		case c.kind == voterAdded && len(places) > 0:
			replacedBy[places[0].name], places = c.at, places[1:]
		case c.kind == voterAdded:
			added = append(added, c.at)
		}
	}
	growth := 0
	for _, since := range added {
		if since.After(at) {
			growth++
		}
	}
	return growth
}
