// Package fleetview holds the view that a process has of the deployment: the targets, the configuration in force and the
// control instances. Gateways and control instances keep it up to date by watching control instances.
package fleetview

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/coordination/crashes"
	"github.com/tarragonhoist/tarragonhoist/coordination/roster"
	"github.com/tarragonhoist/tarragonhoist/coordination/streamorigin"
	"github.com/tarragonhoist/tarragonhoist/protocol/fleetapi"
	"github.com/tarragonhoist/tarragonhoist/state/routes"
)

// evictAfter is the time without a heartbeat after which a target is dropped.
const evictAfter = 30 * time.Second

// Decode parses a configuration document in the form in which operators send it.
type Decode func(source []byte) (*routes.Document, error)

// View is safe for concurrent use.
type View struct {
	decode Decode

	table atomic.Pointer[routes.Table]

	mu      sync.Mutex
	roster  *roster.Table
	packed  routes.CompressedDocument
	leader  string
	members []string
	// changed is closed and replaced at each change. Heartbeats without a change count only if they come with Merge.
	changed chan struct{}
	// urgentChange is the same for changes that gateways learn at once: of the configuration and of the state of targets.
	urgentChange chan struct{}
	// contentChange is the same for all changes but heartbeats.
	contentChange chan struct{}
	// gatewayWatches is the number of watches of gateways that wait for an answer.
	gatewayWatches atomic.Int64
	// ownDataCentre is that of this process, and dataCentres those of control instances, as far as known.
	ownDataCentre string
	dataCentres   map[string]string
	// targets is the list of targets. It is outdated when the roster has changed and, at most every minRefreshInterval, after heartbeats
	// without a change; refreshedAt is the time of the latest one of these. It is rebuilt when it is read.
	targets     atomic.Pointer[roster.Index]
	outdated    atomic.Bool
	refreshedAt time.Time
	// notified is the change number of the roster at the last notification.
	notified uint64

	// origins is where streams began, and ownStreams those that began at this process.
	origins    *streamorigin.Table
	ownStreams *streamorigin.Journal

	onDeparture func(target roster.Key, delay time.Duration)

	// started is the time from which the answers to gateways are aligned.
	started time.Time
	// contentMu guards packed contents for gateways, by what they know already.
	contentMu sync.Mutex
	contents  map[contentKey]*packedContent

	crashes *crashes.Table
	// crashChange is closed and replaced at each change of crashes.
	crashChange chan struct{}
	// loggedQuarantines is what was quarantined at the last call of LogQuarantines.
	loggedQuarantines []crashes.Key
}

// New returns an empty view of a process in a data centre. members are the control instances that are watched first.
func New(decode Decode, dataCentre string, members []string) *View {
	v := &View{decode: decode, roster: roster.New(), changed: make(chan struct{}), urgentChange: make(chan struct{}), contentChange: make(chan struct{}),
		members: slices.Clone(members), ownDataCentre: dataCentre, dataCentres: make(map[string]string),
		origins: streamorigin.NewTable(), ownStreams: streamorigin.NewJournal(),
		started: time.Now(), contents: make(map[contentKey]*packedContent), onDeparture: func(roster.Key, time.Duration) {}, crashes: crashes.NewTable(), crashChange: make(chan struct{})}
	v.targets.Store(roster.NewIndex(nil))
	return v
}

// Table returns the configuration in force, or nil before the first one is known.
func (v *View) Table() *routes.Table { return v.table.Load() }

// Targets returns all known targets. The list must not be changed.
func (v *View) Targets() []roster.Entry { return v.TargetIndex().Entries() }

// TargetIndex returns an index of all known targets.
func (v *View) TargetIndex() *roster.Index {
	if v.outdated.Load() {
		v.mu.Lock()
		defer v.mu.Unlock()
		if v.outdated.CompareAndSwap(true, false) {
			v.rebuildTargetsLocked()
		}
	}
	return v.targets.Load()
}

// Packed returns the configuration in force as it was received.
func (v *View) Packed() routes.CompressedDocument {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.packed
}

// SetDocument puts a configuration in force, unless it is no newer than the present one: a process never goes back to an
// older version.
func (v *View) SetDocument(p routes.CompressedDocument) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if p.Version <= v.packed.Version {
		return nil
	}
	source, err := p.Unpack()
	if err != nil {
		return err
	}
	document, err := v.decode(source)
	if err != nil {
		return errors.WithMessagef(err, "decode document version %d", p.Version)
	}
	v.packed = p
	v.table.Store(routes.NewTable(document))
	v.notifyLocked(true, true)
	return nil
}

func (v *View) notifyLocked(content, urgent bool) {
	notify := func(c *chan struct{}) {
		close(*c)
		*c = make(chan struct{})
	}
	notify(&v.changed)
	if content || urgent {
		notify(&v.contentChange)
	}
	if urgent {
		notify(&v.urgentChange)
	}
}

// ApplyHeartbeat applies a heartbeat of a target.
func (v *View) ApplyHeartbeat(now time.Time, target roster.Target) (roster.Outcome, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	outcome, err := v.roster.Observe(now, target)
	v.publishLocked(outcome == roster.Changed)
	if outcome == roster.Refreshed && now.Sub(v.refreshedAt) >= minRefreshInterval {
		v.refreshedAt = now
		v.outdated.Store(true)
	}
	return outcome, err
}

// minRefreshInterval is the least time after which the list is outdated again by heartbeats without a change. Hundreds of targets
// send a heartbeat per second, and each rebuild copies all of them.
const minRefreshInterval = 200 * time.Millisecond

// MarkGone marks a target that announced its end as gone, and reports whether that changed anything.
func (v *View) MarkGone(id string, startedAtMs int64) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	changed := v.roster.Leave(time.Now(), id, startedAtMs)
	v.publishLocked(changed)
	return changed
}

