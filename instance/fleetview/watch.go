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

	mu      sync.Mutex
	watches map[string]context.CancelFunc
	heardAt map[string]time.Time
	// failedAt is, by instance, the time of the latest failed watch.
	failedAt map[string]time.Time
}

// NewWatcher returns a watcher for the process self. report is called for a configuration that cannot be used.
func NewWatcher(view *View, peers PeerClient, self string, watchAll bool, report func(problem string, err error)) *Watcher {
	return &Watcher{view: view, peers: peers, self: self, watchAll: watchAll, report: report,
		watches: make(map[string]context.CancelFunc), heardAt: make(map[string]time.Time), failedAt: make(map[string]time.Time)}
}

// SetGateways sets the number of gateways of the deployment. The more there are, the rarer are their reports.
func (w *Watcher) SetGateways(n int) { w.gateways.Store(int64(n)) }

// HeardWithin returns the number of control instances that answered, or whose watch began, within the period.
func (w *Watcher) HeardWithin(now time.Time, period time.Duration) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, at := range w.heardAt {
		if now.Sub(at) <= period {
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
		}
	}
}

// updateWatches starts and ends watches so that they match the list of control instances.
func (w *Watcher) updateWatches(ctx context.Context) {
	_, members := w.view.LeaderAndMembers()
	wanted := make([]string, 0, len(members))
	for _, m := range members {
		if m != w.self {
			wanted = append(wanted, m)
		}
	}
	if !w.watchAll && len(wanted) > watchedInstances {
		wanted = w.chooseInstances(wanted)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for name, stop := range w.watches {
		if !slices.Contains(wanted, name) {
			stop()
			delete(w.watches, name)
			delete(w.heardAt, name)
		}
	}
	for _, name := range wanted {
		if w.watches[name] == nil {
			child, stop := context.WithCancel(ctx)
			w.watches[name] = stop
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

// chooseInstances selects control instances by rendezvous hashing, so that gateways spread over them: one in the own data
// centre and then others. Those that have not answered for a watch timeout, or whose watch has just failed, rank last.
func (w *Watcher) chooseInstances(members []string) []string {
	list := slices.Clone(members)
	w.mu.Lock()
	now := time.Now()
	failing := make(map[string]bool)
	for _, name := range list {
		heard, watched := w.heardAt[name]
		failing[name] = watched && now.Sub(heard) > watchTimeout || now.Sub(w.failedAt[name]) < failurePause
	}
	w.mu.Unlock()
	slices.SortFunc(list, func(a, b string) int {
		if failing[a] != failing[b] {
			if failing[a] {
				return 1
			}
			return -1
		}
		return cmp.Or(cmp.Compare(rendezvousHash(w.self, a), rendezvousHash(w.self, b)), strings.Compare(a, b))
	})
	local := slices.IndexFunc(list, func(name string) bool { return !failing[name] && w.view.inOwnDataCentre(name) })
	if local < 0 {
		return list[:watchedInstances]
	}
	chosen := []string{list[local]}
	remote := func(name string) bool { return name != list[local] && !w.view.inOwnDataCentre(name) }
	if i := slices.IndexFunc(list, remote); i >= 0 {
		return append(chosen, list[i])
	}
	list = slices.Delete(list, local, local+1)
	return append(chosen, list[:watchedInstances-1]...)
}

// watch watches a control instance. It sends to each of the channels when the instance has started again.
func (w *Watcher) watch(ctx context.Context, name string, restarts []chan<- struct{}) {
	request := fleetapi.WatchRequest{Gateway: !w.watchAll}
	w.recordHeard(name, time.Now())
	for ctx.Err() == nil {
		request.Version = w.view.Packed().Version
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
		w.recordAnswer(name, now)
		if len(response.Document) > 0 {
			if err := w.view.SetDocument(routes.CompressedDocument{Version: response.Version, Data: response.Document}); err != nil {
				w.report("apply configuration from "+name, err)
			}
		}
		w.view.Merge(now, response.Roster)
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
	}
}

func (w *Watcher) recordAnswer(name string, now time.Time) {
	w.recordHeard(name, now)
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.failedAt, name)
}

func (w *Watcher) recordFailure(name string, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failedAt[name] = now
}

func (w *Watcher) recordHeard(name string, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, ok := w.watches[name]; ok {
		w.heardAt[name] = now
	}
}
