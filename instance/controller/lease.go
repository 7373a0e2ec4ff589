// Package controller runs the controller of a data centre on the instance that holds its lease: it votes, holds the
// lease, plans what shall be resident and gives the orders to the targets.
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

	"github.com/tarragonhoist/tarragonhoist/coordination/control"
	"github.com/tarragonhoist/tarragonhoist/events"
	"github.com/tarragonhoist/tarragonhoist/protocol/peerapi"
	"github.com/tarragonhoist/tarragonhoist/state/electorate"
	"github.com/tarragonhoist/tarragonhoist/state/wal"
)

const (
	leaseTick   = 100 * time.Millisecond
	voteTimeout = time.Second
	// joinTimeout covers an election of the config log.
	joinTimeout  = 5 * time.Second
	joinInterval = 500 * time.Millisecond
	electorFile  = "elector.cbor"
)

// Peers calls other instances.
type Peers interface {
	Call(ctx context.Context, peer, method string, params, result any) error
}

// Log puts commands of the electorate into the config log.
type Log interface {
	Propose(ctx context.Context, command []byte) ([]byte, error)
}

// Identity names this process and its electorate.
type Identity struct {
	Instance    string
	Incarnation uint64
	DataCentre  string
	// Electorate are the instances of the data centre.
	Electorate []string
	// DataFolder is empty on instances without a disk.
	DataFolder string
}

// Lease votes for the controller of the data centre and competes for its lease.
type Lease struct {
	identity Identity
	electors *Electors
	peers    Peers
	log      Log
	recorder *events.Recorder
	now      func() time.Time

	// voteMu orders votes and journal records with their writes to the disk.
	voteMu  sync.Mutex
	elector *control.Elector
	saved   savedElector
	// unsynced says that the disk does not hold saved yet.
	unsynced bool

	holderMu sync.Mutex
	holder   *control.Holder
	// reported is the fencing number of the last recorded change, 0 without the lease.
	reported uint64
}

// savedElector is what an elector must not forget.
type savedElector struct {
	Promise control.Promise        `cbor:"1,keyasint"`
	Journal electorate.JournalCopy `cbor:"2,keyasint"`
}

// OpenLease reads the elector's promise from the data folder.
func OpenLease(id Identity, electors *Electors, peers Peers, log Log, recorder *events.Recorder, now func() time.Time) (*Lease, error) {
	l := &Lease{identity: id, electors: electors, peers: peers, log: log, recorder: recorder, now: now}
	promise, err := l.load()
	if err != nil {
		return nil, err
	}
	start := now()
	l.elector = control.NewElector(start, id.DataCentre, id.Instance, promise, l.saved.Journal)
	l.holder = control.NewHolder(start, electorate.Holder{Name: id.Instance, Incarnation: id.Incarnation},
		control.Electorate{DataCentre: id.DataCentre, Instances: id.Electorate}, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	return l, nil
}

func (l *Lease) path() string { return filepath.Join(l.identity.DataFolder, electorFile) }

// load returns the saved promise, or nil for an elector that has to join.
func (l *Lease) load() (*control.Promise, error) {
	if l.identity.DataFolder == "" {
		return nil, nil
	}
	data, err := os.ReadFile(l.path())
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "promise of the elector")
	}
	if err := cbor.Unmarshal(data, &l.saved); err != nil {
		return nil, errors.Wrapf(err, "promise of the elector in %s", l.path())
	}
	return &l.saved.Promise, nil
}

// save makes promise and journal durable. It runs under voteMu.
func (l *Lease) save() error {
	if l.identity.DataFolder == "" {
		return nil
	}
	l.unsynced = true
	data, err := cbor.Marshal(l.saved)
	if err != nil {
		return errors.Wrap(err, "promise of the elector")
	}
	err = wal.WriteFile(l.path(), data)
	l.unsynced = err != nil
	return err
}

// keep syncs a promise and tells the elector.
func (l *Lease) keep(p control.Promise) error {
	l.saved.Promise = p
	if err := l.save(); err != nil {
		return err
	}
	l.elector.Synced(p)
	return nil
}

// Vote answers the request of a candidate.
func (l *Lease) Vote(r control.VoteRequest) (control.VoteResponse, error) {
	l.voteMu.Lock()
	defer l.voteMu.Unlock()
	response, promise := l.elector.Vote(l.now(), r)
	if promise != nil {
		if err := l.keep(*promise); err != nil {
			return control.VoteResponse{}, err
		}
	}
	return response, nil
}

