package control

import (
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/state/electorate"
)

// Promise is what an elector must not forget. The zero holder means that it joined and has not voted yet.
type Promise struct {
	Fence  uint64            `cbor:"1,keyasint"`
	Holder electorate.Holder `cbor:"2,keyasint"`
}

// Elector is the voter of one instance. It also holds the instance's copy of the order journal.
type Elector struct {
	dataCentre string
	name       string
	joined     bool
	promise    Promise
	// synced is the promise that a restart would find.
	synced Promise
	// leaseEnds is when the elector may vote for another holder, on its own clock.
	leaseEnds time.Time
	journal   electorate.JournalCopy
}

// NewElector starts an elector. Without a saved promise it has to join through the config log. In both cases it waits
// out a lease first: it does not know when its earlier process voted.
func NewElector(now time.Time, dataCentre, name string, saved *Promise, journal electorate.JournalCopy) *Elector {
	e := &Elector{dataCentre: dataCentre, name: name, leaseEnds: now.Add(LeaseDuration + DriftMargin)}
	if saved != nil {
		e.joined, e.promise, e.synced, e.journal = true, *saved, *saved, journal.Clone()
	}
	return e
}

// Joined says whether the elector may vote. If not, the driver proposes an electorate.Join.
func (e *Elector) Joined() bool { return e.joined }

// Join takes the log index of this process's own join. The promise is to be synced like one of Vote.
func (e *Elector) Join(joinIndex uint64) (Promise, error) {
	if e.joined {
		return e.promise, nil
	}
	if joinIndex == 0 {
		return Promise{}, errors.New("the join has no log index")
	}
	e.joined = true
	e.promise = Promise{Fence: joinIndex << counterBits}
	return e.promise, nil
}

// Synced confirms that a promise would be found after a restart. An elector without a disk confirms it at once: it
// joins again after each restart.
func (e *Elector) Synced(p Promise) { e.synced = p }

// Vote decides on a request. A promise that is returned must be synced and confirmed by Synced before the response is
// sent; when that fails, the response must be dropped. Renewals need no promise, because a restart waits out a lease.
func (e *Elector) Vote(now time.Time, r VoteRequest) (VoteResponse, *Promise) {
	response := VoteResponse{Elector: e.name, Holder: r.Holder, Fence: r.Fence, Round: r.Round, Promised: e.promise.Fence}
	current := r.Holder == e.promise.Holder
	if !current {
		response.WaitMs = max(0, e.leaseEnds.Sub(now).Milliseconds())
	}
	if !e.joined || r.DataCentre != e.dataCentre || r.Elector != e.name || r.Holder.Name == "" {
		return response, nil
	}
	if r.Release {
		if current && r.Fence == e.promise.Fence {
			e.leaseEnds = now
		}
		return response, nil
	}
	if r.Fence < e.promise.Fence || r.Fence == e.promise.Fence && !current {
		return response, nil
	}
	if !current && now.Before(e.leaseEnds) {
		return response, nil
	}
	var promise *Promise
	e.promise = Promise{Fence: r.Fence, Holder: r.Holder}
	if e.promise != e.synced {
		unsynced := e.promise
		promise = &unsynced
	}
	e.leaseEnds = now.Add(LeaseDuration + DriftMargin)
	response.Granted, response.Promised, response.WaitMs = true, e.promise.Fence, 0
	if r.WantJournal {
		journal := e.journal.Clone()
		response.Journal = &journal
	}
	return response, promise
}

// Record takes a copy of a journal record. The record must be synced before the response is sent, where there is a disk.
func (e *Elector) Record(r electorate.JournalRecord) RecordResponse {
	response := RecordResponse{Elector: e.name, State: e.journal.State()}
	if !e.joined || r.DataCentre != e.dataCentre {
		return response
	}
	response.Held, response.State = e.journal.Add(r, e.promise.Fence)
	return response
}
