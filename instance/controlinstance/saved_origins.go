package controlinstance

import (
	"context"
	"math"
	"path/filepath"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/coordination/streamorigin"
	"github.com/tarragonhoist/tarragonhoist/events"
	"github.com/tarragonhoist/tarragonhoist/protocol/fleetapi"
	"github.com/tarragonhoist/tarragonhoist/state/routes"
)

const (
	originsFile    = "streams.json"
	originsContent = "origins of streams"
	// originsInterval is the interval at which the software versions of the known targets are recorded and compared with the saved
	// ones, and originsRetry the pause after a failed write.
	originsInterval = 250 * time.Millisecond
	originsRetry    = 2 * time.Second
	// streamSaveInterval is the least time between two saves for streams alone.
	streamSaveInterval = 500 * time.Millisecond
)

// savedOrigins is the content of the file that tells the next process of this instance where streams began. When all processes that
// know it end at the same moment, callers can take their streams up nevertheless.
type savedOrigins struct {
	// Term is that of the replicated log. If the log has gone on since, a process ran that did not write the file, as one of an
	// earlier build, and may have seen other versions.
	Term    uint64                      `json:"term"`
	History streamorigin.VersionHistory `json:"history"`
	// Known are the versions of the history that a majority of the instances knows.
	Known []streamorigin.Origin `json:"known"`
	// Streams are those whose origin does not follow from the history.
	Streams []fleetapi.StreamGroup `json:"streams,omitempty"`
}

// term returns the term of the replicated log.
func (instance *Instance) term() uint64 { return instance.group.Status().Term }

// loadOrigins restores what the process before knew about streams.
func (instance *Instance) loadOrigins(now time.Time, term uint64) error {
	var saved savedOrigins
	found, err := readSaved(filepath.Join(instance.opts.DataDir, originsFile), originsContent, &saved)
	if err != nil {
		return err
	}
	if !found {
		if instance.opts.FirstStart {
			instance.versions.StartComplete()
		}
		return nil
	}
	records, err := fleetapi.UnpackStreams(now, saved.Streams)
	if err != nil {
		return errors.Wrap(err, "decode "+originsContent)
	}
	if saved.Term == term {
		instance.known.restore(saved.Known)
	} else {
		saved.History.Complete = false
	}
	instance.versions.Restore(now, saved.History)
	instance.addStreams(records)
	return nil
}

// saveOrigins saves what the next process of this instance has to know about streams.
func (instance *Instance) saveOrigins(now time.Time, term uint64) error {
	instance.saveMu.Lock()
	defer instance.saveMu.Unlock()
	saved := savedOrigins{Term: term, History: instance.versions.History(now)}
	saved.Known = instance.known.list(saved.History.Versions)
	records, next, _ := instance.streams.Since(now, 0, math.MaxInt)
	saved.Streams = fleetapi.PackStreams(now, instance.ambiguousStreams(saved.History, records))
	if err := writeSaved(filepath.Join(instance.opts.DataDir, originsFile), originsContent, saved); err != nil {
		return err
	}
	instance.savedKnown = len(saved.Known)
	instance.savedTerm, instance.savedHistory, instance.savedStreams, instance.streamsSavedAt = saved.Term, saved.History, next, now
	return nil
}

// ambiguousStreams returns the streams whose origin does not follow from the history: those of a service with several versions, or
// of a route that leads to several services.
func (instance *Instance) ambiguousStreams(h streamorigin.VersionHistory, records []streamorigin.Record) []streamorigin.Record {
	versions := make(map[string]int)
	for _, o := range h.Versions {
		versions[o.Service]++
	}
	var shared map[string]bool
	if table := instance.view.Table(); table != nil {
		shared = servicesOfSplitRoutes(table.Document())
	}
	var ambiguous []streamorigin.Record
	for _, r := range records {
		if versions[r.Origin.Service] > 1 || shared[r.Origin.Service] {
			ambiguous = append(ambiguous, r)
		}
	}
	return ambiguous
}

func servesResumableRoute(d *routes.Document, service string) bool {
	return slices.ContainsFunc(d.Routes, func(r routes.Route) bool {
		return r.Resumable && slices.ContainsFunc(r.Split, func(s routes.WeightedService) bool { return s.Service == service })
	})
}

func servicesOfSplitRoutes(d *routes.Document) map[string]bool {
	shared := make(map[string]bool)
	for i := range d.Routes {
		if r := &d.Routes[i]; r.Resumable && !r.LeadsToOneService() {
			for _, s := range r.Split {
				shared[s.Service] = true
			}
		}
	}
	return shared
}

// originsDue reports whether something has to be saved.
func (instance *Instance) originsDue(now time.Time, term uint64) bool {
	instance.saveMu.Lock()
	defer instance.saveMu.Unlock()
	h := instance.versions.History(now)
	if !h.Equal(instance.savedHistory) || term != instance.savedTerm || len(instance.known.list(h.Versions)) != instance.savedKnown {
		return true
	}
	if now.Sub(instance.streamsSavedAt) < streamSaveInterval {
		return false
	}
	records, next, _ := instance.streams.Since(now, instance.savedStreams, math.MaxInt)
	if len(instance.ambiguousStreams(h, records)) > 0 {
		return true
	}
	instance.savedStreams, instance.streamsSavedAt = next, now // none of them has to be saved
	return false
}

// keepOrigins records the versions of the known targets and saves what changed until ctx ends.
func (instance *Instance) keepOrigins(ctx context.Context) {
	pause := originsInterval
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		pause = originsInterval
		now := time.Now()
		instance.observeVersions(now)
		instance.versions.Forget(now)
		if !instance.originsDue(now, instance.term()) {
			continue
		}
		if err := instance.saveOrigins(now, instance.term()); err != nil {
			instance.recorder.Record(events.InternalError, events.Fields{"task": "origins", "error": err.Error()})
			pause = originsRetry
		}
	}
}
