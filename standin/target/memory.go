package target

import (
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/protocol/targetapi"
)

const (
	// maxKnownOrders bounds the orders whose state is kept for deduplication; the oldest are evicted first.
	maxKnownOrders = 4096
	// maxReportedOrders is below the protocol's limit of 256 orders per announcement.
	maxReportedOrders = 128
)

type residentKey struct{ model, version, adapter string }

type resident struct {
	key      residentKey
	state    targetapi.ResidentState
	bytes    int64
	users    int      // requests in progress
	orderIDs []string // ids of accepted orders that end with the current load or unload
	timer    *time.Timer
	// delayPassed is set once the unload delay has passed. The memory is freed when users is 0 too.
	delayPassed bool
}

// memory holds residents and orders. Invariant: the reserve plus the bytes of all residents, in any state, is at most
// the capacity; an order that would violate it ends the process.
type memory struct {
	cfg *Config

	mu        sync.Mutex
	residents map[residentKey]*resident
	orders    map[string]*targetapi.OrderStatus
	orderIDs  []string // known order ids, oldest first
	lastFence uint64
}

func newMemory(cfg *Config) *memory {
	return &memory{
		cfg: cfg, residents: make(map[residentKey]*resident), orders: make(map[string]*targetapi.OrderStatus),
	}
}

func (t *Target) handleOrder(w http.ResponseWriter, r *http.Request) {
	var order targetapi.Order
	if !decodeBody(w, r, &order) {
		return
	}
	if order.Version != targetapi.Version || order.ID == "" {
		http.Error(w, "an order requires an id and protocol version 1", http.StatusBadRequest)
		return
	}
	writeJSON(w, http.StatusOK, t.memory.apply(order))
}

// apply executes an order at most once. A repeated order id only returns the order's state, whatever its fencing number,
// since the outcome of an order is final.
func (m *memory) apply(o targetapi.Order) targetapi.OrderStatus {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s, ok := m.orders[o.ID]; ok {
		return *s
	}
	s := &targetapi.OrderStatus{ID: o.ID, State: targetapi.OrderAccepted}
	m.recordOrder(s)
	if o.TargetIncarnation != 0 && o.TargetIncarnation != m.cfg.Incarnation {
		s.State = targetapi.OrderRefused
		s.Error = errors.Errorf("order is for incarnation %d, but this is incarnation %d", o.TargetIncarnation, m.cfg.Incarnation).Error()
		return *s
	}
	if m.cfg.ChecksFencing {
		if o.Fence < m.lastFence {
			s.State = targetapi.OrderRefused
			s.Error = errors.Errorf("fencing number %d is older than %d", o.Fence, m.lastFence).Error()
			return *s
		}
		m.lastFence = o.Fence
	}
	if err := m.start(o, s); err != nil {
		s.State, s.Error = targetapi.OrderFailed, err.Error()
	}
	return *s
}

func (m *memory) recordOrder(s *targetapi.OrderStatus) {
	m.orders[s.ID] = s
	m.orderIDs = append(m.orderIDs, s.ID)
	if len(m.orderIDs) > maxKnownOrders {
		delete(m.orders, m.orderIDs[0])
		m.orderIDs = m.orderIDs[1:]
	}
}

func (m *memory) start(o targetapi.Order, s *targetapi.OrderStatus) error {
	if m.cfg.Kind != targetapi.Engine && o.Kind != targetapi.RaiseFence {
		return errors.New("a plain service cannot load or unload models")
	}
	adapterOrder := o.Kind == targetapi.LoadAdapter || o.Kind == targetapi.UnloadAdapter
	if adapterOrder && o.Adapter == "" {
		return errors.New("an adapter order requires the name of the adapter")
	}
	key := residentKey{model: o.Model, version: o.ModelVersion}
	if adapterOrder {
		key.adapter = o.Adapter
	}
	switch o.Kind {
	case targetapi.LoadModel:
		return m.load(key, o, s, m.cfg.LoadDelay)
	case targetapi.LoadAdapter:
		if m.find(o.Model, "", targetapi.Ready) == nil && m.find(o.Model, "", targetapi.Loading) == nil {
			return errors.Errorf("model %q is not resident", o.Model)
		}
		return m.load(key, o, s, m.cfg.AdapterDelay)
	case targetapi.UnloadModel, targetapi.UnloadAdapter:
		return m.unload(key, s)
	case targetapi.ChangeRole, targetapi.ExportKV, targetapi.ImportKV, targetapi.RaiseFence:
		// Role changes and KV transfers have no effect in a stand-in target.
		s.State = targetapi.OrderDone
		return nil
	default:
		return errors.Errorf("order kind %q is unknown", o.Kind)
	}
}

