package calls

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/tarragonhoist/tarragonhoist/protocol/api"
	"github.com/tarragonhoist/tarragonhoist/state/callledger"
)

// process is one incarnation of an instance.
type process struct {
	dispatcher *Dispatcher
	killed     bool
}

// sentProposal is a proposal whose outcome has not been decided yet.
type sentProposal struct {
	from    *process
	id      uint64
	command []byte
}

type sentAttempt struct {
	from    *process
	attempt string
}

type execution struct {
	attempt string
	at      time.Time
}

// cluster simulates instances, a replicated log with faults, and a service that records which attempts it runs.
type cluster struct {
	t              *rapid.T
	now            time.Time
	ledger         *callledger.Machine
	restoredLedger *callledger.Machine
	index          uint64
	processes      []*process
	incarnations   []uint64
	proposals      []sentProposal
	attempts       []sentAttempt
	// lateCommits and lateRuns may still be committed or run although their sender got no response or was killed.
	lateCommits      [][]byte
	lateRuns         []string
	keyOf            map[string]callledger.CallKey
	runs             map[callledger.CallKey][]execution
	refused          map[string]bool
	granted          map[string]bool
	released         map[string]bool
	lastRetentionEnd time.Time
}

func newCluster(t *rapid.T, instances int) *cluster {
	c := &cluster{
		t: t, now: time.Unix(1_700_000_000, 0), ledger: callledger.New(), restoredLedger: callledger.New(),
		keyOf: map[string]callledger.CallKey{}, runs: map[callledger.CallKey][]execution{}, refused: map[string]bool{},
		granted: map[string]bool{}, released: map[string]bool{},
		processes: make([]*process, instances), incarnations: make([]uint64, instances),
	}
	for i := range instances {
		c.startProcess(i)
	}
	return c
}

func (c *cluster) must(err error) {
	if err != nil {
		c.t.Fatal(err)
	}
}

func (c *cluster) startProcess(i int) {
	c.incarnations[i]++
	d, out, err := New(c.now, Options{Instance: fmt.Sprintf("i%d", i), Incarnation: c.incarnations[i]})
	c.must(err)
	c.processes[i] = &process{dispatcher: d}
	c.perform(c.processes[i], out)
}

func (c *cluster) restart(i int) {
	c.processes[i].killed = true
	c.startProcess(i)
}

func (c *cluster) beginCall(i, key int, body string) {
	k := callledger.CallKey{Caller: "c", Service: "orders", Key: fmt.Sprintf("k%d", key)}
	attempt, out, refusal := c.processes[i].dispatcher.Begin(c.now, Call{Key: k, Digest: callledger.Digest("POST", "/", []byte(body))})
	if refusal != nil {
		c.t.Fatal(refusal)
	}
	if _, used := c.keyOf[attempt]; used {
		c.t.Fatalf("attempt id %s was used before", attempt)
	}
	c.keyOf[attempt] = k
	c.perform(c.processes[i], out)
}

func (c *cluster) perform(p *process, out Actions) {
	for _, proposal := range out.Proposals {
		c.proposals = append(c.proposals, sentProposal{from: p, id: proposal.ID, command: proposal.Command})
	}
	for _, attempt := range out.DispatchAttempts {
		c.attempts = append(c.attempts, sentAttempt{from: p, attempt: attempt})
	}
	for _, callResult := range out.Results {
		switch callResult.Result.Outcome {
		case api.Refused:
			c.refused[callResult.Attempt] = true
		case api.Answered:
			if runs := c.runs[c.keyOf[callResult.Attempt]]; len(runs) == 0 || !callResult.Replayed && runs[len(runs)-1].attempt != callResult.Attempt {
				c.t.Fatalf("attempt %s is answered, but the runs of its call are %v", callResult.Attempt, runs)
			} else if got, want := string(callResult.Answer.Body), "ran "+runs[len(runs)-1].attempt; got != want {
				c.t.Fatalf("answer %q, want %q", got, want)
			}
		}
	}
}

