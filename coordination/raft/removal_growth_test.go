package raft

import (
	"testing"
	"time"
)

// removalWithin returns the first member that MemberToRemove names within a minute.
func removalWithin(s *sim, l *host) (id string, after time.Duration) {
	began := s.now
	s.run(time.Minute, func() bool {
		if l.node.role == Leader {
			id, _ = l.node.MemberToRemove(s.now, testTimeouts)
		}
		return id != ""
	})
	return id, s.now.Sub(began)
}

// Guards against a leader that joined shortly before and takes the replay of the membership for growth of the group: it
// removes voters behind a partition without a replacement, and the group then bears fewer losses.
func TestNewMemberThatLeadsKeepsVotersBehindPartition(t *testing.T) {
	for _, voters := range []int{3, 5} {
		s := newSim(t, 1, voters, 1).startAll()
		s.awaitLeader()
		s.run(time.Minute, nil)
		l, successor := s.leader(), s.hosts[voters]
		replaced := s.hosts[0]
		if replaced == l {
			replaced = s.hosts[1]
		}
		s.crash(replaced)
		s.start(successor) // its process starts now
		s.rejoin(successor)
		if err := l.node.ProposeChange(s.now, MembershipChange{Kind: ChangeRemove, ID: replaced.id()}); err != nil {
			t.Fatal(err)
		}
		s.run(6*time.Second, nil)
		l.node.send(Message{Type: MsgTimeoutNow, To: successor.id()})
		if !s.run(2*time.Second, func() bool { return s.leader() == successor }) {
			t.Fatal("the new member does not lead")
		}
		s.run(time.Second, nil)
		var cut []*host
		for _, h := range s.hosts[:voters] {
			if h != replaced && len(cut) < (voters-1)/2 {
				cut = append(cut, h)
			}
		}
		s.isolate(cut...)
		if id, after := removalWithin(s, successor); id != "" {
			t.Errorf("%d of %d voters are behind a partition: %s would be removed after %v", len(cut), voters, id, after)
		}
	}
}

// Guards against counting the return of one removed voter as the replacement of another one that is cut off later.
func TestReturnOfRemovedVoterReplacesNoOther(t *testing.T) {
	s := newSim(t, 1, 5, 0).startAll()
	l := s.awaitLeader()
	s.run(time.Minute, nil)
	var followers []*host
	for _, h := range s.hosts {
		if h != l {
			followers = append(followers, h)
		}
	}
	returning, cut := followers[0], followers[1]
	if err := l.node.ProposeChange(s.now, MembershipChange{Kind: ChangeRemove, ID: returning.id()}); err != nil {
		t.Fatal(err)
	}
	s.run(20*time.Second, nil)
	s.loseDisk(returning)
	s.start(returning)
	s.rejoin(returning)
	s.run(6*time.Second, nil)
	s.isolate(cut)
	id, after := removalWithin(s, s.leader())
	if id != "" && after < testTimeouts.WithoutReplacement-200*time.Millisecond {
		t.Errorf("%s has no replacement and would be removed after %v, want %v", id, after, testTimeouts.WithoutReplacement)
	}
}
