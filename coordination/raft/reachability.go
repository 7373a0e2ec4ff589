package raft

import (
	"cmp"
	"slices"
	"time"
)

// waitingPeriod is the time for which an instance whose join was refused counts as waiting. Instances repeat the request
// several times a second.
const waitingPeriod = time.Second

// Reachability describes the other members and the instances that ask to join, from the point of view of the leader.
type Reachability struct {
	// Unreachable are the members that have not answered for an election timeout, the longest first.
	Unreachable []string
	// Waiting are the instances whose join was refused because all places were taken.
	Waiting []string
	// FurtherLosses is the number of voters that may still be lost before the group has no majority.
	FurtherLosses int
}

// Equal reports whether two values are the same.
func (r *Reachability) Equal(other *Reachability) bool {
	return slices.Equal(r.Unreachable, other.Unreachable) && slices.Equal(r.Waiting, other.Waiting) && r.FurtherLosses == other.FurtherLosses
}

// Reachability returns the reachability of the other members. It is the zero value unless this node leads.
func (n *Node) Reachability(now time.Time) Reachability {
	if n.role != Leader {
		return Reachability{}
	}
	m := n.currentMembership()
	var r Reachability
	lost := 0
	for id, p := range n.progress {
		if now.Sub(p.lastContact) < n.cfg.ElectionTimeout {
			continue
		}
		r.Unreachable = append(r.Unreachable, id)
		if m.IsVoter(id) {
			lost++
		}
	}
	slices.SortFunc(r.Unreachable, func(a, b string) int {
		return cmp.Or(n.progress[a].lastContact.Compare(n.progress[b].lastContact), cmp.Compare(a, b))
	})
	for id, at := range n.waiting {
		if now.Sub(at) < waitingPeriod {
			r.Waiting = append(r.Waiting, id)
		}
	}
	slices.Sort(r.Waiting)
	r.FurtherLosses = len(m.Voters) - lost - m.quorum()
	return r
}

// recordWaiting records that an instance asked to join while all places were taken.
func (n *Node) recordWaiting(now time.Time, id string) {
	for other, at := range n.waiting {
		if now.Sub(at) >= waitingPeriod {
			delete(n.waiting, other)
		}
	}
	n.waiting[id] = now
}
