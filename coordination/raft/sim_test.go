package raft

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"
)

// testingT is implemented by *testing.T and *rapid.T.
type testingT interface {
	Fatalf(format string, args ...any)
	Logf(format string, args ...any)
}

// host is one instance with its disk. The disk holds synced state only.
type host struct {
	name        string
	incarnation int
	disk        SavedState
	node        *Node // nil while the process is down
	stateHash   uint64
	applied     uint64 // highest index applied since the disk was last empty
	reads       map[uint64]uint64
}

func (h *host) id() string { return MemberID(h.name, fmt.Sprint(h.incarnation)) }

type logKey struct{ index, term uint64 }

// sim simulates a group in one goroutine and checks the safety properties after every step.
type sim struct {
	t             testingT
	now           time.Time
	rand          *rand.Rand
	hosts         []*host
	network       []Message
	partition     map[string]int // network partition of each host, by instance name
	joinRequests  []string
	nextID        int
	nextRead      uint64
	lostIDs       map[string]bool // member ids of lost disks
	cfg           Config
	traceMessages bool
	delivered     map[MessageType]int

	leaderByTerm        map[uint64]string // by term
	entryContents       map[logKey]string // content of each entry and term of the previous entry
	committed           []Entry           // committed[i] has index i+2
	stateHashes         map[uint64]uint64 // state hash after each index
	committedMembership Membership        // latest committed
	proposedMemberships map[logKey]Membership
}

func newSim(t testingT, seed uint64, voters int, spares int) *sim {
	s := &sim{t: t, now: time.Unix(0, 0), rand: rand.New(rand.NewPCG(seed, 1)), partition: map[string]int{},
		lostIDs: map[string]bool{}, leaderByTerm: map[uint64]string{}, entryContents: map[logKey]string{},
		stateHashes: map[uint64]uint64{1: 0}, delivered: map[MessageType]int{}, proposedMemberships: map[logKey]Membership{}}
	var ids []string
	for i := range voters + spares {
		h := &host{name: string(rune('a' + i))}
		s.hosts = append(s.hosts, h)
		if i < voters {
			ids = append(ids, h.id())
		}
	}
	for i := range voters {
		s.hosts[i].disk = SavedState{HardState: HardState{Term: 1, Commit: 1}, Snapshot: BootstrapSnapshot(ids)}
	}
	s.committedMembership = Membership{Voters: ids}
	s.cfg = Config{MaxMessageBytes: 300, MaxInflight: 4}
	return s
}

func (s *sim) startAll() *sim {
	for _, h := range s.hosts {
		s.start(h)
	}
	return s
}

func (s *sim) start(h *host) {
	cfg := s.cfg
	cfg.ID, cfg.Rand = h.id(), s.rand
	disk := h.disk
	disk.Entries = slices.Clone(disk.Entries)
	n, err := New(cfg, disk)
	if err != nil {
		s.t.Fatalf("start %s: %v", h.id(), err)
	}
	h.node, h.reads = n, map[uint64]uint64{}
	h.stateHash = s.restoreState(&h.disk.Snapshot)
	s.processReady(h, 3)
	if n.applied < h.applied {
		s.t.Fatalf("%s: applied index went back from %d to %d after a restart", h.id(), h.applied, n.applied)
	}
	n.Tick(s.now)
}

func (s *sim) restoreState(snapshot *Snapshot) uint64 {
	if len(snapshot.Data) == 0 {
		return 0
	}
	var index, state uint64
	if _, err := fmt.Sscanf(string(snapshot.Data), "%d %d", &index, &state); err != nil {
		s.t.Fatalf("snapshot %q: %v", snapshot.Data, err)
	}
	if index != snapshot.Index || s.stateHashes[index] != state {
		s.t.Fatalf("snapshot at %d holds state %d of index %d, expected %d", snapshot.Index, state, index, s.stateHashes[index])
	}
	return state
}

func (s *sim) crash(h *host) { h.node = nil }

// loseDisk stops a process and erases its disk. The host restarts with a new incarnation.
func (s *sim) loseDisk(h *host) {
	s.lostIDs[h.id()] = true
	h.incarnation++
	h.node, h.disk, h.applied = nil, SavedState{}, 0
}

// canLoseDisk reports whether the group must survive the loss of one more disk, under the committed membership and
// every uncommitted one in any log. A learner counts as a voter, because an acknowledgement that it sent before the
// loss can still promote it. If it is the second voter of that group, the loss leaves no majority.
func (s *sim) canLoseDisk(h *host) bool {
	if !survivesLoss(&s.committedMembership, s.lostIDs, h.id()) {
		return false
	}
	for key, m := range s.proposedMemberships {
		if key.index > s.commitIndex() && !survivesLoss(&m, s.lostIDs, h.id()) {
			return false
		}
	}
	return true
}

