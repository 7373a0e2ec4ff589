// Package routes holds the generic routes of a deployment: a document that operators replace as a whole, its check, the
// lookup of a request's route, and the state machine that keeps the highest version in force.
package routes

import (
	"strconv"
	"time"
)

// Kind says what may be repeated on a route.
type Kind string

// Kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = "non-idempotent"
	// Stream responses are series of events; they may run once, unless the route is resumable.
	Stream Kind = "stream"
)

// Document is one version of the whole configuration.
type Document struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
}

// Route sends the requests of a host and path prefix to services.
type Route struct {
	Name       string
	Host       string
	PathPrefix string // begins and ends with a slash
	Kind       Kind
	// Timeout bounds the time from the arrival of a request to its complete answer.
	Timeout time.Duration
	// Objective is the time to the answer, or to the first event of a stream, that callers expect.
	Objective time.Duration
	// PauseObjective is the longest pause between the events of a stream that callers expect.
	PauseObjective time.Duration
	// Rank orders routes by urgency; 0 is the most urgent.
	Rank int
	// Split holds the services of the route with their weights.
	Split []Weight
	// MaxAttempts bounds the targets that may run one request.
	MaxAttempts int
	// SharesPrompts says that requests name the parts of their prompts, which a target may have cached.
	SharesPrompts bool
	// Resumable streams may go on at another target after the last event that was received.
	Resumable bool
}

// Repeatable tells whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Weight is one service of a split route.
type Weight struct {
	Service string
	Weight  float64
}

// Service is a group of targets that answer the same requests.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections bounds the connections of all callers to one target; 0 means that none is stated.
	MaxConnections int
	// Engine describes targets that serve models; nil for plain services.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots          int     // requests that one target runs at the same time
	KVTokens       int     // tokens that fit into the memory of one target
	CapacityMB     float64 // memory of one target for weights and adapters
	AdapterSlots   int     // adapters that one target holds at the same time
	LoadsPerSecond float64 // loads that the weight store allows over all targets
	Models         []Model
}

// Model is one model of a service.
type Model struct {
	Name      string
	WeightsMB float64
	// LoadTime is how long a load from the weight store takes, DiskLoadTime and MemoryLoadTime from a copy on the target.
	LoadTime, DiskLoadTime, MemoryLoadTime time.Duration
	Adapters                               int
	AdapterMB                              float64
}

// Model returns the model of a name, or nil.
func (e *Engine) Model(name string) *Model {
	for i := range e.Models {
		if e.Models[i].Name == name {
			return &e.Models[i]
		}
	}
	return nil
}

// AdapterNames returns the names of the adapters of the model.
func (m *Model) AdapterNames() []string {
	names := make([]string, m.Adapters)
	for i := range names {
		names[i] = "a" + strconv.Itoa(i+1)
	}
	return names
}

// Limits bound what callers may send. Zero values state no bound.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	HeaderTime  time.Duration
	IdleTime    time.Duration
}
