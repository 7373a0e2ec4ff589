package raft

import (
	"testing"
	"time"
)

// Guards against a member that is cut off from the majority, the leader or a follower, and passes for one that holds all
// committed entries; against one that returns and passes for that before it holds them; and against connected members
// that do not know it.
func TestCaughtUpAt(t *testing.T) {
	for _, withLeader := range []bool{false, true} {
		s := newSim(t, 5, 5, 0).startAll()
		leader := s.awaitLeader()
		s.mustCommit(2)
		s.run(time.Second, func() bool { return false })
		age := func(h *host) time.Duration { return s.now.Sub(h.node.CaughtUpAt(s.now)) }
		for _, h := range s.hosts {
			if age(h) > leader.node.cfg.ElectionTimeout {
				t.Fatalf("%s caught up %v ago in a connected group", h.id(), age(h))
			}
		}
		minority := s.followers()[:2]
		if withLeader {
			minority[1] = leader
		}
		cutAt := s.now
		for _, h := range minority {
			s.partition[h.name] = 1
		}
		s.run(3*time.Second, func() bool { return false })
		for _, h := range minority {
			// A follower takes appends of a leader without a majority until the leader notices.
			if at := h.node.CaughtUpAt(s.now); at.Sub(cutAt) > 2*h.node.cfg.ElectionTimeout || h == leader && at.Sub(cutAt) > s.cfg.HeartbeatInterval+100*time.Millisecond {
				t.Errorf("with the leader %t: %s caught up %v after the cut", withLeader, h.id(), at.Sub(cutAt))
			}
		}
		s.awaitLeader()
		s.mustCommit(3)
		clear(s.partition)
		for range 200 {
			s.run(20*time.Millisecond, func() bool { return false })
			for _, h := range minority {
				if age(h) < 10*time.Millisecond && h.node.Commit() < s.commitIndex() {
					t.Fatalf("%s caught up %v ago with commit index %d, want %d", h.id(), age(h), h.node.Commit(), s.commitIndex())
				}
			}
		}
		for _, h := range s.hosts {
			if age(h) > h.node.cfg.ElectionTimeout {
				t.Fatalf("%s caught up %v ago after the cut", h.id(), age(h))
			}
		}
		// A process that starts knows nothing until it hears from the leader.
		s.crash(minority[0])
		s.start(minority[0])
		if at := minority[0].node.CaughtUpAt(s.now); !at.IsZero() {
			t.Errorf("caught up at %v right after a start", at)
		}
	}
}
