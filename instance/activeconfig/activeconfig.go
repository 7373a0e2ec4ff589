// Package activeconfig publishes the configuration set by the release notes applied on this instance.
package activeconfig

import (
	"sync"
	"sync/atomic"

	"github.com/tarragonhoist/tarragonhoist/events"
	"github.com/tarragonhoist/tarragonhoist/state/catalog"
)

// View is the replicated state machine of the config log. Readers get its contents without locking.
type View struct {
	recorder *events.Recorder
	contents atomic.Pointer[catalog.ActiveConfig]

	mu      sync.RWMutex
	machine *catalog.Machine
}

// New returns a view without any release note applied.
func New(recorder *events.Recorder) *View {
	v := &View{recorder: recorder, machine: catalog.New()}
	v.contents.Store(v.machine.Contents())
	return v
}

// Contents returns the configuration in force. It must not be modified.
func (v *View) Contents() *catalog.ActiveConfig { return v.contents.Load() }

// Verdict returns the verdict of a note.
func (v *View) Verdict(number uint64) (catalog.Verdict, bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.machine.Verdict(number)
}

// History lists all verdicts.
func (v *View) History() []catalog.Verdict {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.machine.History()
}

// Apply applies one command of the log.
func (v *View) Apply(index uint64, command []byte) ([]byte, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	result, err := v.machine.Apply(index, command)
	if err != nil {
		return nil, err
	}
	v.contents.Store(v.machine.Contents())
	if verdict, err := catalog.DecodeVerdict(result); err == nil && verdict.Index == index {
		v.recorder.Record(events.NoteApplied, events.Fields{"note": verdict.Number, "accepted": verdict.Accepted, "index": index})
	}
	return result, nil
}

// Snapshot encodes the state.
func (v *View) Snapshot() ([]byte, error) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.machine.Snapshot()
}

// Restore replaces the state by a snapshot.
func (v *View) Restore(data []byte) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if err := v.machine.Restore(data); err != nil {
		return err
	}
	v.contents.Store(v.machine.Contents())
	return nil
}
