package controllerlease

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/tarragonhoist/tarragonhoist/coordination/lossynet"
	"github.com/tarragonhoist/tarragonhoist/state/electorate"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const tickInterval = 25 * time.Millisecond

// process simulates one instance with its own clock rate.
type process struct {
	name                 string
	clockRate            float64
	incarnation          uint64
	elector              *Elector
	candidate            *Candidate
	savedPromise         *Promise
	appliedCount         int
	downUntil            time.Duration
	frozenUntil          time.Duration
	inboundBlockedUntil  time.Duration
	outboundBlockedUntil time.Duration
	joinRequestedAt      time.Duration
	lastFence            uint64
}

// clock returns the local time of the process at the simulated time t.
func (p *process) clock(t time.Duration) time.Time {
	return epoch.Add(time.Duration(float64(t) * p.clockRate))
}

type committedEntry struct {
	result     electorate.Result
	vote       electorate.Vote
	latestJoin uint64
	journal    electorate.JournalCopy
}

// cluster simulates the electorate of one data centre and the config log.
type cluster struct {
	t            *rapid.T
	random       *rand.Rand
	now          time.Duration
	processes    []*process
	names        []string
	machine      *electorate.Machine
	log          []committedEntry
	network      *lossynet.Network
	faultRate    float64
	logDownUntil time.Duration
	highestGrant uint64
	grantCount   int
}

func newCluster(t *rapid.T, size int, seed uint64, faultRate float64) *cluster {
	c := &cluster{t: t, random: rand.New(rand.NewPCG(seed, 1)), machine: electorate.New(), faultRate: faultRate}
	c.network = &lossynet.Network{
		Random: c.random, LossShare: 0.1 * faultRate, RepeatShare: 0.1 * faultRate, LateShare: 0.15 * faultRate,
		MaxDelay: 40 * time.Millisecond, MaxLate: []time.Duration{1500 * time.Millisecond, 8 * time.Second}[c.random.IntN(2)],
	}
	for i := range size {
		c.names = append(c.names, fmt.Sprintf("i%d", i))
	}
	for _, name := range c.names {
		// The ratio of any two rates stays below 3.5 s to 3 s, which DriftMargin allows.
		p := &process{name: name, clockRate: 0.93 + 0.14*c.random.Float64()}
		c.processes = append(c.processes, p)
		c.start(p)
	}
	return c
}

func (c *cluster) start(p *process) {
	p.incarnation++
	p.lastFence, p.joinRequestedAt = 0, -time.Hour
	now := p.clock(c.now)
	p.elector = NewElector(now, "dc", p.name, p.savedPromise, electorate.JournalCopy{})
	p.candidate = NewCandidate(now, electorate.Holder{Name: p.name, Incarnation: p.incarnation},
		Electorate{DataCentre: "dc", Instances: c.names}, rand.New(rand.NewPCG(c.random.Uint64(), 2)))
}

func (c *cluster) chance(probability float64) bool {
	return c.random.Float64() < probability*c.faultRate
}

func (c *cluster) duration(limit time.Duration) time.Duration {
	return time.Duration(c.random.Int64N(int64(limit)))
}

// send delivers a message unless the receiver was restarted, is not running or is partitioned from the sender.
func (c *cluster) send(from, to *process, deliver func()) {
	sent, incarnation := c.now, to.incarnation
	c.network.Post(c.now, func() {
		blocked := from != to && (from.outboundBlockedUntil > sent || to.inboundBlockedUntil > c.now)
		if !blocked && to.incarnation == incarnation && c.isRunning(to) {
			deliver()
		}
	})
}

func (c *cluster) isRunning(p *process) bool { return p.downUntil <= c.now && p.frozenUntil <= c.now }

// propose commits a command after a delay and passes the result to done if the process is still running.
func (c *cluster) propose(p *process, command electorate.Command, done func(committedEntry)) {
	data, err := command.Encode()
	if err != nil {
		c.t.Fatal(err)
	}
	c.send(p, p, func() {
		if c.logDownUntil > c.now {
			return
		}
		raw, err := c.machine.Apply(uint64(len(c.log)+1), data)
		if err != nil {
			c.t.Fatal(err)
		}
		result, err := electorate.DecodeResult(raw)
		if err != nil {
			c.t.Fatal(err)
		}
		entry := committedEntry{result, c.machine.Vote("dc"), c.machine.LatestJoin("dc"), c.machine.Journal("dc")}
		c.log = append(c.log, entry)
		c.send(p, p, func() { done(entry) })
	})
}

