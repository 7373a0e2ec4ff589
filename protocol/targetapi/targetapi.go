// Package targetapi holds the messages, headers and paths of the protocol between instances and targets.
package targetapi

import (
	"github.com/pkg/errors"
)

// Version is the protocol version of this package.
const Version = 1

// MaxAnnouncementBytes is the maximum size of the body of an announcement.
const MaxAnnouncementBytes = 256 << 10

// Headers of a call to a target.
const (
	HeaderAttemptID    = "Hoist-Attempt-Id"
	HeaderResumeOffset = "Hoist-Resume-Offset"
	HeaderPriority     = "Hoist-Priority"
	// HeaderSoftwareVersion names the version of the target's program in its answer, and the version that began the answer in a
	// request that resumes it.
	HeaderSoftwareVersion = "Hoist-Software-Version"
)

// Kind distinguishes model engines from plain services.
type Kind string

// Kinds of target.
const (
	Engine  Kind = "engine"
	Service Kind = "service"
)

// Announcement is the state that a target sends every second. It is also the heartbeat of the target.
type Announcement struct {
	Version       int           `json:"version"`
	Target        string        `json:"target"`
	Incarnation   uint64        `json:"incarnation"`
	Sequence      uint64        `json:"sequence"`
	DataCentre    string        `json:"data_centre"`
	FailureDomain string        `json:"failure_domain,omitempty"`
	Address       string        `json:"address"`
	Kind          Kind          `json:"kind"`
	Service       string        `json:"service,omitempty"`
	CapacityBytes int64         `json:"capacity_bytes,omitempty"`
	ReserveBytes  int64         `json:"reserve_bytes,omitempty"`
	Slots         int           `json:"slots,omitempty"`
	ChecksFencing bool          `json:"checks_fencing,omitempty"`
	LastFence     uint64        `json:"last_fence,omitempty"`
	Leaving       bool          `json:"leaving,omitempty"`
	Residents     []Resident    `json:"residents,omitempty"`
	Orders        []OrderStatus `json:"orders,omitempty"`
	Load          LoadReport    `json:"load"`
}

// ResidentState is the state of one model or adapter on a target.
type ResidentState string

// Resident states. The memory of a resident counts as used in all three.
const (
	Loading   ResidentState = "loading"
	Ready     ResidentState = "ready"
	Unloading ResidentState = "unloading"
)

// Resident is one model or adapter that occupies memory on a target. Adapter is empty for the model itself.
type Resident struct {
	Model   string        `json:"model"`
	Version string        `json:"version"`
	Adapter string        `json:"adapter,omitempty"`
	State   ResidentState `json:"state"`
	Bytes   int64         `json:"bytes"`
}

// LoadReport is the load as measured by the target. It may be several seconds old.
type LoadReport struct {
	MeasuredAtMs int64 `json:"measured_at_ms"`
	Running      int   `json:"running"`
	Queued       int   `json:"queued"`
	KVUsedBytes  int64 `json:"kv_used_bytes"`
}

// OrderState is the state of an order on a target.
type OrderState string

// Order states. OrderDone, OrderFailed and OrderRefused are final.
const (
	OrderAccepted OrderState = "accepted"
	OrderDone     OrderState = "done"
	OrderFailed   OrderState = "failed"
	OrderRefused  OrderState = "refused"
)

// OrderStatus is the status that a target reports for one of its latest orders.
type OrderStatus struct {
	ID    string     `json:"id"`
	State OrderState `json:"state"`
	Error string     `json:"error,omitempty"`
}

// OrderKind is the operation that an order requests.
type OrderKind string

// Kinds of order. RaiseFence only sends the target a new fencing number.
const (
	LoadModel     OrderKind = "load_model"
	UnloadModel   OrderKind = "unload_model"
	LoadAdapter   OrderKind = "load_adapter"
	UnloadAdapter OrderKind = "unload_adapter"
	ChangeRole    OrderKind = "change_role"
	ExportKV      OrderKind = "export_kv"
	ImportKV      OrderKind = "import_kv"
	RaiseFence    OrderKind = "raise"
)