// commit applies a command on both replicas and checks that they agree. The second one is restored from its snapshot
// after each command.
func (c *cluster) commit(data []byte) []byte {
	c.index++
	result, err := c.ledger.Apply(c.index, data)
	c.must(err)
	again, err := c.restoredLedger.Apply(c.index, data)
	c.must(err)
	want, err := c.ledger.Snapshot()
	c.must(err)
	got, err := c.restoredLedger.Snapshot()
	c.must(err)
	if !bytes.Equal(result, again) || !bytes.Equal(want, got) {
		c.t.Fatalf("replicas differ after entry %d", c.index)
	}
	c.restoredLedger = callledger.New()
	c.must(c.restoredLedger.Restore(got))
	command, err := callledger.DecodeCommand(data)
	c.must(err)
	decoded, err := callledger.DecodeResult(result)
	c.must(err)
	if command.Reserve != nil && decoded.Status == callledger.Granted {
		c.granted[command.Reserve.Attempt.ID()] = true
	}
	if command.Release != nil && decoded.Status == callledger.Done {
		c.released[command.Release.Attempt.ID()] = true
	}
	return result
}

// Simulated outcomes of a proposal.
const (
	commitReported = iota
	commitUnreported
	neverCommitted
	commitLate
	commitTwice
	outcomeMissing
	proposalOutcomeCount
)

func (c *cluster) resolveProposal(s sentProposal, simulated int) {
	if s.from.killed { // a proposal of a killed process may still be committed
		if simulated != neverCommitted {
			c.lateCommits = append(c.lateCommits, s.command)
		}
		return
	}
	outcome, result := ProposalUnknown, []byte(nil)
	switch simulated {
	case commitReported, commitTwice:
		outcome, result = Committed, c.commit(s.command)
	case commitUnreported:
		c.commit(s.command)
	case neverCommitted:
		outcome = NotCommitted
	case commitLate, outcomeMissing:
	}
	if simulated == commitLate || simulated == commitTwice || simulated == outcomeMissing {
		c.lateCommits = append(c.lateCommits, s.command)
	}
	if simulated == outcomeMissing {
		return
	}
	out, err := s.from.dispatcher.ProposalDone(c.now, s.id, outcome, result)
	c.must(err)
	c.perform(s.from, out)
}

func (c *cluster) runOnTarget(attempt string) {
	key := c.keyOf[attempt]
	for _, earlier := range c.runs[key] {
		if c.now.Sub(earlier.at) < callledger.Retention-time.Hour {
			c.t.Fatalf("%v ran as %s and %v later as %s", key, earlier.attempt, c.now.Sub(earlier.at), attempt)
		}
	}
	c.runs[key] = append(c.runs[key], execution{attempt: attempt, at: c.now})
}

// resolveAttempt simulates one of the outcomes of an HTTP attempt: 0 nothing written, 1 request lost, 2 run without an
// answer, 3 timed out and run late, 4 answered.
func (c *cluster) resolveAttempt(s sentAttempt, simulated int) {
	outcome, answer := WrittenNoAnswer, (*callledger.Answer)(nil)
	switch simulated {
	case 0:
		outcome = NothingWritten
	case 2:
		c.runOnTarget(s.attempt)
	case 3:
		outcome = TimedOut
		c.lateRuns = append(c.lateRuns, s.attempt)
	case 4:
		c.runOnTarget(s.attempt)
		outcome, answer = AnswerReceived, &callledger.Answer{Status: 200, Body: []byte("ran " + s.attempt)}
	}
	if s.from.killed {
		return
	}
	out, err := s.from.dispatcher.AttemptDone(c.now, s.attempt, outcome, answer)
	c.must(err)
	c.perform(s.from, out)
}

func (c *cluster) tick() {
	for _, p := range c.processes {
		out, err := p.dispatcher.Tick(c.now)
		c.must(err)
		c.perform(p, out)
	}
}

func removeAt[T any](list *[]T, i int) T {
	item := (*list)[i]
	*list = append((*list)[:i], (*list)[i+1:]...)
	return item
}

// check asserts that the records of granted and of run attempts exist, and that no refused attempt has run.
func (c *cluster) check() {
	for key, runs := range c.runs {
		for _, r := range runs {
			if c.refused[r.attempt] {
				c.t.Fatalf("attempt %s was refused but ran", r.attempt)
			}
		}
		if last := runs[len(runs)-1]; !last.at.Before(c.lastRetentionEnd) {
			if record, ok := c.ledger.Lookup(key); !ok || record.Owner.ID() != last.attempt {
				c.t.Fatalf("%v ran as %s, but its record is %v", key, last.attempt, record)
			}
		}
	}
	for attempt := range c.granted {
		if record, ok := c.ledger.Lookup(c.keyOf[attempt]); !c.released[attempt] && (!ok || record.Owner.ID() != attempt) {
			c.t.Fatalf("granted attempt %s has no record", attempt)
		}
	}
}

