// Package controller runs the controller of a data centre on the instance that holds the data centre's lease. Every
// instance votes and competes for the lease; the holder plans which models are resident on which target and sends load
// and unload orders to the targets.
package controller

import (
	"context"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/coordination/controllerlease"
	"github.com/tarragonhoist/tarragonhoist/events"
	"github.com/tarragonhoist/tarragonhoist/protocol/peerapi"
	"github.com/tarragonhoist/tarragonhoist/state/electorate"
	"github.com/tarragonhoist/tarragonhoist/state/wal"
)

const (
	leaseTick   = 100 * time.Millisecond
	voteTimeout = time.Second
	// joinTimeout leaves time for a leader election of the config log.
	joinTimeout  = 5 * time.Second
	joinInterval = 500 * time.Millisecond
	electorFile  = "elector.cbor"
)

// Peers calls other instances.
type Peers interface {
	Call(ctx context.Context, peer, method string, params, result any) error
}

// Log proposes commands of the electorate state machine to the config log.
type Log interface {
	Propose(ctx context.Context, command []byte) ([]byte, error)
}

// Identity identifies this process and its electorate.
type Identity struct {
	Instance    string
	Incarnation uint64
	DataCentre  string
	// Electorate lists the instances of the data centre, which elect the lease holder.
	Electorate []string
	// DataFolder is empty on instances without a disk.
	DataFolder string
}

// Lease is this instance's part in the lease election of the data centre: the elector, which votes, and the candidate
// or holder of the lease.
type Lease struct {
	identity Identity
	electors *Electors
	peers    Peers
	log      Log
	recorder *events.Recorder
	now      func() time.Time

	// voteMu keeps the order of votes and journal records the same in memory and on disk.
	voteMu  sync.Mutex
	elector *controllerlease.Elector
	saved   savedElector
	// unsynced is true while saved is not durable.
	unsynced bool

	candidateMu sync.Mutex
	candidate   *controllerlease.Candidate
	// recordedFence is the fencing number in the last recorded lease event, 0 when the lease was lost.
	recordedFence uint64
}

// savedElector is the state that an elector must keep across restarts.
type savedElector struct {
	Promise controllerlease.Promise `cbor:"1,keyasint"`
	Journal electorate.JournalCopy  `cbor:"2,keyasint"`
}

// OpenLease reads the elector's promise and journal from the data folder.
func OpenLease(id Identity, electors *Electors, peers Peers, log Log, recorder *events.Recorder, now func() time.Time) (*Lease, error) {
	l := &Lease{identity: id, electors: electors, peers: peers, log: log, recorder: recorder, now: now}
	promise, err := l.load()
	if err != nil {
		return nil, err
	}
	start := now()
	l.elector = controllerlease.NewElector(start, id.DataCentre, id.Instance, promise, l.saved.Journal)
	l.candidate = controllerlease.NewCandidate(start, electorate.Holder{Name: id.Instance, Incarnation: id.Incarnation},
		controllerlease.Electorate{DataCentre: id.DataCentre, Instances: id.Electorate}, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	return l, nil
}

func (l *Lease) path() string { return filepath.Join(l.identity.DataFolder, electorFile) }

// load returns the saved promise, or nil when there is none and the elector has to join.
func (l *Lease) load() (*controllerlease.Promise, error) {
	if l.identity.DataFolder == "" {
		return nil, nil
	}
	data, err := os.ReadFile(l.path())
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "read elector state")
	}
	if err := cbor.Unmarshal(data, &l.saved); err != nil {
		return nil, errors.Wrapf(err, "decode elector state in %s", l.path())
	}
	return &l.saved.Promise, nil
}

// save makes promise and journal durable. The caller holds voteMu.
func (l *Lease) save() error {
	if l.identity.DataFolder == "" {
		return nil
	}
	l.unsynced = true
	data, err := cbor.Marshal(l.saved)
	if err != nil {
		return errors.Wrap(err, "encode elector state")
	}
	err = wal.WriteFile(l.path(), data)
	l.unsynced = err != nil
	return err
}

