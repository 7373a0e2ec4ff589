package replica

import (
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// Mux is a state machine that dispatches commands to several named state machines.
type Mux struct {
	machines map[string]StateMachine
}

// NewMux returns a Mux of the given machines. They must not be changed afterwards except through the Mux.
func NewMux(machines map[string]StateMachine) *Mux { return &Mux{machines: maps.Clone(machines)} }

type muxCommand struct {
	_       struct{} `cbor:",toarray"`
	Machine string
	Data    []byte
}

// EncodeCommand encodes a command for one machine of a Mux.
func EncodeCommand(machine string, data []byte) []byte {
	b, err := cbor.Marshal(muxCommand{Machine: machine, Data: data})
	if err != nil {
		panic(err) // a string and bytes can always be encoded
	}
	return b
}

// Apply applies a command to the machine that it names.
func (m *Mux) Apply(index uint64, command []byte) ([]byte, error) {
	var c muxCommand
	if err := cbor.Unmarshal(command, &c); err != nil {
		return nil, errors.Wrap(err, "decode command")
	}
	machine, ok := m.machines[c.Machine]
	if !ok {
		return nil, errors.Errorf("state machine %q does not exist", c.Machine)
	}
	return machine.Apply(index, c.Data)
}

// Snapshot returns the encoded snapshots of all machines.
func (m *Mux) Snapshot() ([]byte, error) {
	parts := make(map[string][]byte, len(m.machines))
	for name, machine := range m.machines {
		data, err := machine.Snapshot()
		if err != nil {
			return nil, errors.Wrapf(err, "take snapshot of state machine %q", name)
		}
		parts[name] = data
	}
	mode, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		return nil, errors.Wrap(err, "create snapshot encoder")
	}
	data, err := mode.Marshal(parts)
	return data, errors.Wrap(err, "encode snapshot")
}

// Restore restores all machines. A machine that the snapshot does not contain keeps its initial state; a snapshot of an
// unknown machine is an error, because its state would be lost.
func (m *Mux) Restore(data []byte) error {
	var parts map[string][]byte
	if err := cbor.Unmarshal(data, &parts); err != nil {
		return errors.Wrap(err, "decode snapshot")
	}
	for _, name := range slices.Sorted(maps.Keys(parts)) {
		machine, ok := m.machines[name]
		if !ok {
			return errors.Errorf("snapshot contains unknown state machine %q", name)
		}
		if err := machine.Restore(parts[name]); err != nil {
			return errors.Wrapf(err, "restore state machine %q", name)
		}
	}
	return nil
}
