package controlinstance

import (
	"context"
	"path/filepath"
	"time"

	"github.com/tarragonhoist/tarragonhoist/coordination/crashes"
	"github.com/tarragonhoist/tarragonhoist/events"
)

const (
	quarantineFile    = "quarantined.json"
	quarantineContent = "quarantined requests"
	// quarantineInterval is the interval at which the quarantined requests and parts are compared with the saved ones, and
	// quarantineRetry the pause after a failed write.
	quarantineInterval = 100 * time.Millisecond
	quarantineRetry    = 2 * time.Second
)

// savedQuarantines is the content of the quarantine file. Each control instance saves what is quarantined, so that a restart
// of all processes does not let crashing requests through again. It is no part of the replicated log: an instance that lost
// its disk learns it from the others.
type savedQuarantines struct {
	SavedAtMs int64              `json:"saved_at_ms"` // Unix time
	Crashes   []crashes.Evidence `json:"crashes"`
}

// loadQuarantines restores what was quarantined before the process started.
func (instance *Instance) loadQuarantines(now time.Time) error {
	var saved savedQuarantines
	if found, err := readSaved(filepath.Join(instance.opts.DataDir, quarantineFile), quarantineContent, &saved); err != nil || !found {
		return err
	}
	// A clock that was set back makes the crashes younger than they are, not older than the deployment.
	since := max(now.UnixMilli()-saved.SavedAtMs, 0)
	for i := range saved.Crashes {
		saved.Crashes[i] = saved.Crashes[i].Older(since)
	}
	instance.view.MergeCrashes(now, saved.Crashes)
	return nil
}

func (instance *Instance) saveQuarantines(now time.Time) error {
	saved := savedQuarantines{SavedAtMs: now.UnixMilli(), Crashes: instance.view.QuarantineEvidence(now)}
	return writeSaved(filepath.Join(instance.opts.DataDir, quarantineFile), quarantineContent, saved)
}

// keepQuarantines logs and saves what is quarantined until ctx ends.
func (instance *Instance) keepQuarantines(ctx context.Context) {
	unsaved := false
	pause := quarantineInterval
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		pause = quarantineInterval
		now := time.Now()
		if instance.view.LogQuarantines(now, instance.recorder) {
			unsaved = true
		}
		if !unsaved {
			continue
		}
		if err := instance.saveQuarantines(now); err != nil {
			instance.recorder.Record(events.InternalError, events.Fields{"task": "quarantines", "error": err.Error()})
			pause = quarantineRetry
			continue
		}
		unsaved = false
	}
}
