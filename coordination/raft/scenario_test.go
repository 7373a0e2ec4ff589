package raft

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

func (s *sim) hostNamed(name string) *host {
	return s.hosts[slices.IndexFunc(s.hosts, func(h *host) bool { return h.name == name })]
}

func (s *sim) isolate(hosts ...*host) {
	clear(s.partition)
	for i, h := range hosts {
		s.partition[h.name] = i + 1
	}
}

func (s *sim) followers() []*host {
	l := s.leader()
	return slices.DeleteFunc(slices.Clone(s.hosts), func(h *host) bool { return h == l })
}

func (s *sim) mustCommit(count int) {
	for range count {
		if !s.commit(20 * time.Second) {
			s.t.Fatalf("no entry committed within 20 s")
		}
	}
}

// rejoin starts a host if it is down and repeats its join request until it is a voter.
func (s *sim) rejoin(h *host) {
	if h.node == nil {
		s.start(h)
	}
	if !s.run(30*time.Second, func() bool { s.join(h.id()); return s.isVoter(h) }) {
		s.t.Fatalf("%s did not become a voter within 30 s: membership %+v", h.id(), s.committedMembership)
	}
}

// Guards against a partitioned member that increments its term, or deposes the leader when it reconnects.
func TestPreVote(t *testing.T) {
	s := newSim(t, 1, 3, 0).startAll()
	l := s.awaitLeader()
	term := l.node.Term()
	isolated := s.followers()[0]
	s.isolate(isolated)
	s.run(30*time.Second, nil)
	if got := isolated.node.Term(); got != term {
		t.Fatalf("the isolated member raised its term from %d to %d", term, got)
	}
	clear(s.partition)
	s.run(5*time.Second, nil)
	if s.leader() != l || l.node.Term() != term {
		t.Fatalf("leader %s in term %d, was %s in term %d", s.leader().id(), l.node.Term(), l.id(), term)
	}
}

// Guards against a vote for a higher term while the voter still has contact with the leader.
func TestVoteIgnoredWhileLeaderIsHeard(t *testing.T) {
	s := newSim(t, 2, 3, 0).startAll()
	l := s.awaitLeader()
	s.run(time.Second, nil)
	f := s.followers()
	last := f[0].node.LastIndex()
	for _, kind := range []MessageType{MsgPreVote, MsgVote} {
		s.network = append(s.network, Message{Type: kind, From: f[0].id(), To: f[1].id(), Term: l.node.Term() + 5,
			Index: last + 5, LogTerm: l.node.Term() + 4})
	}
	s.run(time.Second, nil)
	if s.leader() != l || f[1].node.Term() != l.node.Term() {
		t.Fatalf("a vote request was granted despite recent leader contact: terms of voter %d, leader %d", f[1].node.Term(), l.node.Term())
	}
}

// Guards against a leader without a quorum that keeps accepting proposals and read barriers.
func TestCheckQuorum(t *testing.T) {
	s := newSim(t, 3, 3, 0).startAll()
	l := s.awaitLeader()
	s.isolate(l)
	if !s.run(3*time.Second, func() bool { return l.node.Role() != Leader }) {
		t.Fatal("the isolated leader did not step down within 3 s")
	}
	if s.propose(l) {
		t.Fatal("a leader without a quorum accepted a proposal")
	}
	if err := l.node.ReadIndex(s.now, 1); err == nil {
		t.Fatal("a leader without a quorum accepted a read")
	}
}

// Guards against a stale read from a leader that does not know yet that it was replaced.
func TestReadOfReplacedLeader(t *testing.T) {
	s := newSim(t, 4, 3, 0).startAll()
	old := s.awaitLeader()
	s.isolate(old)
	// The old leader gets no ticks, so that check-quorum does not make it step down.
	node := old.node
	old.node = nil
	s.awaitLeader()
	s.mustCommit(2)
	old.node = node
	s.nextRead++
	old.reads[s.nextRead] = s.commitIndex()
	if err := node.ReadIndex(s.now, s.nextRead); err != nil {
		t.Fatal(err)
	}
	if r, _ := node.Ready(); len(r.Reads) > 0 && !r.Reads[0].LeadershipLost {
		t.Fatalf("the replaced leader served a read at index %d, commit index %d", r.Reads[0].Index, s.commitIndex())
	}
}

