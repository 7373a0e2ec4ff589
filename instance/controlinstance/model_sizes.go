package controlinstance

import (
	"sync"
	"time"

	"github.com/tarragonhoist/tarragonhoist/coordination/roster"
	"github.com/tarragonhoist/tarragonhoist/state/routes"
)

// sizeRetention is the time after a change of the configuration for which targets may still load models at the sizes before.
// It exceeds moveTimeout and the delay of heartbeats.
const sizeRetention = time.Minute

// modelSizes knows the memory that models take on targets, which hold what they were ordered to hold whatever the configuration
// in force says. Every control instance keeps it, so that it outlives a change of leader, and saves it, so that it outlives a restart.
//
// Invariant: a size is at least that of every configuration seen here with which a target that lists the model may have loaded it.
type modelSizes struct {
	mu      sync.Mutex
	sizes   map[modelKey]modelSize
	version uint64 // of the latest configuration
	pruneAt time.Time
	// changes counts the changes of sizes.
	changes uint64
}

type modelSize struct {
	weightsMB, adapterMB float64
	changedAt            time.Time // of the latest configuration that changed or withdrew the model
}

func newModelSizes() *modelSizes { return &modelSizes{sizes: make(map[modelKey]modelSize)} }

// observe records the sizes in the configuration, and forgets earlier ones of models that no target lists.
func (s *modelSizes) observe(now time.Time, document *routes.Document, targets func() []roster.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if document.Version != s.version {
		s.version = document.Version
		s.add(now, document)
	}
	if now.Before(s.pruneAt) {
		return
	}
	s.pruneAt = now.Add(sizeRetention)
	listed := make(map[modelKey]bool)
	for _, t := range targets() {
		for _, held := range t.Models {
			listed[modelKey{t.Service, held.Model}] = true
		}
	}
	for key, size := range s.sizes {
		if !listed[key] && now.Sub(size.changedAt) >= sizeRetention {
			delete(s.sizes, key)
			s.changes++
		}
	}
	s.add(now, document)
}

func (s *modelSizes) add(now time.Time, document *routes.Document) {
	configured := make(map[modelKey]modelSize)
	for i := range document.Services {
		service := &document.Services[i]
		if service.Engine == nil {
			continue
		}
		for j := range service.Engine.Models {
			m := &service.Engine.Models[j]
			configured[modelKey{service.Name, m.Name}] = modelSize{weightsMB: m.WeightsMB, adapterMB: m.AdapterMB}
		}
	}
	for key, size := range s.sizes {
		if c := configured[key]; c.weightsMB != size.weightsMB || c.adapterMB != size.adapterMB {
			size.changedAt = now
			s.sizes[key] = size
		}
	}
	for key, c := range configured {
		size, ok := s.sizes[key]
		if !ok {
			size.changedAt = now
		}
		if !ok || c.weightsMB > size.weightsMB || c.adapterMB > size.adapterMB {
			s.changes++
		}
		size.weightsMB, size.adapterMB = max(size.weightsMB, c.weightsMB), max(size.adapterMB, c.adapterMB)
		s.sizes[key] = size
	}
}

// of returns the size of a model, and whether it is known. That of a model which was withdrawn before this process started is not.
func (s *modelSizes) of(service string, engine *routes.Engine, model string) (weightsMB, adapterMB float64, known bool) {
	s.mu.Lock()
	size, known := s.sizes[modelKey{service, model}]
	s.mu.Unlock()
	if m := engine.Model(model); m != nil {
		return max(size.weightsMB, m.WeightsMB), max(size.adapterMB, m.AdapterMB), true
	}
	return size.weightsMB, size.adapterMB, known
}
