// Package releasenote parses and validates release notes, the only way for operators to change the system.
package releasenote

import (
	"crypto/sha256"
	"encoding/hex"
	"regexp"
	"strconv"

	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/protocol/tomlfile"
)

// MaxNoteBytes bounds a release note.
const MaxNoteBytes = 512 << 10

// Action is what a note does with one item.
type Action string

// Actions.
const (
	Add      Action = "add"
	Change   Action = "change"
	Withdraw Action = "withdraw"
)

// Priority is the scheduling priority of requests. Batch requests wait longest but always finish.
type Priority string

// Priorities from highest to lowest.
const (
	Interactive Priority = "interactive"
	Standard    Priority = "standard"
	Batch       Priority = "batch"
)

// Rank returns the position of a priority, 0 for the highest. An unknown priority ranks lowest, like Batch.
func (p Priority) Rank() int {
	switch p {
	case Interactive:
		return 0
	case Standard:
		return 1
	default:
		return 2
	}
}

// Valid reports whether the priority is a known one.
func (p Priority) Valid() bool { return p == Interactive || p == Standard || p == Batch }

// Note is one release note.
type Note struct {
	Number      uint64    `toml:"number" cbor:"1,keyasint"`
	Description string    `toml:"description" cbor:"2,keyasint,omitempty"`
	Models      []Model   `toml:"model" cbor:"3,keyasint,omitempty"`
	Adapters    []Adapter `toml:"adapter" cbor:"4,keyasint,omitempty"`
	Services    []Service `toml:"service" cbor:"5,keyasint,omitempty"`
	Callers     []Caller  `toml:"caller" cbor:"6,keyasint,omitempty"`
}

// Model adds, changes or withdraws a model. A change contains the complete new declaration.
type Model struct {
	Action      Action   `toml:"action" cbor:"1,keyasint" json:"action"`
	Name        string   `toml:"name" cbor:"2,keyasint" json:"name"`
	Version     string   `toml:"version" cbor:"3,keyasint,omitempty" json:"version"`
	MemoryBytes int64    `toml:"memory_bytes" cbor:"4,keyasint,omitempty" json:"memory_bytes"`
	Priority    Priority `toml:"priority" cbor:"5,keyasint,omitempty" json:"priority"`
	Callers     []string `toml:"callers" cbor:"6,keyasint,omitempty" json:"callers"`
	// CallerPriorities overrides the priority for individual callers.
	CallerPriorities map[string]Priority `toml:"caller_priorities" cbor:"7,keyasint,omitempty" json:"caller_priorities,omitempty"`
	MinReplicas      int                 `toml:"min_replicas" cbor:"8,keyasint,omitempty" json:"min_replicas"`
	MaxReplicas      int                 `toml:"max_replicas" cbor:"9,keyasint,omitempty" json:"max_replicas,omitempty"`
}

// Adapter adds, changes or withdraws an adapter of a model. Empty Callers means the callers of the model.
type Adapter struct {
	Action      Action   `toml:"action" cbor:"1,keyasint" json:"action"`
	Name        string   `toml:"name" cbor:"2,keyasint" json:"name"`
	Model       string   `toml:"model" cbor:"3,keyasint" json:"model"`
	Version     string   `toml:"version" cbor:"4,keyasint,omitempty" json:"version"`
	MemoryBytes int64    `toml:"memory_bytes" cbor:"5,keyasint,omitempty" json:"memory_bytes"`
	Callers     []string `toml:"callers" cbor:"6,keyasint,omitempty" json:"callers,omitempty"`
}

// Service adds, changes or withdraws a plain service behind a path prefix. Calls whose HTTP method is in NonIdempotent
// need an idempotency key.
type Service struct {
	Action        Action   `toml:"action" cbor:"1,keyasint" json:"action"`
	Name          string   `toml:"name" cbor:"2,keyasint" json:"name"`
	Callers       []string `toml:"callers" cbor:"3,keyasint,omitempty" json:"callers"`
	Priority      Priority `toml:"priority" cbor:"4,keyasint,omitempty" json:"priority"`
	NonIdempotent []string `toml:"non_idempotent" cbor:"5,keyasint,omitempty" json:"non_idempotent"`
}

// Caller sets the weight of a caller in the fair sharing of capacity. A caller without a declared weight has weight 1.
type Caller struct {
	Action Action `toml:"action" cbor:"1,keyasint" json:"action"`
	Name   string `toml:"name" cbor:"2,keyasint" json:"name"`
	Weight int    `toml:"weight" cbor:"3,keyasint,omitempty" json:"weight"`
}

// defaultNonIdempotent lists the methods that HTTP does not define as idempotent.
var defaultNonIdempotent = []string{"POST", "PATCH"}

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)

