package raft

import (
	"testing"
	"time"
)

var testTimeouts = UnreachableTimeouts{WithReplacement: 1500 * time.Millisecond, FromEvenGroup: 2500 * time.Millisecond, WithoutReplacement: 12 * time.Second}

// Guards against unreachable members that keep the places of instances that wait, and against the removal of a voter
// that is only behind a partition: the group would then bear fewer losses than before.
func TestMemberToRemove(t *testing.T) {
	for _, test := range []struct {
		name           string
		voters, spares int
		joining        int  // spares that become voters before the contact is lost
		unreachable    int  // followers that become unreachable
		waiting        bool // whether the next spare asks to join
		removed        time.Duration
	}{
		{name: "one of seven keeps its place for the longest timeout although an instance waits", voters: 7, spares: 1, unreachable: 1, waiting: true,
			removed: testTimeouts.WithoutReplacement},
		{name: "two of seven lose their places to an instance that waits, one after the other", voters: 7, spares: 1, unreachable: 2, waiting: true,
			removed: testTimeouts.WithReplacement},
		{name: "two of seven", voters: 7, unreachable: 2, removed: testTimeouts.WithoutReplacement},
		{name: "two of five keep their places", voters: 5, unreachable: 2},
		{name: "one of three keeps its place", voters: 3, unreachable: 1},
		{name: "one of three that was replaced before", voters: 3, spares: 1, joining: 1, unreachable: 1, removed: testTimeouts.WithReplacement},
		{name: "one of five that was replaced before", voters: 5, spares: 1, joining: 1, unreachable: 1, removed: testTimeouts.WithReplacement},
		{name: "two of five of which one was replaced before", voters: 5, spares: 1, joining: 1, unreachable: 2, removed: testTimeouts.FromEvenGroup},
		{name: "one of four", voters: 4, unreachable: 1, removed: testTimeouts.FromEvenGroup},
		{name: "two of six", voters: 6, unreachable: 2, removed: testTimeouts.FromEvenGroup},
		{name: "one of five", voters: 5, unreachable: 1, removed: testTimeouts.WithoutReplacement},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newSim(t, 1, test.voters, test.spares).startAll()
			s.awaitLeader()
			s.run(time.Minute, nil)
			for _, h := range s.hosts[test.voters : test.voters+test.joining] {
				s.rejoin(h)
			}
			l := s.leader()
			var lost []*host
			for _, h := range s.hosts[:test.voters] {
				if h != l && len(lost) < test.unreachable {
					lost = append(lost, h)
				}
			}
			s.isolate(lost...)
			cut := s.now
			var at time.Duration
			s.run(time.Minute, func() bool {
				if test.waiting {
					s.join(s.hosts[test.voters+test.joining].id())
				}
				id, ok := l.node.MemberToRemove(s.now, testTimeouts)
				if ok && id != lost[0].id() && id != lost[len(lost)-1].id() {
					t.Fatalf("%s would be removed, which is reachable", id)
				}
				at = s.now.Sub(cut)
				return ok
			})
			const slack = 200 * time.Millisecond // a heartbeat and the delay of the last answer
			if _, ok := l.node.MemberToRemove(s.now, testTimeouts); ok != (test.removed > 0) {
				t.Fatalf("removed %v after %v, want %v", ok, at, test.removed > 0)
			}
			if test.removed > 0 && (at < test.removed-slack || at > test.removed+slack) {
				t.Errorf("removed after %v, want %v", at, test.removed)
			}
		})
	}
}

// Guards against a learner that is gone and keeps a place for good.
func TestUnreachableLearnerIsRemoved(t *testing.T) {
	for _, waiting := range []bool{false, true} {
		s := newSim(t, 1, 6, 2).startAll()
		l := s.awaitLeader()
		learner, next := s.hosts[6], s.hosts[7]
		s.isolate(learner)
		s.run(time.Second, nil)
		if err := l.node.ProposeChange(s.now, MembershipChange{Kind: ChangeJoin, ID: learner.id()}); err != nil {
			t.Fatal(err)
		}
		from := s.now
		s.run(time.Minute, func() bool {
			if waiting {
				s.join(next.id())
			}
			_, ok := l.node.MemberToRemove(s.now, testTimeouts)
			return ok
		})
		id, ok := l.node.MemberToRemove(s.now, testTimeouts)
		limit := testTimeouts.WithoutReplacement
		if waiting {
			limit = testTimeouts.WithReplacement
		}
		if took := s.now.Sub(from); !ok || id != learner.id() || took > limit+200*time.Millisecond {
			t.Errorf("waiting %v: remove %q, %v after %v, want %q after %v", waiting, id, ok, took, learner.id(), limit)
		}
	}
}
