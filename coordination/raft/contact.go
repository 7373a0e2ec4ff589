package raft

import (
	"slices"
	"time"
)

// CaughtUpAt returns the latest time at which this node is known to have had all entries that were committed by then. It
// is the zero time if there was none since the start. Entries that are committed but not applied count as held.
//
// A follower knows it from an append that names no later commit index than its own. It can't tell whether the leader still
// had a majority then; a leader without one steps down within an election timeout, see tickLeader, and no other leader is
// elected sooner, see hasRecentLeaderContact, unless leadership was transferred.
func (n *Node) CaughtUpAt(now time.Time) time.Time {
	if n.role != Leader || n.hardState.Commit < n.termStartIndex {
		// A new leader does not know the last commit index of earlier terms yet.
		return n.caughtUpAt
	}
	return n.majorityContact(now)
}

// majorityContact returns the latest time since when a majority of the voters, with this leader, has answered.
func (n *Node) majorityContact(now time.Time) time.Time {
	m := n.currentMembership()
	contacts := make([]time.Time, 0, len(m.Voters))
	for _, id := range m.Voters {
		if id == n.cfg.ID {
			contacts = append(contacts, now)
		} else {
			contacts = append(contacts, n.progress[id].lastContact)
		}
	}
	slices.SortFunc(contacts, func(a, b time.Time) int { return b.Compare(a) })
	return contacts[m.quorum()-1]
}

// recordCaughtUp records that an append showed whether this follower holds all committed entries. The commit index of a
// new leader may be too low until an entry of its own term is committed.
func (n *Node) recordCaughtUp(m *Message) {
	if term, ok := n.log.term(n.hardState.Commit); ok && term == m.Term && m.Commit <= n.hardState.Commit {
		n.caughtUpAt = n.leaderContact
	}
}