func survivesLoss(m *Membership, lost map[string]bool, next string) bool {
	voters := slices.Clone(m.Voters)
	if m.IsLearner(next) {
		voters = append(voters, next)
	}
	lostCount := 0
	for _, id := range voters {
		if lost[id] || id == next {
			lostCount++
		}
	}
	return !slices.Contains(voters, next) || lostCount <= (len(voters)-1)/2
}

// processReady does the work of Ready. crashStage is the point at which the process crashes: 0 before the sync, 1 after
// the sync, 2 after sending messages. With 3 it does not crash.
func (s *sim) processReady(h *host, crashStage int) {
	for h.node != nil {
		r, ok := h.node.Ready()
		if !ok {
			return
		}
		if crashStage >= 1 {
			s.sync(h, &r)
		}
		if crashStage >= 2 {
			s.network = append(s.network, r.Messages...)
		}
		if crashStage < 3 {
			s.crash(h)
			return
		}
		s.apply(h, &r)
		h.node.Advance(s.now, r)
		s.check(h)
	}
}

func (s *sim) sync(h *host, r *Ready) {
	d := &h.disk
	if r.Snapshot != nil {
		d.Snapshot, d.Entries = *r.Snapshot, nil
	}
	if r.SyncHardState {
		d.HardState = r.HardState
	}
	for _, e := range r.Entries {
		if len(d.Entries) > 0 {
			keptCount := e.Index - d.Entries[0].Index
			d.Entries = d.Entries[:keptCount:keptCount]
		}
		d.Entries = append(d.Entries, e)
	}
}

func (s *sim) apply(h *host, r *Ready) {
	if r.Snapshot != nil {
		h.stateHash = s.restoreState(r.Snapshot)
		h.applied = max(h.applied, r.Snapshot.Index)
	}
	for _, e := range r.Committed {
		if h.disk.HardState.Commit < e.Index {
			s.t.Fatalf("%s: entry %d applied before the commit index was synced", h.id(), e.Index)
		}
		hash := fnv.New64a()
		fmt.Fprint(hash, h.stateHash, e.Index, e.Term, e.ID, e.Kind)
		h.stateHash = hash.Sum64()
		if want, ok := s.stateHashes[e.Index]; ok && want != h.stateHash {
			s.t.Fatalf("%s: state after entry %d differs from another replica", h.id(), e.Index)
		}
		s.stateHashes[e.Index] = h.stateHash
		h.applied = max(h.applied, e.Index)
	}
	for _, read := range r.Reads {
		if !read.LeadershipLost && read.Index < h.reads[read.ID] {
			s.t.Fatalf("%s: read index %d is below the commit index %d at the start of the read", h.id(), read.Index, h.reads[read.ID])
		}
	}
}

func (s *sim) commitIndex() uint64 { return uint64(len(s.committed)) + 1 }

// check verifies the safety properties of a host after a step.
func (s *sim) check(h *host) {
	if h.node == nil {
		return
	}
	s.checkLog(h.node)
	s.checkCommitted(h.node)
	if h.node.role == Leader {
		s.checkLeader(h.node)
	}
}

// checkLog checks log matching: entries with the same index and term are equal, and the entries before them have the
// same term. It skips entries that are not synced, because a single voter that crashes may reuse their index and term.
func (s *sim) checkLog(n *Node) {
	for _, e := range n.log.entries[max(0, len(n.log.entries)-8):] {
		key := logKey{e.Index, e.Term}
		if e.Kind == EntryMembership && e.Index > s.commitIndex() {
			s.proposedMemberships[key] = n.membershipAtIndex(e.Index)
		}
		if e.Index > n.stable {
			continue
		}
		prev, _ := n.log.term(e.Index - 1)
		content := fmt.Sprint(e.Kind, e.ID, len(e.Data), prev)
		if other, ok := s.entryContents[key]; ok && other != content {
			s.t.Fatalf("%s: entry %d of term %d is %q, elsewhere %q", n.cfg.ID, e.Index, e.Term, content, other)
		}
		s.entryContents[key] = content
	}
}

// checkCommitted checks state machine safety: no two different entries are committed at the same index.
func (s *sim) checkCommitted(n *Node) {
	for index := s.commitIndex() + 1; index <= n.hardState.Commit; index++ {
		e := n.log.slice(index, index, 1)
		if e == nil {
			s.t.Fatalf("%s: entry %d is committed but not in the log", n.cfg.ID, index)
		}
		s.committed = append(s.committed, e[0])
		if e[0].Kind == EntryMembership {
			s.committedMembership = n.membershipAtIndex(index)
		}
	}
	for index := n.hardState.Commit; index > n.log.baseIndex && index+20 > n.hardState.Commit; index-- {
		if t, _ := n.log.term(index); t != s.committed[index-2].Term {
			s.t.Fatalf("%s: entry %d has term %d, but was committed with term %d", n.cfg.ID, index, t, s.committed[index-2].Term)
		}
	}
}

