package controllerlease

import (
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/state/electorate"
)

// Promise is the durable state of an elector. A zero Holder means that the elector has joined and not voted yet.
type Promise struct {
	Fence  uint64            `cbor:"1,keyasint"`
	Holder electorate.Holder `cbor:"2,keyasint"`
}

// Elector decides on the votes of one instance and holds the instance's copy of the order journal.
type Elector struct {
	dataCentre string
	name       string
	joined     bool
	promise    Promise
	// syncedPromise is the last promise confirmed as durable.
	syncedPromise Promise
	// leaseEnd is the time, on the local clock, from which the elector may vote for another holder.
	leaseEnd time.Time
	journal  electorate.JournalCopy
}

// NewElector creates an elector. Without a saved promise it has to join through the config log before it votes. With or
// without one, it waits for the duration of a lease before its first vote, because a vote of the previous process may
// still be in effect.
func NewElector(now time.Time, dataCentre, name string, saved *Promise, journal electorate.JournalCopy) *Elector {
	e := &Elector{dataCentre: dataCentre, name: name, leaseEnd: now.Add(LeaseDuration + DriftMargin)}
	if saved != nil {
		e.joined, e.promise, e.syncedPromise, e.journal = true, *saved, *saved, journal.Clone()
	}
	return e
}

// Joined reports whether the elector has joined and may vote. If not, the driver proposes an electorate.Join.
func (e *Elector) Joined() bool { return e.joined }

// Join completes the join with its config log index. It must be the join that this process proposed. The returned
// promise must be synced like a promise of Vote.
func (e *Elector) Join(joinIndex uint64) (Promise, error) {
	if e.joined {
		return e.promise, nil
	}
	if joinIndex == 0 {
		return Promise{}, errors.New("the elector join has log index 0")
	}
	e.joined = true
	e.promise = Promise{Fence: joinIndex << fenceCounterBits}
	return e.promise, nil
}

// ConfirmSynced confirms that a promise is durable. An elector without a disk confirms it immediately, because it joins
// again after each restart.
func (e *Elector) ConfirmSynced(p Promise) { e.syncedPromise = p }

// Vote handles a vote request. If it returns a promise, the driver must sync it and call ConfirmSynced before it sends
// the response, and must drop the response if the sync fails. A renewal needs no sync, because a restarted elector
// waits for the duration of a lease before it votes.
func (e *Elector) Vote(now time.Time, r VoteRequest) (VoteResponse, *Promise) {
	response := VoteResponse{Elector: e.name, Holder: r.Holder, Fence: r.Fence, Round: r.Round, Promised: e.promise.Fence}
	sameHolder := r.Holder == e.promise.Holder
	if !sameHolder {
		response.WaitMs = max(0, e.leaseEnd.Sub(now).Milliseconds())
	}
	if !e.joined || r.DataCentre != e.dataCentre || r.Elector != e.name || r.Holder.Name == "" {
		return response, nil
	}
	if r.Release {
		if sameHolder && r.Fence == e.promise.Fence {
			e.leaseEnd = now
		}
		return response, nil
	}
	if r.Fence < e.promise.Fence || r.Fence == e.promise.Fence && !sameHolder {
		return response, nil
	}
	if !sameHolder && now.Before(e.leaseEnd) {
		return response, nil
	}
	var promise *Promise
	e.promise = Promise{Fence: r.Fence, Holder: r.Holder}
	if e.promise != e.syncedPromise {
		unsynced := e.promise
		promise = &unsynced
	}
	e.leaseEnd = now.Add(LeaseDuration + DriftMargin)
	response.Granted, response.Promised, response.WaitMs = true, e.promise.Fence, 0
	if r.WantJournal {
		journal := e.journal.Clone()
		response.Journal = &journal
	}
	return response, promise
}

// Record stores a copy of a journal record. If the elector has a disk, the record must be synced before the response is
// sent.
func (e *Elector) Record(r electorate.JournalRecord) RecordResponse {
	response := RecordResponse{Elector: e.name, State: e.journal.State()}
	if !e.joined || r.DataCentre != e.dataCentre {
		return response
	}
	response.Stored, response.State = e.journal.Add(r, e.promise.Fence)
	return response
}
