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
	stepRand      *rand.Rand
	memberRemoved bool
}

func newSchedule(rt *rapid.T) *schedule {
	seed := rapid.Uint64().Draw(rt, "seed")
	salt := rapid.Uint64().Draw(rt, "salt")
	s := &schedule{stepRand: rand.New(rand.NewPCG(seed, salt))}
	s.sim = newSim(rt, seed^salt, 1+s.randomInt(5), s.randomInt(2)).startAll()
	return s
}

func (s *schedule) randomInt(limit int) int { return s.stepRand.IntN(limit) }

func (s *schedule) randomHost() *host { return s.hosts[s.randomInt(len(s.hosts))] }

func (s *schedule) randomRunningHost() *host {
	if h := s.randomHost(); h.node != nil {
		return h
	}
	return nil
}

// deliverRandomly delivers some messages in random order. It duplicates some and drops some.
func (s *schedule) deliverRandomly() {
	for range 1 + s.randomInt(8) {
		if len(s.network) == 0 {
			return
		}
		i := 0
		if s.randomInt(3) == 0 {
			i = s.randomInt(len(s.network))
		}
		m := s.network[i]
		outcome := s.randomInt(16)
		if outcome != 0 {
			s.network = slices.Delete(s.network, i, i+1)
		}
		if outcome != 1 {
			s.deliver(m)
		}
		if h := s.host(m.To); h != nil && s.randomInt(3) != 0 {
			s.processReady(h, 3)
		}
	}
}

func (s *schedule) proposeBatch(h *host) {
	for range 1 + s.randomInt(6) {
		s.propose(h)
	}
	if s.randomInt(2) == 0 {
		s.processReady(h, 3)
	}
}

func (s *schedule) tick() {
	s.now = s.now.Add(time.Duration(10+s.randomInt(400)) * time.Millisecond)
	for _, h := range s.hosts {
		if h.node != nil {
			h.node.Tick(s.now)
			s.check(h)
			s.processReady(h, 3)
		}
	}
}

func (s *schedule) step() {
	switch action := s.randomInt(42); {
	case action < 14:
		s.deliverRandomly()
	case action < 20:
		s.tick()
	case action < 26:
		// A time without message loss or reordering, so that elections complete.
		s.run(time.Duration(s.randomInt(2000))*time.Millisecond, nil)
	case action < 30:
		if h := s.leader(); h != nil && s.randomInt(4) != 0 {
			s.proposeBatch(h)
		} else if h := s.randomRunningHost(); h != nil {
			s.proposeBatch(h)
		}
	case action == 30:
		if h := s.randomRunningHost(); h != nil {
			s.processReady(h, s.randomInt(3))
			s.crash(h)
		}
	case action < 33:
		if h := s.randomHost(); h.node == nil {
			s.start(h)
		}
	case action == 33:
		for _, h := range s.hosts {
			s.partition[h.name] = s.randomInt(2)
		}
	case action == 34:
		clear(s.partition)
	case action == 35:
		if h := s.randomHost(); s.canLoseDisk(h) {
			s.loseDisk(h)
			s.start(h)
		}
	case action < 38:
		if h := s.randomHost(); !s.isVoter(h) {
			s.joinRequests = append(s.joinRequests, h.id())
			// Also a delayed request, whose id may be of a disk that has been lost since.
			s.join(s.joinRequests[s.randomInt(len(s.joinRequests))])
			s.join(h.id())
		}
	case action < 41:
		if h := s.randomRunningHost(); h != nil {
			s.compact(h, uint64(s.randomInt(4)))
		}
	default:
		s.rareStep()
	}
}

func (s *schedule) rareStep() {
	h := s.randomRunningHost()
	if h == nil {
		return
	}
	switch s.randomInt(6) {
	case 0, 1, 2:
		s.read(h)
		return
	case 3:
		h.node.TransferLeadership()
		return
	}
	if l := s.leader(); l != nil && len(s.committedMembership.Voters) > 2 {
		s.memberRemoved = true
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
		if s.memberRemoved {
			return // a removed member cannot join again, so the remaining voters may have no majority
		}
		clear(s.partition)
		for _, h := range s.hosts {
			if h.node == nil {
				s.start(h)
			}
		}
		allVoters := s.run(120*time.Second, func() bool {
			joined := true
			for _, h := range s.hosts {
				if !s.isVoter(h) {
					s.join(h.id())
					joined = false
				}
			}
			return joined
		})
		if !allVoters {
			rt.Fatalf("not all hosts became voters within 120 s: membership %+v", s.committedMembership)
		}
		if !s.commit(20 * time.Second) {
			rt.Fatalf("no entry committed within 20 s after all faults ended")
		}
	})
}