// Guards against a voter that lost its disk and counts towards a quorum with an empty log. After it has rejoined, the
// loss of a second disk must not lose committed entries.
func TestSecondDiskLossAfterRejoin(t *testing.T) {
	for seed := range uint64(20) {
		s := newSim(t, seed, 3, 0).startAll()
		s.awaitLeader()
		s.mustCommit(20)
		first, second := s.leader(), s.followers()[0]
		if seed%2 == 1 {
			first, second = second, first
		}
		s.loseDisk(first)
		s.rejoin(first)
		s.mustCommit(5)
		s.loseDisk(second)
		s.rejoin(second)
		s.mustCommit(5)
		if len(s.committedMembership.Voters) != 3 || len(s.committedMembership.Learners) != 0 {
			t.Fatalf("seed %d: membership after both repairs: %+v", seed, s.committedMembership)
		}
	}
}

// Guards against a voter with a lost disk that helps to elect a member without the committed entries. Two of three
// members hold the entries; one of them loses its disk, and the other one is partitioned.
func TestVoterWithLostDiskDoesNotVote(t *testing.T) {
	s := newSim(t, 5, 3, 0).startAll()
	l := s.awaitLeader()
	f := s.followers()
	lagging, diskLost := f[0], f[1]
	s.isolate(lagging)
	s.mustCommit(5)
	s.loseDisk(diskLost)
	s.start(diskLost)
	s.isolate(l)
	if s.run(30*time.Second, func() bool { return lagging.node.Role() == Leader || diskLost.node.Role() == Leader }) {
		t.Fatal("a leader without the committed entries was elected")
	}
	clear(s.partition)
	s.rejoin(diskLost)
	s.mustCommit(1)
	if err := s.leader().node.ProposeChange(s.now, MembershipChange{Kind: ChangeJoin, ID: MemberID(diskLost.name, "0")}); err == nil {
		t.Fatal("the id of a lost disk joined again")
	}
}

// Guards against a learner that counts towards a quorum before it has caught up.
func TestLearnerIsPromotedOnlyWhenCaughtUp(t *testing.T) {
	s := newSim(t, 6, 3, 1).startAll()
	s.awaitLeader()
	s.mustCommit(50)
	joining := s.hostNamed("d")
	s.join(joining.id())
	for !s.isVoter(joining) {
		s.run(10*time.Millisecond, nil)
		l := s.leader().node
		if m := l.currentMembership(); m.IsVoter(joining.id()) && l.progress[joining.id()].match+1 < l.membershipIndex() {
			t.Fatalf("learner promoted by entry %d with match index %d", l.membershipIndex(), l.progress[joining.id()].match)
		}
	}
}

// Guards against a second membership change before the first one is committed, after which two majorities might not
// overlap.
func TestOneMembershipChangeAtATime(t *testing.T) {
	s := newSim(t, 7, 3, 2).startAll()
	l := s.awaitLeader()
	s.isolate(l)
	join := func(name string) error {
		return l.node.ProposeChange(s.now, MembershipChange{Kind: ChangeJoin, ID: s.hostNamed(name).id()})
	}
	if err := join("d"); err != nil {
		t.Fatal(err)
	}
	if err := join("e"); err != ErrChangePending {
		t.Fatalf("second membership change before the first is committed: error %v", err)
	}
}

// Guards against a membership change before the leader has committed an entry of its own term.
func TestNoMembershipChangeBeforeFirstCommit(t *testing.T) {
	s := newSim(t, 8, 3, 1).startAll()
	old := s.awaitLeader()
	s.isolate(old)
	s.run(20*time.Second, func() bool { l := s.leader(); return l != nil && l != old })
	l := s.leader()
	if l.node.Commit() >= l.node.termStartIndex {
		t.Fatal("test setup: the new leader has already committed an entry of its term")
	}
	if err := l.node.ProposeChange(s.now, MembershipChange{Kind: ChangeJoin, ID: s.hostNamed("d").id()}); err != ErrChangePending {
		t.Fatalf("membership change before the first commit of the term: error %v", err)
	}
}

// Guards against an entry of an earlier term that is committed by counting replicas. A later leader could still
// overwrite it.
func TestEntryOfOldTermIsNotCommittedByCounting(t *testing.T) {
	cfg := Config{ID: "a@0", Rand: rand.New(rand.NewPCG(1, 1))}
	snapshot := BootstrapSnapshot([]string{"a@0", "b@0", "c@0"})
	n, err := New(cfg, SavedState{HardState: HardState{Term: 2, Commit: 1}, Snapshot: snapshot,
		Entries: []Entry{{Index: 2, Term: 2}}})
	if err != nil {
		t.Fatal(err)
	}
	now := time.Unix(0, 0)
	n.startElection(now, false)
	if err := n.Step(now, Message{Type: MsgVoteResponse, From: "b@0", To: "a@0", Term: 3}); err != nil {
		t.Fatal(err)
	}
	r, _ := n.Ready()
	n.Advance(now, r)
	ack := Message{Type: MsgAppendResponse, From: "b@0", To: "a@0", Term: 3, Index: 2}
	if err := n.Step(now, ack); err != nil {
		t.Fatal(err)
	}
	if n.Commit() != 1 {
		t.Fatalf("entry 2 of term 2 was committed in term 3 before an entry of term 3: commit index %d", n.Commit())
	}
	ack.Index = 3
	if err := n.Step(now, ack); err != nil {
		t.Fatal(err)
	}
	if n.Commit() != 3 {
		t.Fatalf("commit index %d, want 3", n.Commit())
	}
}