// syncPromise makes a promise durable and then reports it to the elector. The caller holds voteMu.
func (l *Lease) syncPromise(p controllerlease.Promise) error {
	l.saved.Promise = p
	if err := l.save(); err != nil {
		return err
	}
	l.elector.ConfirmSynced(p)
	return nil
}

// Vote handles the vote request of a candidate. A granted vote is durable before Vote returns.
func (l *Lease) Vote(r controllerlease.VoteRequest) (controllerlease.VoteResponse, error) {
	l.voteMu.Lock()
	defer l.voteMu.Unlock()
	response, promise := l.elector.Vote(l.now(), r)
	if promise != nil {
		if err := l.syncPromise(*promise); err != nil {
			return controllerlease.VoteResponse{}, err
		}
	}
	return response, nil
}

// Record stores a copy of a journal record. It is durable before Record returns it as held.
func (l *Lease) Record(r electorate.JournalRecord) (controllerlease.RecordResponse, error) {
	l.voteMu.Lock()
	defer l.voteMu.Unlock()
	response := l.elector.Record(r)
	if !response.Stored {
		return response, nil
	}
	before := l.saved.Journal.State()
	l.saved.Journal.Add(r, l.saved.Promise.Fence)
	// A repeated record is acknowledged without a write only if the write of its first copy succeeded.
	if l.saved.Journal.State() == before && !l.unsynced {
		return response, nil
	}
	return response, l.save()
}

// Held returns the fencing number of the lease, and whether this process holds it.
func (l *Lease) Held() (fence uint64, ok bool) {
	l.candidateMu.Lock()
	defer l.candidateMu.Unlock()
	return l.candidate.HeldFence(l.now())
}

// heldUntil is like Held and also returns the time at which the lease expires unless it is renewed.
func (l *Lease) heldUntil() (fence uint64, end time.Time, ok bool) {
	l.candidateMu.Lock()
	defer l.candidateMu.Unlock()
	now := l.now()
	fence, ok = l.candidate.HeldFence(now)
	return fence, l.candidate.LeaseEnd(now), ok
}

// LastVote returns the candidate for which this elector last voted, and its fencing number. The candidate may have lost
// the lease since.
func (l *Lease) LastVote() (holder string, fence uint64) {
	l.voteMu.Lock()
	defer l.voteMu.Unlock()
	return l.saved.Promise.Holder.Name, l.saved.Promise.Fence
}

// Journals returns the copies of the order journal that the electors sent with their votes.
func (l *Lease) Journals() []electorate.JournalCopy {
	l.candidateMu.Lock()
	defer l.candidateMu.Unlock()
	return l.candidate.Journals()
}

// Run competes for the lease until ctx is cancelled, then releases it.
func (l *Lease) Run(ctx context.Context) {
	go l.join(ctx)
	// The random delay desynchronizes instances that are started together. Candidates that campaign in the same tick
	// split the vote: without the delay, one takeover in a hundred took 11 to 16 s.
	select {
	case <-time.After(rand.N(leaseTick)):
	case <-ctx.Done():
	}
	ticker := time.NewTicker(leaseTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			l.release()
			return
		case <-ticker.C:
			l.tick(ctx)
		}
	}
}

// join retries until an elector without a saved promise has joined and can vote. Fencing numbers that build on the log
// index of the join are above all numbers that the elector may have promised before it lost its state.
func (l *Lease) join(ctx context.Context) {
	for ctx.Err() == nil {
		l.voteMu.Lock()
		joined := l.elector.Joined()
		l.voteMu.Unlock()
		if joined || l.tryJoin(ctx) {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(joinInterval):
		}
	}
}

func (l *Lease) tryJoin(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	result, err := l.propose(ctx, electorate.Command{Join: &electorate.Join{
		DataCentre: l.identity.DataCentre, Elector: l.identity.Instance, Incarnation: l.identity.Incarnation}})
	if err != nil {
		return false
	}
	l.voteMu.Lock()
	defer l.voteMu.Unlock()
	promise, err := l.elector.Join(result.JoinIndex)
	if err == nil {
		err = l.syncPromise(promise)
	}
	if err != nil {
		l.recorder.Record(events.InternalError, events.Fields{"task": "elector join", "error": err.Error()})
	}
	return err == nil
}