func (c *cluster) vote(p *process, r VoteRequest) {
	for _, to := range c.processes {
		if to.name != r.Elector {
			continue
		}
		c.send(p, to, func() {
			response, promise := to.elector.Vote(to.clock(c.now), r)
			if promise != nil {
				saved := *promise
				to.savedPromise = &saved
				to.elector.ConfirmSynced(saved)
			}
			c.send(to, p, func() {
				p.candidate.Step(p.clock(c.now), response)
				c.check()
			})
		})
	}
}

// check verifies that there is at most one holder at a time and that each grant has a higher fencing number than all
// earlier grants.
func (c *cluster) check() {
	holders := 0
	for _, p := range c.processes {
		if p.downUntil > c.now {
			continue
		}
		fence, ok := p.candidate.HeldFence(p.clock(c.now))
		if !ok {
			continue
		}
		holders++
		if fence != p.lastFence {
			if fence <= c.highestGrant {
				c.t.Fatalf("at %v %s was granted fencing number %x after %x", c.now, p.name, fence, c.highestGrant)
			}
			c.highestGrant, p.lastFence = fence, fence
			c.grantCount++
		}
	}
	if holders > 1 {
		c.t.Fatalf("at %v %d processes hold the lease", c.now, holders)
	}
}

func (c *cluster) tick(p *process) {
	now := p.clock(c.now)
	if p.inboundBlockedUntil <= c.now && c.logDownUntil <= c.now && p.appliedCount < len(c.log) && c.random.IntN(3) > 0 {
		p.appliedCount++
		p.candidate.ObserveJoin(c.log[p.appliedCount-1].latestJoin)
		p.candidate.ObserveWitness(now, c.log[p.appliedCount-1].vote)
	}
	if !p.elector.Joined() && c.now-p.joinRequestedAt > time.Second {
		p.joinRequestedAt = c.now
		join := electorate.Join{DataCentre: "dc", Elector: p.name, Incarnation: p.incarnation}
		c.propose(p, electorate.Command{Join: &join}, func(e committedEntry) {
			promise, err := p.elector.Join(e.result.JoinIndex)
			if err != nil {
				c.t.Fatal(err)
			}
			p.savedPromise = &promise
			p.elector.ConfirmSynced(promise)
		})
	}
	requests := p.candidate.Tick(now)
	if c.chance(0.001) {
		requests = p.candidate.Release(now)
	}
	for _, r := range requests.Votes {
		c.vote(p, r)
	}
	if requests.Witness != nil {
		c.propose(p, electorate.Command{Vote: requests.Witness}, func(e committedEntry) {
			p.candidate.StepWitness(p.clock(c.now), e.result, e.journal)
			c.check()
		})
	}
}

func (c *cluster) injectFault() {
	p := c.processes[c.random.IntN(len(c.processes))]
	switch {
	case c.chance(0.004):
		p.downUntil = c.now + c.duration(5*time.Second)
		if c.chance(0.5) {
			p.savedPromise = nil
		}
		c.start(p)
	case c.chance(0.004):
		p.frozenUntil = c.now + c.duration(8*time.Second)
	case c.chance(0.01):
		// Two of three partitions are one-way, so that delayed responses reach a holder whose requests are lost, or the
		// reverse.
		until := c.now + c.duration(12*time.Second)
		switch c.random.IntN(3) {
		case 0:
			p.outboundBlockedUntil = until
		case 1:
			p.inboundBlockedUntil = until
		default:
			p.outboundBlockedUntil, p.inboundBlockedUntil = until, until
		}
	case c.chance(0.002):
		c.logDownUntil = c.now + c.duration(15*time.Second)
	}
}

func (c *cluster) run(length time.Duration) {
	for end := c.now + length; c.now < end; c.now += tickInterval {
		c.injectFault()
		c.network.Deliver(c.now)
		for _, p := range c.processes {
			if c.isRunning(p) {
				c.tick(p)
			}
		}
		c.check()
	}
}

// Guards against two controllers at the same time and against fencing numbers that repeat or decrease, under message
// loss, delay, partitions, restarts, lost promises, frozen processes and clock drift.
func TestAtMostOneHolderUnderFaults(t *testing.T) {
	for size := 1; size <= 4; size++ {
		t.Run(fmt.Sprintf("electorate of %d", size), func(t *testing.T) {
			grantCount := 0
			rapid.Check(t, func(t *rapid.T) {
				c := newCluster(t, size, rapid.Uint64().Draw(t, "seed"), rapid.Float64Range(0.2, 3).Draw(t, "faults"))
				c.run(90 * time.Second)
				grantCount += c.grantCount
			})
			if grantCount < 100 {
				t.Fatalf("only %d grants in all runs, want at least 100", grantCount)
			}
			t.Logf("%d grants", grantCount)
		})
	}
}

