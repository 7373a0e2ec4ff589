package controlinstance

import (
	"cmp"
	"context"
	"math"
	"path/filepath"
	"slices"
	"time"

	"github.com/tarragonhoist/tarragonhoist/events"
)

const (
	sizesFile    = "sizes.json"
	sizesContent = "the sizes of models"
	// sizesInterval is the interval at which changes of the sizes are saved, and sizesRetry the pause after a failed write.
	sizesInterval = 100 * time.Millisecond
	sizesRetry    = 2 * time.Second
)

// savedSize is the memory of a model in the file of sizes.
type savedSize struct {
	Service   string  `json:"service"`
	Model     string  `json:"model"`
	WeightsMB float64 `json:"weights_mb"`
	AdapterMB float64 `json:"adapter_mb,omitempty"`
}

// load adds the sizes of a file. Those that no target lists are forgotten after a while.
func (s *modelSizes) load(now time.Time, path string) error {
	var saved []savedSize
	if _, err := readSaved(path, sizesContent, &saved); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range saved {
		key := modelKey{m.Service, m.Model}
		size := s.sizes[key]
		s.sizes[key] = modelSize{weightsMB: max(size.weightsMB, m.WeightsMB), adapterMB: max(size.adapterMB, m.AdapterMB), changedAt: now}
	}
	return nil
}

// save writes the sizes to a file and returns the number of changes that they include.
func (s *modelSizes) save(path string) (changes uint64, err error) {
	s.mu.Lock()
	saved := make([]savedSize, 0, len(s.sizes))
	for key, size := range s.sizes {
		saved = append(saved, savedSize{key.service, key.model, size.weightsMB, size.adapterMB})
	}
	changes = s.changes
	s.mu.Unlock()
	slices.SortFunc(saved, func(a, b savedSize) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Model, b.Model))
	})
	return changes, writeSaved(path, sizesContent, saved)
}

func (s *modelSizes) changeCount() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changes
}

// keepSizes saves the sizes of models until ctx ends. A process that is killed within sizesInterval of a configuration that makes a model
// smaller does not know the earlier size when it is back.
func (instance *Instance) keepSizes(ctx context.Context) {
	path, pause, saved := filepath.Join(instance.opts.DataDir, sizesFile), sizesInterval, uint64(math.MaxUint64)
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		pause = sizesInterval
		if instance.director.sizes.changeCount() == saved {
			continue
		}
		changes, err := instance.director.sizes.save(path)
		if err != nil {
			instance.recorder.Record(events.InternalError, events.Fields{"task": "sizes", "error": err.Error()})
			pause = sizesRetry
			continue
		}
		saved = changes
	}
}
