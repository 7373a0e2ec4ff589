package fleetview

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tarragonhoist/tarragonhoist/protocol/fleetapi"
	"github.com/tarragonhoist/tarragonhoist/protocol/peerapi"
	"github.com/tarragonhoist/tarragonhoist/state/routes"
)

const (
	// watchedInstances is the number of control instances that a gateway watches: one in its own data centre, where there
	// is one, and one elsewhere. Control instances watch all others, so either one knows all targets. Two of them keep a
	// gateway informed when one fails, and when its data centre is cut off.
	watchedInstances = 2
	// standbyGateways is the number of gateways from which on one of two watched instances tells a gateway only what is urgent. With
	// fewer, two complete watches cost the control instances little.
	standbyGateways = 100
	// watchTimeout bounds one watch: the time after which it is answered without a change, and 1.5 s for a slow link.
	watchTimeout = longPollTimeout + 1500*time.Millisecond
	// minRetryPause is the least pause after a failed watch; jitter adds up to the same again.
	minRetryPause = 60 * time.Millisecond
	// updateInterval is the interval at which the watches are matched with the list of control instances.
	updateInterval = 250 * time.Millisecond

	// longPollTimeout is the time after which a watch is answered without a change.
	longPollTimeout = time.Second
	// failurePause is the time for which an instance whose watch failed ranks behind the others, unless it answers. Without
	// it, a gateway would return to an unresponsive instance as soon as it has turned to another one.
	failurePause = 10 * time.Second
)

// PeerClient calls methods of other processes.
type PeerClient interface {
	Call(ctx context.Context, peer, method string, params, result any) error
}

// Watcher keeps a view up to date by watching control instances.
type Watcher struct {
	view  *View
	peers PeerClient
	self  string
	// watchAll watches every control instance instead of a few.
	watchAll bool
	report   func(problem string, err error)

	// gateways is the number of gateways of the deployment, as far as known.
	gateways atomic.Int64

	// changed makes Run match the watches at once, since what is known of an instance has changed.
	changed chan struct{}

	mu        sync.Mutex
	watches   map[string]context.CancelFunc
	standings map[string]*standing
	// nextRound is the earliest time of the next round of probes.
	nextRound time.Time
	// contactAt is the latest time at which a watched instance had contact with a majority, as far as its answers name it.
	contactAt time.Time
}

// NewWatcher returns a watcher for the process self. report is called for a configuration that cannot be used.
func NewWatcher(view *View, peers PeerClient, self string, watchAll bool, report func(problem string, err error)) *Watcher {
	return &Watcher{view: view, peers: peers, self: self, watchAll: watchAll, report: report,
		changed: make(chan struct{}, 1), watches: make(map[string]context.CancelFunc), standings: make(map[string]*standing)}
}

// SetGateways sets the number of gateways of the deployment. The more there are, the rarer are their reports.
func (w *Watcher) SetGateways(n int) { w.gateways.Store(int64(n)) }

// HeardWithin returns the number of control instances that answered, or whose watch began, within the period.
func (w *Watcher) HeardWithin(now time.Time, period time.Duration) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, s := range w.standings {
		if s.watched && now.Sub(s.heardAt) <= period {
			n++
		}
	}
	return n
}

// Run watches until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	ticker := time.NewTicker(updateInterval)
	defer ticker.Stop()
	for {
		w.updateWatches(ctx)
		w.view.EvictStale(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-w.changed:
		}
	}
}

// ContactAt returns the latest time at which one of the watched instances had contact with a majority. The view holds what
// it knew then. A control instance that is no member of the group learns of new versions in this way only.
func (w *Watcher) ContactAt() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.contactAt
}