// finishOutstanding completes all outstanding proposals and attempts without further faults, and checks that no call
// stays unfinished.
func (c *cluster) finishOutstanding() {
	for range 100 {
		for len(c.lateRuns) > 0 {
			c.runOnTarget(removeAt(&c.lateRuns, 0))
		}
		for len(c.lateCommits) > 0 {
			c.commit(removeAt(&c.lateCommits, 0))
		}
		for len(c.attempts) > 0 {
			c.resolveAttempt(removeAt(&c.attempts, 0), 4)
		}
		for len(c.proposals) > 0 {
			c.resolveProposal(removeAt(&c.proposals, 0), commitReported)
		}
		c.now = c.now.Add(maxRetryDelay)
		c.tick()
	}
	c.check()
	for i, p := range c.processes {
		if p.dispatcher.Pending() > 0 && len(p.dispatcher.proposals) == 0 {
			c.t.Fatalf("instance %d has %d pending calls but no proposals", i, p.dispatcher.Pending())
		}
	}
	unresolved, _ := c.ledger.Unresolved(1000)
	for _, record := range unresolved {
		owner := c.processes[int(record.Owner.Instance[1]-'0')]
		if record.State == callledger.InProgress && !owner.dispatcher.InProgress(record.Owner.ID()) {
			c.t.Fatalf("record of %v is in progress, but its dispatcher does not know the attempt", record.Owner)
		}
	}
}

// Guards against a call that runs twice, a refusal of a call that ran, and an accepted call without a record, under
// process restarts, lost, late and duplicate commits, late runs and calls repeated on other instances.
func TestCallsRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, rapid.IntRange(1, 3).Draw(t, "instances"))
		instance := rapid.IntRange(0, len(c.processes)-1)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			switch action := rapid.IntRange(0, 39).Draw(t, "action"); {
			case action < 10:
				body := rapid.SampledFrom([]string{"a", "a", "a", "b"}).Draw(t, "body")
				c.beginCall(instance.Draw(t, "instance"), rapid.IntRange(0, 2).Draw(t, "key"), body)
			case action < 24 && len(c.proposals) > 0:
				i := rapid.IntRange(0, len(c.proposals)-1).Draw(t, "proposal")
				c.resolveProposal(removeAt(&c.proposals, i), rapid.IntRange(0, proposalOutcomeCount-1).Draw(t, "simulated outcome"))
			case action < 29 && len(c.attempts) > 0:
				i := rapid.IntRange(0, len(c.attempts)-1).Draw(t, "attempt")
				c.resolveAttempt(removeAt(&c.attempts, i), rapid.IntRange(0, 4).Draw(t, "simulated outcome"))
			case action < 33 && len(c.lateCommits) > 0:
				i := rapid.IntRange(0, len(c.lateCommits)-1).Draw(t, "late commit")
				command := c.lateCommits[i]
				if rapid.Bool().Draw(t, "remove") { // otherwise the command may be committed again
					removeAt(&c.lateCommits, i)
				}
				c.commit(command)
			case action < 35 && len(c.lateRuns) > 0:
				c.runOnTarget(removeAt(&c.lateRuns, rapid.IntRange(0, len(c.lateRuns)-1).Draw(t, "late run")))
			case action < 36:
				c.restart(instance.Draw(t, "restarted instance"))
			case action < 39:
				c.now = c.now.Add(time.Duration(rapid.IntRange(1, 40_000).Draw(t, "ms")) * time.Millisecond)
				c.tick()
			default:
				c.passRetention()
			}
			c.check()
		}
		c.finishOutstanding()
	})
}

// passRetention advances the time past the retention period of the ledger. Requests in transit to the target are lost;
// proposals may still be committed.
func (c *cluster) passRetention() {
	c.lateRuns = nil
	for i := len(c.attempts) - 1; i >= 0; i-- {
		if c.attempts[i].from.killed {
			removeAt(&c.attempts, i)
		}
	}
	c.expire() // the driver proposes Expire regularly, so the time of the ledger lags only slightly
	c.now = c.now.Add(callledger.Retention + time.Hour)
	c.lastRetentionEnd = c.now
	for attempt := range c.granted {
		if record, ok := c.ledger.Lookup(c.keyOf[attempt]); !ok || record.State != callledger.InProgress {
			delete(c.granted, attempt) // its record may expire from now on
		}
	}
	c.expire()
	c.tick()
}

func (c *cluster) expire() {
	command := callledger.Command{AtMs: c.now.UnixMilli(), Expire: &callledger.Expire{}}
	data, err := command.Encode()
	c.must(err)
	c.commit(data)
}