// Record keeps a copy of a journal record.
func (l *Lease) Record(r electorate.JournalRecord) (control.RecordResponse, error) {
	l.voteMu.Lock()
	defer l.voteMu.Unlock()
	response := l.elector.Record(r)
	if !response.Held {
		return response, nil
	}
	before := l.saved.Journal.State()
	l.saved.Journal.Add(r, l.saved.Promise.Fence)
	// A repeated record is only acknowledged when the write after its first copy succeeded.
	if l.saved.Journal.State() == before && !l.unsynced {
		return response, nil
	}
	return response, l.save()
}

// Held returns the fencing number while this process holds the lease.
func (l *Lease) Held() (fence uint64, ok bool) {
	l.holderMu.Lock()
	defer l.holderMu.Unlock()
	return l.holder.Held(l.now())
}

// heldUntil is Held with the time at which the lease ends unless it is renewed.
func (l *Lease) heldUntil() (fence uint64, end time.Time, ok bool) {
	l.holderMu.Lock()
	defer l.holderMu.Unlock()
	now := l.now()
	fence, ok = l.holder.Held(now)
	return fence, l.holder.LeaseEnd(now), ok
}

// Known names the holder for which this elector voted last, and its fencing number. It may have lost the lease since.
func (l *Lease) Known() (holder string, fence uint64) {
	l.voteMu.Lock()
	defer l.voteMu.Unlock()
	return l.saved.Promise.Holder.Name, l.saved.Promise.Fence
}

// Journals are the copies of the order journal that came with the votes.
func (l *Lease) Journals() []electorate.JournalCopy {
	l.holderMu.Lock()
	defer l.holderMu.Unlock()
	return l.holder.Journals()
}

// Run votes and competes until ctx ends, then gives the lease up.
func (l *Lease) Run(ctx context.Context) {
	go l.join(ctx)
	// Instances that are started together would tick together, and candidates that campaign in the same tick refuse each
	// other: one takeover in a hundred then took 11 to 16 s.
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

// join makes an elector without a promise a voter. The log index of the join is above every fencing number that the
// elector may have forgotten.
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
		err = l.keep(promise)
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
	l.holderMu.Lock()
	l.holder.SetJoinIndex(joinIndex)
	l.holder.ObserveWitness(now, vote)
	requests := l.holder.Tick(now)
	l.report(now)
	l.holderMu.Unlock()
	l.send(ctx, requests)
}

// report records that the lease was gained or lost. It runs under holderMu.
func (l *Lease) report(now time.Time) {
	fence, _ := l.holder.Held(now)
	if fence == l.reported {
		return
	}
	if l.reported != 0 {
		l.recorder.Record(events.ControlLost, events.Fields{"fence": l.reported})
	}
	if fence != 0 {
		l.recorder.Record(events.ControlGained, events.Fields{"fence": fence})
	}
	l.reported = fence
}

func (l *Lease) send(ctx context.Context, requests control.Requests) {
	for _, r := range requests.Votes {
		go l.ask(ctx, r)
	}
	if requests.Witness != nil {
		go l.askWitness(ctx, *requests.Witness)
	}
}

func (l *Lease) ask(ctx context.Context, r control.VoteRequest) {
	ctx, cancel := context.WithTimeout(ctx, voteTimeout)
	defer cancel()
	var response control.VoteResponse
	var err error
	if r.Elector == l.identity.Instance {
		response, err = l.Vote(r)
	} else {
		err = l.peers.Call(ctx, r.Elector, peerapi.MethodControlVote, r, &response)
	}
	if err != nil {
		return
	}
	l.step(func(now time.Time) { l.holder.Step(now, response) })
}

func (l *Lease) askWitness(ctx context.Context, v electorate.WitnessVote) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	result, err := l.propose(ctx, electorate.Command{Vote: &v})
	if err != nil {
		return
	}
	// The copy is read after the vote was applied by the proposer's leader; this instance may be behind, so it is only
	// used once this instance has applied the vote itself.
	journal, err := l.witnessJournal(ctx, result.Vote)
	if err != nil {
		return
	}
	l.step(func(now time.Time) { l.holder.StepWitness(now, result, journal) })
}

// witnessJournal waits until this instance has applied a vote and returns the witness's copy of the journal.
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

func (l *Lease) step(f func(now time.Time)) {
	now := l.now()
	l.holderMu.Lock()
	f(now)
	l.report(now)
	l.holderMu.Unlock()
}

// release gives the lease up, so that another elector can take over at once.
func (l *Lease) release() {
	now := l.now()
	l.holderMu.Lock()
	_, held := l.holder.Held(now)
	requests := l.holder.Release(now)
	l.report(now)
	l.holderMu.Unlock()
	if !held {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), voteTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, r := range requests.Votes {
		wg.Go(func() { l.ask(ctx, r) })
	}
	if requests.Witness != nil {
		wg.Go(func() { _, _ = l.propose(ctx, electorate.Command{Vote: requests.Witness}) })
	}
	wg.Wait()
}