// updateWatches starts and ends watches so that they match the list of control instances.
func (w *Watcher) updateWatches(ctx context.Context) {
	now := time.Now()
	candidates := w.candidates()
	var wanted []string
	if w.watchAll {
		for i := range candidates {
			wanted = append(wanted, candidates[i].name)
		}
	} else {
		w.startProbes(ctx, now, candidates)
		wanted = w.chooseInstances(now, candidates)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for name, stop := range w.watches {
		if !slices.Contains(wanted, name) {
			stop()
			delete(w.watches, name)
			w.standingLocked(name).watched = false
		}
	}
	for _, name := range wanted {
		if w.watches[name] == nil {
			child, stop := context.WithCancel(ctx)
			w.watches[name] = stop
			s := w.standingLocked(name)
			s.watched, s.heardAt = true, now
			if w.watchAll {
				go w.watch(child, name, nil)
				continue
			}
			// A restart that is not taken yet stands for all restarts until then.
			crashRestarts, streamRestarts := make(chan struct{}, 1), make(chan struct{}, 1)
			go w.watch(child, name, []chan<- struct{}{crashRestarts, streamRestarts})
			go w.reportCrashes(child, name, crashRestarts)
			go w.reportStreams(child, name, streamRestarts)
		}
	}
}

// candidates returns the control instances that may be watched, and forgets what is known of others.
func (w *Watcher) candidates() []candidate {
	_, members := w.view.LeaderAndMembers()
	list := make([]candidate, 0, len(members))
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, name := range members {
		if name != w.self {
			list = append(list, candidate{name: name, weight: rendezvousHash(w.self, name), local: w.view.inOwnDataCentre(name),
				standing: *w.standingLocked(name)})
		}
	}
	for name := range w.standings {
		if w.watches[name] == nil && !slices.Contains(members, name) {
			delete(w.standings, name)
		}
	}
	return list
}

// chooseInstances returns the instances to watch. A watch that may not begin yet is replaced by one that goes on.
func (w *Watcher) chooseInstances(now time.Time, candidates []candidate) []string {
	wanted := selectInstances(now, candidates)
	find := func(name string) *candidate {
		return &candidates[slices.IndexFunc(candidates, func(c candidate) bool { return c.name == name })]
	}
	replacing := slices.ContainsFunc(candidates, func(c candidate) bool { return c.watched && c.lost })
	var chosen []string
	for _, name := range wanted {
		if c := find(name); c.watched || !replacing || c.mayReplace(now) {
			chosen = append(chosen, name)
		}
	}
	for i := range candidates {
		c := &candidates[i]
		if len(chosen) < len(wanted) && c.watched && !slices.Contains(chosen, c.name) {
			chosen = append(chosen, c.name)
		}
	}
	return chosen
}

// startProbes asks instances that are not watched whether they have contact.
func (w *Watcher) startProbes(ctx context.Context, now time.Time, candidates []candidate) {
	w.mu.Lock()
	defer w.mu.Unlock()
	due, round := probesDue(now, w.nextRound, candidates)
	if round {
		w.nextRound = now.Add(probeInterval + rand.N(probeInterval/2))
	}
	for _, name := range due {
		w.standingLocked(name).probing = true
		go w.probe(ctx, name)
	}
}

func (w *Watcher) probe(ctx context.Context, name string) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	request := fleetapi.WatchRequest{Gateway: true, ContactOnly: true, Version: w.view.Packed().Version}
	var response fleetapi.WatchResponse
	err := w.peers.Call(ctx, name, peerapi.MethodFleetWatch, request, &response)
	now := time.Now()
	if err == nil {
		w.setDocument(name, &response)
	}
	w.mu.Lock()
	s := w.standingLocked(name)
	s.probing = false
	if err != nil {
		s.failedAt = now
	} else {
		s.failedAt = time.Time{}
		s.recordContact(now, response.Contact, rand.N[time.Duration])
	}
	w.mu.Unlock()
	w.notifyChanged()
}

