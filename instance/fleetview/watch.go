package fleetview

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/tarragonhoist/tarragonhoist/protocol/fleetapi"
	"github.com/tarragonhoist/tarragonhoist/protocol/peerapi"
	"github.com/tarragonhoist/tarragonhoist/state/routes"
)

const (
	// maxWatched bounds the control instances that a gateway watches. Control instances watch all others, so three are
	// enough; a fourth shortens the path of a change in small deployments.
	maxWatched = 4
	// watchTimeout bounds one watch: the time after which it is answered without a change, and 1.5 s for a slow link.
	watchTimeout = newsPause + 1500*time.Millisecond
	// retryPause is the least pause after a failed watch; jitter adds up to the same again.
	retryPause = 60 * time.Millisecond
	// manageInterval is the interval at which the watches are matched with the list of control instances.
	manageInterval = 250 * time.Millisecond

	// newsPause is the long-poll timeout: the time after which a watch is answered without a change.
	newsPause = time.Second
	// beatPause is the time for which heartbeats without a change are collected, so that not each of them wakes every
	// gateway.
	beatPause = 400 * time.Millisecond
)

// Caller calls methods of other processes.
type Caller interface {
	Call(ctx context.Context, peer, method string, params, result any) error
}

// Watcher keeps a view up to date by watching control instances.
type Watcher struct {
	view   *View
	caller Caller
	self   string
	// all watches every control instance instead of a few.
	all    bool
	report func(problem string, err error)

	mu      sync.Mutex
	running map[string]context.CancelFunc
	heard   map[string]time.Time
}

// NewWatcher returns a watcher for the process self. report is called for a configuration that cannot be used.
func NewWatcher(view *View, caller Caller, self string, all bool, report func(problem string, err error)) *Watcher {
	return &Watcher{view: view, caller: caller, self: self, all: all, report: report,
		running: make(map[string]context.CancelFunc), heard: make(map[string]time.Time)}
}

// Heard returns the number of control instances that answered, or whose watch began, within the period.
func (w *Watcher) Heard(now time.Time, period time.Duration) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, at := range w.heard {
		if now.Sub(at) <= period {
			n++
		}
	}
	return n
}

// Run watches until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	ticker := time.NewTicker(manageInterval)
	defer ticker.Stop()
	for {
		w.manage(ctx)
		w.view.Tick(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// manage starts and ends watches so that they match the list of control instances.
func (w *Watcher) manage(ctx context.Context) {
	_, members := w.view.Control()
	wanted := make([]string, 0, len(members))
	for _, m := range members {
		if m != w.self {
			wanted = append(wanted, m)
		}
	}
	if !w.all && len(wanted) > maxWatched {
		wanted = w.choose(wanted)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for name, stop := range w.running {
		if !slices.Contains(wanted, name) {
			stop()
			delete(w.running, name)
			delete(w.heard, name)
		}
	}
	for _, name := range wanted {
		if w.running[name] == nil {
			child, stop := context.WithCancel(ctx)
			w.running[name] = stop
			go w.watch(child, name)
		}
	}
}

// choose selects control instances by rendezvous hashing, so that gateways spread over them. Those that have not answered
// for two watch timeouts rank last.
func (w *Watcher) choose(members []string) []string {
	rank := func(name string) uint64 { return hash(w.self, name) }
	list := slices.Clone(members)
	w.mu.Lock()
	now := time.Now()
	silent := func(name string) bool {
		at, ok := w.heard[name]
		return ok && now.Sub(at) > 2*watchTimeout
	}
	slices.SortFunc(list, func(a, b string) int {
		if sa, sb := silent(a), silent(b); sa != sb {
			if sa {
				return 1
			}
			return -1
		}
		if ra, rb := rank(a), rank(b); ra < rb {
			return -1
		} else if ra > rb {
			return 1
		}
		return strings.Compare(a, b)
	})
	w.mu.Unlock()
	return list[:maxWatched]
}

func (w *Watcher) watch(ctx context.Context, name string) {
	request := fleetapi.Watch{}
	w.note(name, time.Now())
	for ctx.Err() == nil {
		request.Version = w.view.Packed().Version
		var news fleetapi.News
		callCtx, cancel := context.WithTimeout(ctx, watchTimeout)
		err := w.caller.Call(callCtx, name, peerapi.MethodFleetWatch, request, &news)
		cancel()
		if err != nil {
			select {
			case <-ctx.Done():
			case <-time.After(retryPause + rand.N(retryPause)):
			}
			continue
		}
		now := time.Now()
		w.note(name, now)
		if len(news.Document) > 0 {
			if err := w.view.SetDocument(routes.Packed{Version: news.Version, Data: news.Document}); err != nil {
				w.report("apply configuration from "+name, err)
			}
		}
		w.view.Merge(now, news.Roster)
		w.view.SetControl(news.Leader, news.Members)
		request.Epoch, request.Change = news.Epoch, news.Roster.Change
	}
}

func (w *Watcher) note(name string, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, ok := w.running[name]; ok {
		w.heard[name] = now
	}
}
