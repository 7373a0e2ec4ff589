package raft

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// schedule generates the steps of a random run from a seed. rapid draws only the seed and the number of steps: its own
// integers favour small values, and with them most runs elected no leader. rapid shrinks a failing run by its number of
// steps.
type schedule struct {
	*sim
	steps   *rand.Rand
	removed bool
}

func newSchedule(rt *rapid.T) *schedule {
	seed := rapid.Uint64().Draw(rt, "seed")
	salt := rapid.Uint64().Draw(rt, "salt")
	s := &schedule{steps: rand.New(rand.NewPCG(seed, salt))}
	s.sim = newSim(rt, seed^salt, 1+s.number(5), s.number(2)).startAll()
	return s
}

func (s *schedule) number(limit int) int { return s.steps.IntN(limit) }

func (s *schedule) pick() *host { return s.hosts[s.number(len(s.hosts))] }

func (s *schedule) up() *host {
	if h := s.pick(); h.node != nil {
		return h
	}
	return nil
}

// deliverSome delivers some messages in random order. It duplicates some and drops some.
func (s *schedule) deliverSome() {
	for range 1 + s.number(8) {
		if len(s.network) == 0 {
			return
		}
		i := 0
		if s.number(3) == 0 {
			i = s.number(len(s.network))
		}
		m := s.network[i]
		fate := s.number(16)
		if fate != 0 {
			s.network = slices.Delete(s.network, i, i+1)
		}
		if fate != 1 {
			s.deliver(m)
		}
		if h := s.host(m.To); h != nil && s.number(3) != 0 {
			s.pump(h, 3)
		}
	}
}

func (s *schedule) proposeSome(h *host) {
	for range 1 + s.number(6) {
		s.propose(h)
	}
	if s.number(2) == 0 {
		s.pump(h, 3)
	}
}

func (s *schedule) tick() {
	s.now = s.now.Add(time.Duration(10+s.number(400)) * time.Millisecond)
	for _, h := range s.hosts {
		if h.node != nil {
			h.node.Tick(s.now)
			s.check(h)
			s.pump(h, 3)
		}
	}
}

func (s *schedule) step() {
	switch action := s.number(42); {
	case action < 14:
		s.deliverSome()
	case action < 20:
		s.tick()
	case action < 26:
		// A time without message loss or reordering, so that elections complete.
		s.run(time.Duration(s.number(2000))*time.Millisecond, nil)
	case action < 30:
		if h := s.leader(); h != nil && s.number(4) != 0 {
			s.proposeSome(h)
		} else if h := s.up(); h != nil {
			s.proposeSome(h)
		}
	case action == 30:
		if h := s.up(); h != nil {
			s.pump(h, s.number(3))
			s.crash(h)
		}
	case action < 33:
		if h := s.pick(); h.node == nil {
			s.start(h)
		}
	case action == 33:
		for _, h := range s.hosts {
			s.side[h.name] = s.number(2)
		}
	case action == 34:
		clear(s.side)
	case action == 35:
		if h := s.pick(); s.mayLose(h) {
			s.loseDisk(h)
			s.start(h)
		}
	case action < 38:
		if h := s.pick(); !s.isVoter(h) {
			s.joins = append(s.joins, h.id())
			// Also a delayed request, whose id may be of a disk that has been lost since.
			s.join(s.joins[s.number(len(s.joins))])
			s.join(h.id())
		}
	case action < 41:
		if h := s.up(); h != nil {
			s.compact(h, uint64(s.number(4)))
		}
	default:
		s.rareStep()
	}
}

func (s *schedule) rareStep() {
	h := s.up()
	if h == nil {
		return
	}
	switch s.number(6) {
	case 0, 1, 2:
		s.read(h)
		return
	case 3:
		h.node.TransferLeadership()
		return
	}
	if l := s.leader(); l != nil && len(s.members.Voters) > 2 {
		s.removed = true
		_ = l.node.ProposeChange(s.now, MembershipChange{Kind: ChangeRemove, ID: h.id()})
		s.check(l)
	}
}

// Guards against violations of election safety, log matching, leader completeness, state machine safety and
// linearizable reads, and against an applied index that goes back, under message loss, reordering, duplication,
// partitions, crashes that lose unsynced data, lost disks and membership changes. After the faults end, the group must
// make progress.
func TestRandomSchedules(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSchedule(rt)
		for range rapid.SampledFrom([]int{50, 100, 200, 400, 800}).Draw(rt, "steps") {
			s.step()
		}
		if s.removed {
			return // a removed member cannot join again, so the remaining voters may have no majority
		}
		clear(s.side)
		for _, h := range s.hosts {
			if h.node == nil {
				s.start(h)
			}
		}
		whole := s.run(120*time.Second, func() bool {
			all := true
			for _, h := range s.hosts {
				if !s.isVoter(h) {
					s.join(h.id())
					all = false
				}
			}
			return all
		})
		if !whole {
			rt.Fatalf("not all hosts became voters within 120 s: membership %+v", s.members)
		}
		if !s.commit(20 * time.Second) {
			rt.Fatalf("no entry committed within 20 s after all faults ended")
		}
	})
}