// MarkDraining marks a target as one that takes no new requests, and reports whether that changed anything.
func (v *View) MarkDraining(key roster.Key) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	changed := v.roster.Drain(time.Now(), key)
	v.publishLocked(changed)
	return changed
}

// Merge applies the changes and heartbeats that a control instance sent, and reports whether anything but heartbeats was
// new.
func (v *View) Merge(now time.Time, d roster.Delta) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	ready := v.readyLocked(d.Targets)
	changed := v.roster.Merge(now, d)
	v.publishLocked(changed || d.HasHeartbeats())
	v.reportDepartures(now, ready)
	return changed
}

// MergeDepartures applies the departures that a control instance sent.
func (v *View) MergeDepartures(now time.Time, packed []byte) {
	v.mu.Lock()
	defer v.mu.Unlock()
	before := v.roster.Change()
	departed := v.roster.MergeDepartures(now, packed)
	v.publishLocked(v.roster.Change() != before)
	v.reportDepartures(now, departed)
}

// reportDepartures calls onDeparture for the targets that have left.
func (v *View) reportDepartures(now time.Time, targets []roster.Key) {
	for _, key := range targets {
		if e := v.roster.Get(key.ID); e != nil && e.Key == key && e.State != roster.Ready {
			v.onDeparture(key, now.Sub(e.DepartedAt))
		}
	}
}

// takeMismatch reports whether an update did not fit to what is known.
func (v *View) takeMismatch() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.roster.TakeMismatch()
}

// readyLocked returns the targets that leave by a delta and are known as ready.
func (v *View) readyLocked(targets []roster.Target) (ready []roster.Key) {
	for i := range targets {
		if t := &targets[i]; t.State != roster.Ready {
			if e := v.roster.Get(t.ID); e != nil && e.Key == t.Key && e.State == roster.Ready {
				ready = append(ready, t.Key)
			}
		}
	}
	return ready
}

// OnDeparture sets a function that is called when the view learns from another process that a target leaves or is gone, with the time
// since a control instance learned of it. It must not call the view. Call it before the view is used.
func (v *View) OnDeparture(f func(target roster.Key, delay time.Duration)) { v.onDeparture = f }

// EvictStale drops targets without a heartbeat for evictAfter.
func (v *View) EvictStale(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.roster.Forget(now, evictAfter)) > 0 {
		v.publishLocked(true)
	}
}

func (v *View) publishLocked(changed bool) {
	if !changed {
		return
	}
	v.outdated.Store(true)
	content, lifecycle := v.roster.ContentChangedAfter(v.notified), v.roster.LifecycleChangedAfter(v.notified)
	v.notifyLocked(content, lifecycle)
	v.notified = v.roster.Change()
}

// rebuildTargetsLocked rebuilds the list that Targets returns.
func (v *View) rebuildTargetsLocked() {
	list := make([]roster.Entry, 0, len(v.targets.Load().Entries())+1)
	v.roster.Each(func(e *roster.Entry) bool {
		list = append(list, *e)
		return true
	})
	slices.SortFunc(list, func(a, b roster.Entry) int { return strings.Compare(a.ID, b.ID) })
	v.targets.Store(roster.NewIndex(list))
}

// LeaderAndMembers returns the known leader, empty if there is none, and the control instances.
func (v *View) LeaderAndMembers() (leader string, members []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.leader, v.members
}

// SetLeaderAndMembers sets the leader and the control instances. Empty values are ignored.
func (v *View) SetLeaderAndMembers(leader string, members []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if leader != "" {
		v.leader = leader
	}
	if len(members) > 0 && !slices.Equal(members, v.members) {
		v.members = slices.Clone(members)
	}
}

// changes tells what changed after a change number.
type changes struct {
	// next is closed at the next change that has to be looked at before the delays of a watch are over.
	next                           <-chan struct{}
	version                        uint64 // of the configuration
	content, lifecycle, heartbeats bool
	crashes                        bool // known crashes of targets
	departures                     bool
}

// changesSince tells what changed since the response to which a watch refers. A gateway is woken by changes of what targets
// hold only if contentDue is set.
func (v *View) changesSince(request *fleetapi.WatchRequest, contentDue bool) changes {
	v.mu.Lock()
	defer v.mu.Unlock()
	c := changes{next: v.changed, version: v.packed.Version, heartbeats: v.roster.ChangedAfter(request.ChangeNumber),
		content: v.roster.ContentChangedAfter(request.ChangeNumber), lifecycle: v.roster.LifecycleChangedAfter(request.ChangeNumber), crashes: v.crashes.ChangedAfter(request.CrashChange),
		departures: v.roster.DepartureChange() > request.Departures}
	switch {
	case request.Standby:
		c.content, c.lifecycle, c.heartbeats, c.crashes = false, false, false, false
		c.next = v.urgentChange
	case request.Gateway && contentDue:
		c.next = v.contentChange
	case request.Gateway:
		c.next = v.urgentChange
	}
	return c
}

// SetDataCentres records the data centres of control instances.
func (v *View) SetDataCentres(members, dataCentres []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for i, m := range members {
		if i < len(dataCentres) && dataCentres[i] != "" {
			v.dataCentres[m] = dataCentres[i]
		}
	}
}

// inOwnDataCentre reports whether a control instance is known to be in the data centre of this process.
func (v *View) inOwnDataCentre(member string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.ownDataCentre != "" && v.dataCentres[member] == v.ownDataCentre
}

// AddControlInstances adds control instances to those that the group names.
func (v *View) AddControlInstances(names []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, name := range names {
		if !slices.Contains(v.members, name) {
			v.members = append(slices.Clone(v.members), name)
		}
	}
}