// checkLeader checks election safety, at most one leader per term, and leader completeness: a new leader holds all
// entries committed in earlier terms.
func (s *sim) checkLeader(n *Node) {
	if other, ok := s.leaderByTerm[n.hardState.Term]; ok && other != n.cfg.ID {
		s.t.Fatalf("term %d has leaders %s and %s", n.hardState.Term, other, n.cfg.ID)
	} else if ok {
		return
	}
	s.leaderByTerm[n.hardState.Term] = n.cfg.ID
	for i, e := range s.committed {
		index := uint64(i) + 2
		if e.Term < n.hardState.Term && index >= n.log.baseIndex && !n.log.matches(index, e.Term) {
			s.t.Fatalf("leader %s of term %d lacks committed entry %d of term %d", n.cfg.ID, n.hardState.Term, index, e.Term)
		}
	}
}

func (s *sim) host(id string) *host {
	for _, h := range s.hosts {
		if h.id() == id {
			return h
		}
	}
	return nil
}

func (s *sim) deliver(m Message) {
	h := s.host(m.To)
	if h == nil || h.node == nil || s.partition[MemberName(m.From)] != s.partition[h.name] {
		return
	}
	if s.traceMessages {
		s.t.Logf("%v %+v", s.now.Sub(time.Unix(0, 0)), m)
	}
	s.delivered[m.Type]++
	if err := h.node.Step(s.now, m); err != nil {
		s.t.Fatalf("%s: step: %v", h.id(), err)
	}
	s.check(h)
}

// run advances the time and delivers all messages in order until done returns true or limit has passed.
func (s *sim) run(limit time.Duration, done func() bool) bool {
	for end := s.now.Add(limit); s.now.Before(end); {
		if done != nil && done() {
			return true
		}
		s.now = s.now.Add(10 * time.Millisecond)
		for _, h := range s.hosts {
			if h.node != nil {
				h.node.Tick(s.now)
				s.check(h)
				s.processReady(h, 3)
			}
		}
		messages := s.network
		s.network = nil
		for _, m := range messages {
			s.deliver(m)
		}
		for _, h := range s.hosts {
			s.processReady(h, 3)
		}
	}
	return done != nil && done()
}

// leader returns the leader with the highest term.
func (s *sim) leader() *host {
	var newest *host
	for _, h := range s.hosts {
		if h.node != nil && h.node.role == Leader && (newest == nil || h.node.hardState.Term > newest.node.hardState.Term) {
			newest = h
		}
	}
	return newest
}

func (s *sim) awaitLeader() *host {
	if !s.run(20*time.Second, func() bool { l := s.leader(); return l != nil && l.node.hardState.Commit >= l.node.termStartIndex }) {
		s.t.Fatalf("no leader within 20 s")
	}
	return s.leader()
}

func (s *sim) propose(h *host) bool {
	s.nextID++
	_, _, err := h.node.Propose(s.now, fmt.Sprint("p", s.nextID), make([]byte, s.rand.IntN(60)))
	return err == nil
}

// commit proposes entries to the current leader until one more entry is committed.
func (s *sim) commit(limit time.Duration) bool {
	target := s.commitIndex() + 1
	return s.run(limit, func() bool {
		if l := s.leader(); l != nil && l.node.log.lastIndex() < l.node.hardState.Commit+8 {
			s.propose(l)
		}
		return s.commitIndex() >= target && s.leader() != nil
	})
}

func (s *sim) read(h *host) {
	s.nextRead++
	h.reads[s.nextRead] = s.commitIndex()
	_ = h.node.ReadIndex(s.now, s.nextRead)
}

func (s *sim) compact(h *host, keep uint64) {
	n := h.node
	if n.applied <= n.snapshot.Index || n.applied != h.applied {
		return
	}
	snapshot, err := n.Compact(n.applied, n.applied-min(keep, n.applied), fmt.Appendf(nil, "%d %d %200d", n.applied, h.stateHash, 0))
	if err != nil {
		s.t.Fatalf("%s: compact: %v", h.id(), err)
	}
	h.disk.Snapshot = snapshot
	h.disk.Entries = slices.DeleteFunc(slices.Clone(h.disk.Entries), func(e Entry) bool { return e.Index <= n.log.baseIndex })
}

// join proposes to the leader that the host with this member id joins, as a host that is not a voter requests it.
func (s *sim) join(id string) {
	l := s.leader()
	if h := s.host(id); l == nil || h == nil || s.partition[h.name] != s.partition[l.name] {
		return
	}
	_ = l.node.ProposeChange(s.now, MembershipChange{Kind: ChangeJoin, ID: id})
	s.check(l)
}

// isVoter reports whether the host, with its current incarnation, is a voter in the committed membership.
func (s *sim) isVoter(h *host) bool { return s.committedMembership.IsVoter(h.id()) }