// Parse decodes and validates a note. It reports all findings that do not depend on the current state of the system.
func Parse(file string, data []byte) (*Note, tomlfile.Findings) {
	if len(data) > MaxNoteBytes {
		return nil, tomlfile.Findings{{File: file, Message: "a release note has at most " + strconv.Itoa(MaxNoteBytes) + " bytes"}}
	}
	note := &Note{}
	f := tomlfile.Decode(file, data, note)
	c := checker{file: f, seen: make(map[string]string)}
	if note.Number == 0 {
		f.Report("number", "must be larger than 0")
	}
	if len(note.Models)+len(note.Adapters)+len(note.Services)+len(note.Callers) == 0 {
		f.Report("", "the note changes nothing")
	}
	for i := range note.Models {
		c.model("model["+strconv.Itoa(i)+"]", &note.Models[i])
	}
	for i := range note.Adapters {
		c.adapter("adapter["+strconv.Itoa(i)+"]", &note.Adapters[i])
	}
	for i := range note.Services {
		c.service("service["+strconv.Itoa(i)+"]", &note.Services[i])
	}
	for i := range note.Callers {
		c.caller("caller["+strconv.Itoa(i)+"]", &note.Callers[i])
	}
	return note, f.Findings()
}

// Digest identifies the content of a note file.
func Digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// ErrNotParsed is the error for the use of a note that has findings.
var ErrNotParsed = errors.New("the release note has findings")

type checker struct {
	file *tomlfile.File
	seen map[string]string
}

// checkItem checks the fields that all items have. It returns false for a withdrawn item, whose other fields are not
// needed.
func (c *checker) checkItem(key, kind string, action Action, name string) (declared bool) {
	if !namePattern.MatchString(name) {
		c.file.Report(key+".name", "%q is not a name: letters, digits, '.', '_' and '-', at most 128", name)
	}
	id := kind + " " + name
	if first, ok := c.seen[id]; ok {
		c.file.Report(key+".name", "%s %q is listed already at %s", kind, name, first)
	}
	c.seen[id] = key
	switch action {
	case Add, Change:
		return true
	case Withdraw:
		return false
	default:
		c.file.Report(key+".action", "%q is none of add, change, withdraw", action)
		return true
	}
}

func (c *checker) model(key string, m *Model) {
	if !c.checkItem(key, "model", m.Action, m.Name) {
		return
	}
	if m.Version == "" {
		c.file.Report(key+".version", "missing")
	}
	if m.MemoryBytes <= 0 {
		c.file.Report(key+".memory_bytes", "must be larger than 0")
	}
	if m.Priority == "" {
		m.Priority = Standard
	}
	if !m.Priority.Valid() {
		c.file.Report(key+".priority", "%q is none of interactive, standard, batch", m.Priority)
	}
	for name, p := range m.CallerPriorities {
		if !p.Valid() {
			c.file.Report(key+".caller_priorities."+name, "%q is none of interactive, standard, batch", p)
		}
	}
	c.callers(key, m.Callers)
	if m.MinReplicas == 0 {
		m.MinReplicas = 1
	}
	if m.MinReplicas < 0 {
		c.file.Report(key+".min_replicas", "must be at least 1, since every model in force stays reachable")
	}
	if m.MaxReplicas != 0 && m.MaxReplicas < m.MinReplicas {
		c.file.Report(key+".max_replicas", "must not be smaller than min_replicas")
	}
}

func (c *checker) adapter(key string, a *Adapter) {
	declared := c.checkItem(key, "adapter of model "+a.Model, a.Action, a.Name)
	if a.Model == "" {
		c.file.Report(key+".model", "missing")
	}
	if !declared {
		return
	}
	if a.Version == "" {
		c.file.Report(key+".version", "missing")
	}
	if a.MemoryBytes <= 0 {
		c.file.Report(key+".memory_bytes", "must be larger than 0")
	}
}

func (c *checker) service(key string, s *Service) {
	if !c.checkItem(key, "service", s.Action, s.Name) {
		return
	}
	if s.Priority == "" {
		s.Priority = Standard
	}
	if !s.Priority.Valid() {
		c.file.Report(key+".priority", "%q is none of interactive, standard, batch", s.Priority)
	}
	if s.NonIdempotent == nil {
		s.NonIdempotent = defaultNonIdempotent
	}
	c.callers(key, s.Callers)
}

func (c *checker) caller(key string, caller *Caller) {
	if c.checkItem(key, "caller", caller.Action, caller.Name) && caller.Weight <= 0 {
		c.file.Report(key+".weight", "must be larger than 0")
	}
}

func (c *checker) callers(key string, callers []string) {
	if len(callers) == 0 {
		c.file.Report(key+".callers", "missing: nobody could use it")
	}
	for _, name := range callers {
		if !namePattern.MatchString(name) {
			c.file.Report(key+".callers", "%q is not a name", name)
		}
	}
}