func (l *Lease) propose(ctx context.Context, c electorate.Command) (electorate.Result, error) {
	command, err := c.Encode()
	if err != nil {
		return electorate.Result{}, err
	}
	result, err := l.log.Propose(ctx, command)
	if err != nil {
		return electorate.Result{}, err
	}
	return electorate.DecodeResult(result)
}

func (l *Lease) tick(ctx context.Context) {
	joinIndex, vote := l.electors.read(l.identity.DataCentre)
	now := l.now()
	l.candidateMu.Lock()
	l.candidate.ObserveJoin(joinIndex)
	l.candidate.ObserveWitness(now, vote)
	requests := l.candidate.Tick(now)
	l.recordLeaseChange(now)
	l.candidateMu.Unlock()
	l.sendVoteRequests(ctx, requests)
}

// recordLeaseChange records an event when the lease was gained or lost. The caller holds candidateMu.
func (l *Lease) recordLeaseChange(now time.Time) {
	fence, _ := l.candidate.HeldFence(now)
	if fence == l.recordedFence {
		return
	}
	if l.recordedFence != 0 {
		l.recorder.Record(events.ControlLost, events.Fields{"fence": l.recordedFence})
	}
	if fence != 0 {
		l.recorder.Record(events.ControlGained, events.Fields{"fence": fence})
	}
	l.recordedFence = fence
}

func (l *Lease) sendVoteRequests(ctx context.Context, requests controllerlease.Requests) {
	for _, r := range requests.Votes {
		go l.requestVote(ctx, r)
	}
	if requests.Witness != nil {
		go l.requestWitnessVote(ctx, *requests.Witness)
	}
}

func (l *Lease) requestVote(ctx context.Context, r controllerlease.VoteRequest) {
	ctx, cancel := context.WithTimeout(ctx, voteTimeout)
	defer cancel()
	var response controllerlease.VoteResponse
	var err error
	if r.Elector == l.identity.Instance {
		response, err = l.Vote(r)
	} else {
		err = l.peers.Call(ctx, r.Elector, peerapi.MethodControlVote, r, &response)
	}
	if err != nil {
		return
	}
	l.updateCandidate(func(now time.Time) { l.candidate.Step(now, response) })
}

func (l *Lease) requestWitnessVote(ctx context.Context, v electorate.WitnessVoteRequest) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	result, err := l.propose(ctx, electorate.Command{Vote: &v})
	if err != nil {
		return
	}
	// The vote has been applied by the leader of the log, but this instance may lag behind. Its own copy of the journal is
	// current only once it has applied the vote too.
	journal, err := l.witnessJournal(ctx, result.Vote)
	if err != nil {
		return
	}
	l.updateCandidate(func(now time.Time) { l.candidate.StepWitness(now, result, journal) })
}

// witnessJournal waits until this instance has applied the vote, then returns the witness's copy of the journal.
func (l *Lease) witnessJournal(ctx context.Context, vote electorate.Vote) (electorate.JournalCopy, error) {
	for {
		if _, applied := l.electors.read(l.identity.DataCentre); applied.Number >= vote.Number {
			return l.electors.journal(l.identity.DataCentre), nil
		}
		select {
		case <-ctx.Done():
			return electorate.JournalCopy{}, ctx.Err()
		case <-time.After(leaseTick):
		}
	}
}

func (l *Lease) updateCandidate(f func(now time.Time)) {
	now := l.now()
	l.candidateMu.Lock()
	f(now)
	l.recordLeaseChange(now)
	l.candidateMu.Unlock()
}

// release releases the lease, so that another instance can take over without waiting for its end.
func (l *Lease) release() {
	now := l.now()
	l.candidateMu.Lock()
	_, held := l.candidate.HeldFence(now)
	requests := l.candidate.Release(now)
	l.recordLeaseChange(now)
	l.candidateMu.Unlock()
	if !held {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), voteTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, r := range requests.Votes {
		wg.Go(func() { l.requestVote(ctx, r) })
	}
	if requests.Witness != nil {
		wg.Go(func() { _, _ = l.propose(ctx, electorate.Command{Vote: requests.Witness}) })
	}
	wg.Wait()
}