// Order is a command from the controller of a data centre to a target. Orders are idempotent by ID: sending one again
// has no further effect.
type Order struct {
	Version int       `json:"version"`
	ID      string    `json:"id"`
	Fence   uint64    `json:"fence"`
	Kind    OrderKind `json:"kind"`
	Model   string    `json:"model,omitempty"`
	// ModelVersion is the version of the model or, for adapter orders, of the adapter.
	ModelVersion string `json:"model_version,omitempty"`
	Adapter      string `json:"adapter,omitempty"`
	Bytes        int64  `json:"bytes,omitempty"`
	Role         string `json:"role,omitempty"`
	// TargetIncarnation is the only incarnation of the target that may accept the order; 0 means any.
	TargetIncarnation uint64 `json:"target_incarnation,omitempty"`
	KVKey             string `json:"kv_key,omitempty"`
}

// CacheEventKind is the kind of a change of a target's prefix cache.
type CacheEventKind string

// Cache event kinds. Cleared means that the cache is empty.
const (
	Stored  CacheEventKind = "stored"
	Evicted CacheEventKind = "evicted"
	Cleared CacheEventKind = "cleared"
)

// CacheEvent is one change of the prefix cache. PrefixHash is the hash of the prompt prefix up to a block boundary.
type CacheEvent struct {
	Sequence   uint64         `json:"sequence"`
	Kind       CacheEventKind `json:"kind"`
	Model      string         `json:"model"`
	PrefixHash uint64         `json:"prefix_hash"`
}

// CacheEvents is a batch of cache events of one target.
type CacheEvents struct {
	Version     int          `json:"version"`
	Target      string       `json:"target"`
	Incarnation uint64       `json:"incarnation"`
	Events      []CacheEvent `json:"events"`
}

// Cancel asks a target to abort one attempt.
type Cancel struct {
	Version   int    `json:"version"`
	AttemptID string `json:"attempt_id"`
}

// HTTP paths that targets serve.
const (
	PathChat   = "/v1/chat/completions"
	PathOrders = "/hoist/v1/orders"
	PathCancel = "/hoist/v1/cancel"
)

// HTTP paths that instances serve for targets.
const (
	PathAnnounce    = "/hoist/v1/targets/announce"
	PathCacheEvents = "/hoist/v1/targets/cache-events"
)

// Limits of an announcement.
const (
	maxNameBytes = 128
	maxResidents = 1024
	maxOrders    = 256
)

// Check validates the announcement and returns the first problem found.
func (a *Announcement) Check() error {
	switch {
	case a.Version != Version:
		return errors.Errorf("announcement version %d is not supported, want %d", a.Version, Version)
	case a.Target == "" || len(a.Target) > maxNameBytes:
		return errors.Errorf("target name must have 1 to %d bytes, got %d", maxNameBytes, len(a.Target))
	case a.Incarnation == 0:
		return errors.New("incarnation must be larger than 0")
	case a.DataCentre == "":
		return errors.New("data_centre is missing")
	case a.Address == "":
		return errors.New("address is missing")
	case a.Kind != Engine && a.Kind != Service:
		return errors.Errorf("kind %q is neither %q nor %q", a.Kind, Engine, Service)
	case a.Kind == Service && a.Service == "":
		return errors.New("service is missing")
	case a.Kind == Engine && a.CapacityBytes <= 0:
		return errors.New("capacity_bytes must be larger than 0 for an engine")
	case a.ReserveBytes < 0 || a.Slots < 0:
		return errors.New("reserve_bytes and slots must not be negative")
	case len(a.Residents) > maxResidents || len(a.Orders) > maxOrders:
		return errors.Errorf("an announcement may report at most %d residents and %d orders, got %d and %d", maxResidents,
			maxOrders, len(a.Residents), len(a.Orders))
	}
	for i, r := range a.Residents {
		if r.Model == "" || r.Bytes < 0 {
			return errors.Errorf("residents[%d] must name a model and have at least 0 bytes, got %d bytes", i, r.Bytes)
		}
	}
	return nil
}
