// Package routes holds the generic routes of a deployment: a document that operators replace as a whole, its validation,
// the lookup of a request's route, and the replicated state machine that keeps the highest version active.
package routes

import (
	"strconv"
	"time"
)

// Kind determines whether requests of a route may be retried.
type Kind string

// Kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = "non-idempotent"
	// Stream requests are answered with a series of events. They run at most once unless the route is resumable.
	Stream Kind = "stream"
)

// Document is one version of the whole configuration.
type Document struct {
	Version  uint64
	Routes   []Route
	Services []Service
	// Accounts are the client accounts. Without any, callers need no key.
	Accounts []Account
	Limits   Limits
}

// Route sends the requests of a host and path prefix to services.
type Route struct {
	Name       string
	Host       string
	PathPrefix string // begins and ends with a slash
	Kind       Kind
	// Timeout limits the time from the arrival of a request to its complete response.
	Timeout time.Duration
	// Objective is the latency that callers expect for the response, or for the first event of a stream.
	Objective time.Duration
	// PauseObjective is the longest pause between the events of a stream that callers expect.
	PauseObjective time.Duration
	// Rank is the priority of the route; 0 is the highest.
	Rank int
	// Split holds the services of the route with their weights.
	Split []WeightedService
	// MaxAttempts limits how many targets may run one request.
	MaxAttempts int
	// PrefixAffinity is set if requests name the parts of their prompts, so that targets can use a prefix cache.
	PrefixAffinity bool
	// Resumable is set if a stream may continue at another target after the last event that was received.
	Resumable bool
	// AllowAnonymous is set if callers need no key for the route.
	AllowAnonymous bool
}

// streamAttempts is the number of attempts over which a stream may last its whole timeout each.
const streamAttempts = 2

// StreamLife bounds the time from the begin of a stream until its caller takes it up for the last time.
func (r *Route) StreamLife() time.Duration { return streamAttempts * r.Timeout }

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// LeadsToOneService reports whether all requests of the route go to the same service.
func (r *Route) LeadsToOneService() bool {
	services := 0
	for _, s := range r.Split {
		if s.Weight > 0 {
			services++
		}
	}
	return services <= 1
}

// WeightedService is the share of one service in the requests of a route.
type WeightedService struct {
	Service string
	Weight  float64
}

// Service is a group of targets that answer the same requests.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections limits the connections of all callers to one target; 0 means that no limit is configured.
	MaxConnections int
	// Engine describes targets that serve models; it is nil for plain services.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots          int     // requests that one target runs at the same time
	KVTokens       int     // tokens that fit into the memory of one target
	CapacityMB     float64 // memory of one target for weights and adapters
	AdapterSlots   int     // adapters that one target holds at the same time
	LoadsPerSecond float64 // rate limit of the weight store for loads of all targets together
	Models         []Model
}

// Model is one model of a service.
type Model struct {
	Name      string
	WeightsMB float64
	// LoadTime is the duration of a load from the weight store, DiskLoadTime and MemoryLoadTime of one from a copy on the
	// disk or in the memory of the target.
	LoadTime, DiskLoadTime, MemoryLoadTime time.Duration
	Adapters                               int
	AdapterMB                              float64
}

// Model returns the model with the name, or nil.
func (e *Engine) Model(name string) *Model {
	for i := range e.Models {
		if e.Models[i].Name == name {
			return &e.Models[i]
		}
	}
	return nil
}

// AdapterNames returns the names of the model's adapters, a1 to aN.
func (m *Model) AdapterNames() []string {
	names := make([]string, m.Adapters)
	for i := range names {
		names[i] = "a" + strconv.Itoa(i+1)
	}
	return names
}

// Limits restrict what callers may send. A zero value means that no limit is
// configured.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	HeaderTime  time.Duration
	IdleTime    time.Duration
}