func (m *memory) load(key residentKey, o targetapi.Order, s *targetapi.OrderStatus, delay time.Duration) error {
	if o.Model == "" || o.Bytes <= 0 {
		return errors.New("an order to load requires a model and a size in bytes larger than 0")
	}
	if r := m.residents[key]; r != nil {
		switch r.state {
		case targetapi.Ready:
			s.State = targetapi.OrderDone
		case targetapi.Loading:
			r.orderIDs = append(r.orderIDs, s.ID)
		default:
			return errors.Errorf("model %q version %q is still unloading", key.model, key.version)
		}
		return nil
	}
	if used := m.usedBytes(); used+o.Bytes > m.cfg.CapacityBytes {
		m.cfg.Log.WithField("order", o.ID).WithField("bytes", o.Bytes).WithField("used", used).
			WithField("capacity", m.cfg.CapacityBytes).Error("stand-in target: order exceeds the memory capacity; exiting")
		m.cfg.Exit(ExitOvercommit)
		return errors.Errorf("%d bytes do not fit: %d of %d are in use", o.Bytes, used, m.cfg.CapacityBytes)
	}
	r := &resident{key: key, state: targetapi.Loading, bytes: o.Bytes, orderIDs: []string{s.ID}}
	m.residents[key] = r
	r.timer = time.AfterFunc(delay, func() { m.loaded(r) })
	return nil
}

func (m *memory) loaded(r *resident) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r.state != targetapi.Loading {
		return
	}
	r.state = targetapi.Ready
	m.finishOrders(r, targetapi.OrderDone, "")
}

func (m *memory) finishOrders(r *resident, state targetapi.OrderState, reason string) {
	for _, id := range r.orderIDs {
		if s, ok := m.orders[id]; ok {
			s.State, s.Error = state, reason
		}
	}
	r.orderIDs = nil
}

// unload starts to unload a resident. An empty version means all versions. The adapters of a model are unloaded with it
// when no other version of the model is resident.
func (m *memory) unload(key residentKey, s *targetapi.OrderStatus) error {
	var matching []*resident
	otherVersion := false
	for _, r := range m.residents {
		if r.key.model != key.model || r.key.adapter != key.adapter {
			continue
		}
		if key.version == "" || r.key.version == key.version {
			matching = append(matching, r)
		} else if r.state != targetapi.Unloading {
			otherVersion = true
		}
	}
	if len(matching) == 0 {
		s.State = targetapi.OrderDone // not resident, so the unload is already complete
		return nil
	}
	if key.adapter == "" && !otherVersion {
		for _, r := range m.residents {
			if r.key.model == key.model && r.key.adapter != "" {
				m.startUnload(r)
			}
		}
	}
	for _, r := range matching {
		m.startUnload(r)
	}
	matching[0].orderIDs = append(matching[0].orderIDs, s.ID)
	return nil
}

func (m *memory) startUnload(r *resident) {
	if r.state == targetapi.Unloading {
		return
	}
	m.finishOrders(r, targetapi.OrderFailed, "unloaded before the load was complete")
	r.timer.Stop()
	r.state = targetapi.Unloading
	r.timer = time.AfterFunc(m.cfg.AdapterDelay, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		r.delayPassed = true
		m.freeIfIdle(r)
	})
}

// freeIfIdle frees an unloading resident once its unload delay has passed and no request uses it.
func (m *memory) freeIfIdle(r *resident) {
	if r.state != targetapi.Unloading || !r.delayPassed || r.users > 0 || m.residents[r.key] != r {
		return
	}
	delete(m.residents, r.key)
	m.finishOrders(r, targetapi.OrderDone, "")
}

func (m *memory) usedBytes() int64 {
	used := m.cfg.ReserveBytes
	for _, r := range m.residents {
		used += r.bytes
	}
	return used
}

func (m *memory) find(model, adapter string, state targetapi.ResidentState) *resident {
	var found *resident
	for _, r := range m.residents {
		if r.key.model == model && r.key.adapter == adapter && r.state == state &&
			(found == nil || r.key.version > found.key.version) {
			found = r
		}
	}
	return found
}

// acquire keeps a ready model and adapter from being freed until release is called.
func (m *memory) acquire(model, adapter string) (release func(), ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	used := []*resident{m.find(model, "", targetapi.Ready)}
	if adapter != "" {
		used = append(used, m.find(model, adapter, targetapi.Ready))
	}
	for _, r := range used {
		if r == nil {
			return nil, false
		}
	}
	for _, r := range used {
		r.users++
	}
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		for _, r := range used {
			r.users--
			m.freeIfIdle(r)
		}
	}, true
}

// report returns the residents, the latest orders and the last fencing number, which stays 0 unless fencing is checked.
func (m *memory) report() ([]targetapi.Resident, []targetapi.OrderStatus, uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	residents := make([]targetapi.Resident, 0, len(m.residents))
	for _, r := range m.residents {
		residents = append(residents, targetapi.Resident{
			Model: r.key.model, Version: r.key.version, Adapter: r.key.adapter, State: r.state, Bytes: r.bytes,
		})
	}
	sort.Slice(residents, func(i, j int) bool {
		a, b := residents[i], residents[j]
		if a.Model != b.Model {
			return a.Model < b.Model
		}
		if a.Adapter != b.Adapter {
			return a.Adapter < b.Adapter
		}
		return a.Version < b.Version
	})
	latest := m.orderIDs[max(0, len(m.orderIDs)-maxReportedOrders):]
	orders := make([]targetapi.OrderStatus, 0, len(latest))
	for _, id := range latest {
		orders = append(orders, *m.orders[id])
	}
	return residents, orders, m.lastFence
}