// Guards against a leader that counts its own entries towards a quorum before they are synced.
func TestLeaderCountsOnlySyncedEntries(t *testing.T) {
	s := newSim(t, 9, 1, 0).startAll()
	n := s.awaitLeader().node
	for range 2 {
		r, _ := n.Ready()
		if _, _, err := n.Propose(s.now, "late", nil); err != nil {
			t.Fatal(err)
		}
		n.Advance(s.now, r)
		if n.Commit() == n.LastIndex() {
			t.Fatalf("entry %d is committed but not synced", n.Commit())
		}
	}
}

// Guards against a new leader that serves a read before it knows what its predecessor committed.
func TestReadOfNewLeader(t *testing.T) {
	s := newSim(t, 13, 3, 0).startAll()
	old := s.awaitLeader()
	s.mustCommit(3)
	s.network = nil // drops the messages with the last commit index
	s.crash(old)
	var l *host
	s.run(20*time.Second, func() bool { l = s.leader(); return l != nil })
	if l.node.Commit() >= s.commitIndex() {
		t.Fatal("test setup: the new leader already knows the last commit index")
	}
	s.read(l)
	if len(l.node.pendingReads) != 1 {
		t.Fatal("the read does not wait for the first commit of the term")
	}
	// sim.apply checks that the read index is not below the commit index at the start of the read.
	if !s.run(5*time.Second, func() bool { return len(l.node.pendingReads) == 0 }) {
		t.Fatal("the read was not answered within 5 s")
	}
}

// Guards against a membership that stays in effect after its uncommitted entry was overwritten by a new leader.
func TestMembershipRollsBackWithLog(t *testing.T) {
	s := newSim(t, 14, 3, 1).startAll()
	old := s.awaitLeader()
	s.isolate(old)
	if err := old.node.ProposeChange(s.now, MembershipChange{Kind: ChangeJoin, ID: s.hostNamed("d").id()}); err != nil {
		t.Fatal(err)
	}
	if !old.node.currentMembership().IsLearner(s.hostNamed("d").id()) {
		t.Fatal("the membership is not in effect although its entry is in the log")
	}
	s.run(20*time.Second, func() bool { l := s.leader(); return l != nil && l != old })
	s.mustCommit(2)
	clear(s.partition)
	s.run(5*time.Second, nil)
	if m := old.node.Membership(); len(m.Learners) != 0 {
		t.Fatalf("membership %+v is still in effect after its entry was overwritten", m)
	}
}

// Guards against a member that can never follow the leader again because its term is higher than the leader's.
func TestMemberWithHigherTermFollowsLeader(t *testing.T) {
	s := newSim(t, 15, 3, 0).startAll()
	s.awaitLeader()
	restarted := s.followers()[0]
	s.crash(restarted)
	s.mustCommit(3)
	restarted.disk.HardState.Term += 5
	restarted.disk.HardState.Vote = ""
	s.start(restarted)
	if !s.run(20*time.Second, func() bool { return restarted.node.Applied() >= s.commitIndex() }) {
		t.Fatalf("applied index %d after 20 s, commit index %d", restarted.node.Applied(), s.commitIndex())
	}
	s.mustCommit(1)
}

// Guards against one append message per proposal; proposals before the same sync share messages.
func TestProposalsShareMessages(t *testing.T) {
	s := newSim(t, 16, 3, 0)
	s.cfg.MaxMessageBytes = 1 << 20
	l := s.startAll().awaitLeader()
	s.run(time.Second, nil)
	for range 100 {
		s.propose(l)
	}
	if r, _ := l.node.Ready(); len(r.Messages) != 2 {
		t.Fatalf("%d messages for 100 proposals to two followers, want 2", len(r.Messages))
	}
}