// Guards against an electorate that elects no holder although a majority, including the witness, is available, and
// against one that elects a holder without a majority.
func TestElectsOnlyAndAlwaysWithMajority(t *testing.T) {
	for _, c := range []struct {
		size, down int
		logDown    bool
		want       bool
	}{
		{1, 0, true, true}, {2, 0, true, true}, {2, 1, false, true}, {2, 1, true, false}, {3, 1, true, true},
		{3, 2, false, false}, {4, 2, false, true}, {4, 2, true, false}, {4, 1, true, true},
	} {
		t.Run(fmt.Sprintf("%+v", c), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				s := newCluster(t, c.size, rapid.Uint64().Draw(t, "seed"), 0)
				s.run(15 * time.Second)
				if s.grantCount == 0 {
					t.Fatal("no process holds the lease after 15 s without faults")
				}
				for i := range c.down {
					s.processes[i].downUntil = time.Hour
				}
				if c.logDown {
					s.logDownUntil = time.Hour
				}
				s.run(20 * time.Second)
				held := false
				for _, p := range s.processes {
					_, ok := p.candidate.HeldFence(p.clock(s.now))
					held = held || ok && s.isRunning(p)
				}
				if held != c.want {
					t.Fatalf("holder present: %v, want %v", held, c.want)
				}
			})
		})
	}
}

func BenchmarkVote(b *testing.B) {
	e := NewElector(epoch, "dc", "i0", &Promise{Fence: 1}, electorate.JournalCopy{})
	r := VoteRequest{DataCentre: "dc", Elector: "i0", Holder: electorate.Holder{Name: "i1"}, Fence: 2}
	now := epoch.Add(time.Minute)
	b.ReportAllocs()
	for b.Loop() {
		e.Vote(now, r)
	}
}

func BenchmarkHolderTick(b *testing.B) {
	candidate := NewCandidate(epoch, electorate.Holder{Name: "i0"}, Electorate{"dc", []string{"i0", "i1", "i2"}}, rand.New(rand.NewPCG(1, 1)))
	now := epoch
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(100 * time.Millisecond)
		candidate.Tick(now)
	}
}

// Guards against an elector that refuses all renewals after it joined again, because its join raised its promise above
// the holder's fencing number. The loss of one more elector would then end the lease.
func TestRejoinedElectorRenewsLease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, 3, rapid.Uint64().Draw(t, "seed"), 0)
		c.run(15 * time.Second)
		i := slices.IndexFunc(c.processes, func(p *process) bool { return p.lastFence > 0 && p.lastFence == c.highestGrant })
		holder, rejoining, lost := c.processes[i], c.processes[(i+1)%3], c.processes[(i+2)%3]
		rejoining.savedPromise = nil
		c.start(rejoining)
		c.run(10 * time.Second)
		lost.downUntil = time.Hour
		for range 200 {
			c.run(tickInterval)
			if _, ok := holder.candidate.HeldFence(holder.clock(c.now)); !ok {
				t.Fatalf("the lease ended at %v although two of three electors are running", c.now)
			}
		}
	})
}

// Guards against a lease whose start is the arrival of a vote, or the request of a later round than that of the vote.
// The lease would then outlast the electors' leases.
func TestLeaseStartsAtItsRequest(t *testing.T) {
	self := electorate.Holder{Name: "i0", Incarnation: 1}
	candidate := NewCandidate(epoch, self, Electorate{"dc", []string{"i0", "i1", "i2"}}, rand.New(rand.NewPCG(1, 1)))
	answer := func(now time.Time, requests []VoteRequest) {
		for _, r := range requests[:2] {
			candidate.Step(now, VoteResponse{Elector: r.Elector, Holder: self, Fence: r.Fence, Round: r.Round, Granted: true, Journal: &electorate.JournalCopy{}})
		}
	}
	sent := epoch.Add(campaignBaseDelay + campaignJitter)
	first := candidate.Tick(sent).Votes
	answer(sent.Add(900*time.Millisecond), first)
	renewed := sent.Add(1200 * time.Millisecond)
	candidate.Tick(renewed)
	answer(renewed.Add(900*time.Millisecond), first)
	if _, ok := candidate.HeldFence(sent.Add(LeaseDuration - 1)); !ok {
		t.Fatal("the lease expired before LeaseDuration after its request")
	}
	if _, ok := candidate.HeldFence(sent.Add(LeaseDuration)); ok {
		t.Fatal("the lease is still valid LeaseDuration after its request")
	}
}
