package controlinstance

import (
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/coordination/roster"
	"github.com/tarragonhoist/tarragonhoist/coordination/streamorigin"
	"github.com/tarragonhoist/tarragonhoist/events"
	"github.com/tarragonhoist/tarragonhoist/protocol/peerapi"
)

// knownVersions are the software versions that a majority of the control instances knows. Before, no stream may begin at one: where a
// stream began is concluded from what a majority knows, see streamorigin.Resolve.
type knownVersions struct {
	mu    sync.Mutex
	known map[streamorigin.Origin]bool
	// announcing holds the announcements under way; each channel is closed at the end of its own.
	announcing map[streamorigin.Origin]chan struct{}
}

func newKnownVersions() *knownVersions {
	return &knownVersions{known: make(map[streamorigin.Origin]bool), announcing: make(map[streamorigin.Origin]chan struct{})}
}

func (k *knownVersions) has(o streamorigin.Origin) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.known[o]
}

// begin returns nil if the caller has to announce a version, or a channel that is closed when another call has done so.
func (k *knownVersions) begin(o streamorigin.Origin) (other <-chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if running, ok := k.announcing[o]; ok {
		return running
	}
	k.announcing[o] = make(chan struct{})
	return nil
}

// end records the result of an announcement.
func (k *knownVersions) end(o streamorigin.Origin, known bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if known {
		k.known[o] = true
	}
	close(k.announcing[o])
	delete(k.announcing, o)
}

// list returns the known ones among the given versions, and forgets the others.
func (k *knownVersions) list(versions []streamorigin.Origin) []streamorigin.Origin {
	k.mu.Lock()
	defer k.mu.Unlock()
	for o := range k.known {
		if !slices.Contains(versions, o) {
			delete(k.known, o)
		}
	}
	return slices.DeleteFunc(slices.Clone(versions), func(o streamorigin.Origin) bool { return !k.known[o] })
}

func (k *knownVersions) restore(versions []streamorigin.Origin) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, o := range versions {
		k.known[o] = true
	}
}

// ErrNewVersion is returned for a target of a software version that a majority of the control instances does not know yet.
var ErrNewVersion = errors.New("no majority of control instances knows the software version of the target yet")

// admitVersion makes sure that a majority knows the software version of a target before the target gets work.
func (instance *Instance) admitVersion(now time.Time, target *roster.Target) error {
	o := streamorigin.Origin{Service: target.Service, SoftwareVersion: target.SoftwareVersion}
	if instance.known.has(o) || !instance.needsMajority(target) {
		instance.versions.Observe(now, o)
		return nil
	}
	if other := instance.known.begin(o); other != nil {
		<-other
		if !instance.known.has(o) {
			return ErrNewVersion
		}
		return nil
	}
	known := instance.announceVersion(now, o)
	instance.known.end(o, known)
	if !known {
		return ErrNewVersion
	}
	instance.recorder.Record(events.VersionKnown, events.Fields{"service": o.Service, "software": o.SoftwareVersion})
	return nil
}

// needsMajority reports whether streams may begin at a target whose version may not be known to a majority, and be taken up later. A target that
// another instance admitted, or that takes no work, changes nothing.
func (instance *Instance) needsMajority(target *roster.Target) bool {
	if target.State != roster.Ready || target.Service == "" {
		return false
	}
	if table := instance.view.Table(); table != nil && !servesResumableRoute(table.Document(), target.Service) {
		return false
	}
	return !slices.ContainsFunc(instance.view.Targets(), func(e roster.Entry) bool {
		return e.Key == target.Key && e.SoftwareVersion == target.SoftwareVersion
	})
}

// announceVersion records a version here and at the other instances, and reports whether a majority has saved it.
func (instance *Instance) announceVersion(now time.Time, o streamorigin.Origin) bool {
	return instance.notifyMajority(peerapi.MethodFleetVersion, o, func() error { return instance.recordVersion(now, o) })
}

// recordVersion records and saves a version.
func (instance *Instance) recordVersion(now time.Time, o streamorigin.Origin) error {
	instance.versions.Observe(now, o)
	instance.saveMu.Lock()
	saved := slices.Contains(instance.savedHistory.Versions, o)
	instance.saveMu.Unlock()
	if saved {
		return nil
	}
	err := instance.saveOrigins(now, instance.term())
	if err != nil {
		instance.recorder.Record(events.InternalError, events.Fields{"task": "origins", "error": err.Error()})
	}
	return err
}