func (w *Watcher) notifyChanged() {
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

func (w *Watcher) setDocument(name string, response *fleetapi.WatchResponse) {
	if len(response.Document) == 0 {
		return
	}
	if err := w.view.SetDocument(routes.CompressedDocument{Version: response.Version, Data: response.Document}); err != nil {
		w.report("apply configuration from "+name, err)
	}
}

func (w *Watcher) standingLocked(name string) *standing {
	s := w.standings[name]
	if s == nil {
		s = &standing{}
		w.standings[name] = s
	}
	return s
}

// watch watches a control instance. It sends to each of the channels when the instance has started again.
func (w *Watcher) watch(ctx context.Context, name string, restarts []chan<- struct{}) {
	request := fleetapi.WatchRequest{Gateway: !w.watchAll, Packed: !w.watchAll, Contact: fleetapi.ContactRecent}
	for ctx.Err() == nil {
		request.Version, request.Standby = w.view.Packed().Version, w.standsBy(name, time.Now())
		var response fleetapi.WatchResponse
		callCtx, cancel := context.WithTimeout(ctx, watchTimeout)
		err := w.peers.Call(callCtx, name, peerapi.MethodFleetWatch, request, &response)
		cancel()
		if err != nil {
			if ctx.Err() == nil {
				w.recordFailure(name, time.Now())
			}
			select {
			case <-ctx.Done():
			case <-time.After(minRetryPause + rand.N(minRetryPause)):
			}
			continue
		}
		now := time.Now()
		w.setDocument(name, &response)
		w.recordAnswer(name, now, &response)
		if err := unpack(&request, &response); err != nil {
			w.report("read the changes sent by "+name, err)
		}
		if response.Standby {
			w.view.MergeDepartures(now, response.Departed)
		} else {
			w.view.Merge(now, response.Roster)
		}
		w.view.SetLeaderAndMembers(response.Leader, response.Members)
		w.view.SetDataCentres([]string{name}, []string{response.DataCentre})
		w.view.SetDataCentres(response.Members, response.MemberDataCentres)
		w.view.MergeCrashes(now, response.Crashes)
		if response.Epoch != request.Epoch {
			for _, c := range restarts {
				select {
				case c <- struct{}{}:
				default:
				}
			}
		}
		request.Epoch, request.ChangeNumber, request.CrashChange = response.Epoch, response.Roster.Change, response.CrashChange
		request.Departures = response.Departures
		if w.view.takeMismatch() {
			request.ChangeNumber = 0
		}
		request.Contact = max(response.Contact, fleetapi.ContactRecent)
	}
}

// unpack replaces the packed content of a response. After a standby response the next request continues from where this one did. If the
// content cannot be read, the change numbers stay 0, so that the next request asks for everything.
func unpack(request *fleetapi.WatchRequest, response *fleetapi.WatchResponse) error {
	switch {
	case response.Standby && response.Epoch == request.Epoch:
		response.Roster.Change, response.CrashChange = request.ChangeNumber, request.CrashChange
	case len(response.Content) > 0:
		content, err := fleetapi.UnpackContent(response.Content)
		if err != nil {
			return err
		}
		response.Roster, response.Crashes, response.CrashChange = content.Roster, content.Crashes, content.CrashChange
	}
	return nil
}

// standsBy reports whether another watched instance informs this gateway, so that this one only has to tell what is urgent. Of the
// instances with contact, one in the own data centre informs before others.
func (w *Watcher) standsBy(name string, now time.Time) bool {
	if w.watchAll || w.gateways.Load() < standbyGateways {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	own := w.standings[name]
	if own == nil {
		return false
	}
	for other, s := range w.standings {
		if other != name && s.informs(now) && (!own.informs(now) || w.goesFirst(other, name)) {
			return true
		}
	}
	return false
}

// goesFirst orders two watched instances that inform this gateway.
func (w *Watcher) goesFirst(a, b string) bool {
	if localA, localB := w.view.inOwnDataCentre(a), w.view.inOwnDataCentre(b); localA != localB {
		return localA
	}
	return cmp.Or(cmp.Compare(rendezvousHash(w.self, a), rendezvousHash(w.self, b)), strings.Compare(a, b)) < 0
}

// recordAnswer records an answer whose document is in force.
func (w *Watcher) recordAnswer(name string, now time.Time, response *fleetapi.WatchResponse) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.watches[name] == nil {
		return
	}
	s := w.standingLocked(name)
	s.heardAt, s.failedAt = now, time.Time{}
	wasLost := s.lost
	s.recordContact(now, response.Contact, rand.N[time.Duration])
	if at := contactTime(now, response); at.After(w.contactAt) {
		w.contactAt = at
	}
	if s.lost != wasLost {
		w.notifyChanged()
	}
}

func (w *Watcher) recordFailure(name string, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.standingLocked(name).failedAt = now
}