// Guards against a member that cannot catch up after it missed hundreds of entries, from the leader's log or, if they
// were compacted, from a snapshot. Also guards against more than MaxInflight unacknowledged appends.
func TestMemberCatchesUpAfterManyMissedEntries(t *testing.T) {
	for _, compacted := range []bool{false, true} {
		t.Run(fmt.Sprint("compacted ", compacted), func(t *testing.T) {
			s := newSim(t, 10, 3, 0).startAll()
			s.awaitLeader()
			restarted := s.followers()[0]
			s.crash(restarted)
			for range 80 {
				for range 10 {
					s.propose(s.leader())
				}
				s.mustCommit(1)
			}
			if compacted {
				for _, h := range s.hosts {
					if h.node != nil {
						s.compact(h, 2)
					}
				}
			}
			missed := s.commitIndex()
			s.start(restarted)
			caughtUp := s.run(10*time.Second, func() bool {
				if p := s.leader().node.progress[restarted.id()]; len(p.inflight) > s.cfg.MaxInflight {
					t.Fatalf("%d appends in flight, limit %d", len(p.inflight), s.cfg.MaxInflight)
				}
				return restarted.node.Applied() >= missed
			})
			if !caughtUp || missed < 600 {
				t.Fatalf("applied index %d after 10 s, commit index at the restart %d", restarted.node.Applied(), missed)
			}
			if (s.delivered[MsgSnapshot] > 0) != compacted {
				t.Fatalf("%d snapshot parts were delivered", s.delivered[MsgSnapshot])
			}
		})
	}
}

// Guards against a snapshot transfer that never completes when parts and their responses are lost.
func TestSnapshotTransferWithMessageLoss(t *testing.T) {
	s := newSim(t, 11, 3, 0)
	s.cfg.MaxMessageBytes = 20
	s.startAll()
	s.awaitLeader()
	restarted := s.followers()[0]
	s.crash(restarted)
	s.mustCommit(30)
	for _, h := range s.hosts {
		if h.node != nil {
			s.compact(h, 0)
		}
	}
	s.start(restarted)
	caughtUp := s.run(120*time.Second, func() bool {
		s.network = slices.DeleteFunc(s.network, func(m Message) bool {
			return (m.Type == MsgSnapshot || m.Type == MsgSnapshotResponse) && s.rand.IntN(3) == 0
		})
		return restarted.node.Applied() >= s.commitIndex()
	})
	if !caughtUp || s.delivered[MsgSnapshot] < 10 {
		t.Fatalf("applied index %d, commit index %d, %d snapshot parts delivered", restarted.node.Applied(), s.commitIndex(), s.delivered[MsgSnapshot])
	}
}

// Guards against a leader that does not step down after its own removal, or steps down before the removal is committed.
func TestLeaderRemovesItself(t *testing.T) {
	s := newSim(t, 12, 3, 0).startAll()
	l := s.awaitLeader()
	if err := l.node.ProposeChange(s.now, MembershipChange{Kind: ChangeRemove, ID: l.id()}); err != nil {
		t.Fatal(err)
	}
	if !s.run(10*time.Second, func() bool {
		next := s.leader()
		return next != nil && next != l && len(s.committedMembership.Voters) == 2
	}) {
		t.Fatalf("no new leader of two voters within 10 s: membership %+v", s.committedMembership)
	}
	s.mustCommit(3)
}

// Guards against starting from an inconsistent saved state.
func TestNewRejectsInconsistentState(t *testing.T) {
	snapshot := BootstrapSnapshot([]string{"a@0"})
	for name, saved := range map[string]SavedState{
		"commit index after the last entry": {HardState: HardState{Term: 1, Commit: 9}, Snapshot: snapshot},
		"gap between entries":               {Snapshot: snapshot, Entries: []Entry{{Index: 2, Term: 1}, {Index: 4, Term: 1}}},
		"gap after snapshot":                {Snapshot: snapshot, Entries: []Entry{{Index: 3, Term: 1}}},
		"term decreases":                    {Snapshot: snapshot, Entries: []Entry{{Index: 2, Term: 2}, {Index: 3, Term: 1}}},
		"entry conflicts with snapshot":     {Snapshot: snapshot, Entries: []Entry{{Index: 1, Term: 2}, {Index: 2, Term: 2}}},
		"undecodable membership":            {Snapshot: snapshot, Entries: []Entry{{Index: 2, Term: 1, Kind: EntryMembership, Data: []byte{0xff}}}},
	} {
		if _, err := New(Config{ID: "a@0", Rand: rand.New(rand.NewPCG(1, 1))}, saved); err == nil {
			t.Errorf("%s: inconsistent saved state accepted", name)
		}
	}
}
