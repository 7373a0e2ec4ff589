// Package catalog is the replicated state machine that applies release notes. It holds the active models, adapters,
// services and callers, which messages call "in force", and the verdicts of the notes.
package catalog

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"sort"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/protocol/releasenote"
	"github.com/tarragonhoist/tarragonhoist/protocol/tomlfile"
)

// Submission is the command that proposes a release note. Findings come from checks against state that is not
// replicated; the proposer makes these checks, because their results would differ between replicas.
type Submission struct {
	Note     releasenote.Note   `cbor:"1,keyasint"`
	Digest   string             `cbor:"2,keyasint"`
	Operator string             `cbor:"3,keyasint"`
	AtMs     int64              `cbor:"4,keyasint"`
	Findings []tomlfile.Finding `cbor:"5,keyasint,omitempty"`
}

// Verdict is the result of a release note.
type Verdict struct {
	Number   uint64             `cbor:"1,keyasint" json:"number"`
	Digest   string             `cbor:"2,keyasint" json:"digest"`
	Operator string             `cbor:"3,keyasint" json:"operator"`
	AtMs     int64              `cbor:"4,keyasint" json:"at_ms"`
	Accepted bool               `cbor:"5,keyasint" json:"accepted"`
	Index    uint64             `cbor:"6,keyasint" json:"index"`
	Findings []tomlfile.Finding `cbor:"7,keyasint,omitempty" json:"findings,omitempty"`
}

// ActiveConfig is the active configuration. It is immutable once it has been published.
type ActiveConfig struct {
	// Index is the log index of the latest accepted note.
	Index    uint64                         `cbor:"1,keyasint"`
	Models   map[string]releasenote.Model   `cbor:"2,keyasint"`
	Adapters map[string]releasenote.Adapter `cbor:"3,keyasint"`
	Services map[string]releasenote.Service `cbor:"4,keyasint"`
	Callers  map[string]releasenote.Caller  `cbor:"5,keyasint"`
}

// AdapterKey returns the key of an adapter in ActiveConfig.Adapters.
func AdapterKey(model, adapter string) string { return model + ":" + adapter }

// AdaptersOf returns the adapters of a model, sorted by name.
func (c *ActiveConfig) AdaptersOf(model string) []releasenote.Adapter {
	var list []releasenote.Adapter
	for _, a := range c.Adapters {
		if a.Model == model {
			list = append(list, a)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

func (c *ActiveConfig) clone() *ActiveConfig {
	return &ActiveConfig{
		Index: c.Index, Models: maps.Clone(c.Models), Adapters: maps.Clone(c.Adapters),
		Services: maps.Clone(c.Services), Callers: maps.Clone(c.Callers),
	}
}

// MaxVerdicts limits the verdicts that are kept: about 26 days at 3,800 notes a day. The number of a note can be used
// again after its verdict was evicted. Without a limit, the history would fill the memory of an instance within a year.
const MaxVerdicts = 100_000

// Machine applies submissions in log order. It is not safe for concurrent use.
type Machine struct {
	contents *ActiveConfig
	verdicts map[uint64]Verdict
	// order holds the note numbers of the verdicts, sorted by log index.
	order       []uint64
	maxVerdicts int
}

// New returns a machine without models, adapters, services, callers and verdicts.
func New() *Machine {
	return newMachine(MaxVerdicts)
}

func newMachine(limit int) *Machine {
	return &Machine{contents: emptyConfig(), verdicts: make(map[uint64]Verdict), maxVerdicts: limit}
}

func emptyConfig() *ActiveConfig {
	return &ActiveConfig{
		Models: make(map[string]releasenote.Model), Adapters: make(map[string]releasenote.Adapter),
		Services: make(map[string]releasenote.Service), Callers: make(map[string]releasenote.Caller),
	}
}

// Contents returns the active configuration. The caller must not change it.
func (m *Machine) Contents() *ActiveConfig { return m.contents }

// Verdict returns the verdict of the note with the number.
func (m *Machine) Verdict(number uint64) (Verdict, bool) {
	v, ok := m.verdicts[number]
	return v, ok
}

// History returns the kept verdicts, sorted by log index.
func (m *Machine) History() []Verdict {
	list := make([]Verdict, len(m.order))
	for i, number := range m.order {
		list[i] = m.verdicts[number]
	}
	return list
}

// addVerdict adds a verdict and evicts the oldest one beyond the limit.
func (m *Machine) addVerdict(v Verdict) {
	m.verdicts[v.Number] = v
	m.order = append(m.order, v.Number)
	if len(m.order) > m.maxVerdicts {
		delete(m.verdicts, m.order[0])
		m.order = m.order[1:]
	}
}

// Apply decides on one submission. The first submission of a number holds it while its verdict is kept, whether accepted
// or refused, so that a repeated submission of the same content gets the same verdict.
func (m *Machine) Apply(index uint64, data []byte) ([]byte, error) {
	var s Submission
	if err := cbor.Unmarshal(data, &s); err != nil {
		return nil, errors.Wrap(err, "release note command")
	}
	verdict := m.decide(index, &s)
	return cbor.Marshal(verdict)
}

func (m *Machine) decide(index uint64, s *Submission) Verdict {
	verdict := Verdict{Number: s.Note.Number, Digest: s.Digest, Operator: s.Operator, AtMs: s.AtMs, Index: index}
	if held, ok := m.verdicts[s.Note.Number]; ok {
		if held.Digest == s.Digest {
			return held
		}
		verdict.Findings = []tomlfile.Finding{{Key: "number", Message: fmt.Sprintf(
			"number %d is held by a note of operator %q with digest %.12s; use another number", held.Number, held.Operator, held.Digest)}}
		return verdict
	}
	next, findings := Check(m.contents, &s.Note)
	verdict.Findings = append(findings, s.Findings...)
	verdict.Accepted = len(verdict.Findings) == 0
	if verdict.Accepted {
		next.Index = index
		m.contents = next
	}
	m.addVerdict(verdict)
	return verdict
}

type snapshot struct {
	Contents *ActiveConfig      `cbor:"1,keyasint"`
	Verdicts map[uint64]Verdict `cbor:"2,keyasint"`
}

// Snapshot encodes the whole state.
func (m *Machine) Snapshot() ([]byte, error) {
	return cbor.Marshal(snapshot{Contents: m.contents, Verdicts: m.verdicts})
}

// Restore replaces the state by a snapshot. On an error the state is unchanged.
func (m *Machine) Restore(data []byte) error {
	s := snapshot{Contents: emptyConfig()}
	if err := cbor.Unmarshal(data, &s); err != nil {
		return errors.Wrap(err, "decode catalog snapshot")
	}
	if s.Verdicts == nil {
		s.Verdicts = make(map[uint64]Verdict)
	}
	m.contents, m.verdicts = s.Contents, s.Verdicts
	m.order = slices.Collect(maps.Keys(m.verdicts))
	slices.SortFunc(m.order, func(a, b uint64) int { return cmp.Compare(m.verdicts[a].Index, m.verdicts[b].Index) })
	return nil
}

// DecodeVerdict decodes a result of Apply.
func DecodeVerdict(result []byte) (Verdict, error) {
	var v Verdict
	err := cbor.Unmarshal(result, &v)
	return v, errors.Wrap(err, "decode verdict")
}
