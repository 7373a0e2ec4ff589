package controller

import (
	"sync"

	"github.com/tarragonhoist/tarragonhoist/state/electorate"
)

// Electors wraps the electorate state machine of the config log with a lock, so that it can be read while log entries
// are applied.
type Electors struct {
	mu      sync.RWMutex
	machine *electorate.Machine
}

// NewElectors returns an empty state machine.
func NewElectors() *Electors { return &Electors{machine: electorate.New()} }

// Apply implements replica.StateMachine.
func (e *Electors) Apply(index uint64, command []byte) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.machine.Apply(index, command)
}

// Snapshot implements replica.StateMachine.
func (e *Electors) Snapshot() ([]byte, error) {
	e.mu.RLock()
	defer e.mu.RUnlock()
	return e.machine.Snapshot()
}

// Restore implements replica.StateMachine.
func (e *Electors) Restore(data []byte) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.machine.Restore(data)
}

// read returns the log index of the latest elector join of a data centre and the current vote of its witness.
func (e *Electors) read(dataCentre string) (joinIndex uint64, vote electorate.Vote) {
	e.mu.RLock()
	defer e.mu.RUnlock()
	return e.machine.LatestJoin(dataCentre), e.machine.Vote(dataCentre)
}

func (e *Electors) journal(dataCentre string) electorate.JournalCopy {
	e.mu.RLock()
	defer e.mu.RUnlock()
	return e.machine.Journal(dataCentre)
}
