package controlinstance

import (
	"cmp"
	"iter"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/tarragonhoist/tarragonhoist/protocol/fleetapi"
	"github.com/tarragonhoist/tarragonhoist/state/shard"
)

const (
	// gatewayTimeout is the least age from which the last load report of a gateway no longer counts.
	gatewayTimeout = time.Second
	// missedReports is the number of report intervals after which it no longer counts.
	missedReports = 3
	// expiryInterval is the least time between two searches for reports that no longer count.
	expiryInterval = 50 * time.Millisecond
)

type gatewayLoad struct {
	receivedAt time.Time
	report     fleetapi.LoadReport
	models     map[modelKey]fleetapi.ModelLoad
	counted    bool // in the sums
}

// gatewayLoads holds the last load report of each gateway. The sums over gateways are updated with each report: with
// hundreds of gateways, adding up all reports for each answer would take a leader more time than it has.
type gatewayLoads struct {
	gateways map[string]*gatewayLoad
	live     int // number of counted gateways
	// sums are the running and waiting requests by target over the counted gateways, slowness and penalties the highest
	// values by target since the last expiry.
	sums                map[string]*fleetapi.TargetLoad
	slowness, penalties map[string]*highest
	expiredAt           time.Time
	// accounts are the loads by client account over the counted gateways.
	accounts map[string]*fleetapi.AccountLoad
	// queues are the waiting requests by model over the counted gateways.
	queues map[modelKey]*fleetapi.ModelLoad
	// brittle are the counted gateways to which targets said that they are brittle.
	brittle []*gatewayLoad
	// helping are the counted gateways that serve what others hand over, in order, and helpersChange changes with them.
	helping       []string
	helpersChange uint64
}

// highest holds the highest value that any gateway reported, and the highest of the others.
type highest struct {
	gateway       string
	value, others int
}

func (h *highest) add(gateway string, value int) {
	switch {
	case gateway == h.gateway:
		h.value = max(h.value, value)
	case value > h.value:
		h.gateway, h.value, h.others = gateway, value, h.value
	default:
		h.others = max(h.others, value)
	}
}

// except returns the highest value of the other gateways.
func (h *highest) except(gateway string) int {
	switch {
	case h == nil:
		return 0
	case h.gateway == gateway:
		return h.others
	}
	return h.value
}

func addHighest(m map[string]*highest, target, gateway string, value int) {
	if value == 0 {
		return
	}
	if m[target] == nil {
		m[target] = &highest{}
	}
	m[target].add(gateway, value)
}

func newGatewayLoads() *gatewayLoads {
	// A new leader continues from another number than its predecessor.
	return &gatewayLoads{helpersChange: rand.Uint64(), gateways: make(map[string]*gatewayLoad), sums: make(map[string]*fleetapi.TargetLoad),
		queues: make(map[modelKey]*fleetapi.ModelLoad), accounts: make(map[string]*fleetapi.AccountLoad),
		slowness: make(map[string]*highest), penalties: make(map[string]*highest)}
}

// put replaces the report of a gateway.
func (g *gatewayLoads) put(now time.Time, r *fleetapi.LoadReport) {
	if old := g.gateways[r.Gateway]; old != nil {
		g.uncount(old)
	}
	l := &gatewayLoad{receivedAt: now, report: *r, counted: true, models: make(map[modelKey]fleetapi.ModelLoad, len(r.Models))}
	for _, m := range r.Models {
		l.models[modelKey{m.Service, m.Model}] = m
	}
	g.gateways[r.Gateway] = l
	g.live++
	g.add(l, 1)
	g.addHealth(l)
}

// addHealth adds the slowness and the penalties that a gateway observed.
func (g *gatewayLoads) addHealth(l *gatewayLoad) {
	for _, t := range l.report.Targets {
		addHighest(g.slowness, t.ID, l.report.Gateway, t.SlownessPercent)
		addHighest(g.penalties, t.ID, l.report.Gateway, t.FailurePenaltyMs)
	}
}

func (g *gatewayLoads) uncount(l *gatewayLoad) {
	if l.counted {
		l.counted = false
		g.live--
		g.add(l, -1)
	}
}

func (g *gatewayLoads) add(l *gatewayLoad, sign int) {
	for _, t := range l.report.Targets {
		sum := g.sums[t.ID]
		if sum == nil {
			sum = &fleetapi.TargetLoad{ID: t.ID}
			g.sums[t.ID] = sum
		}
		sum.Running += sign * t.Running
		sum.Unstarted += sign * t.Unstarted
		sum.PromptTokens += sign * t.PromptTokens
		if sum.Running == 0 && sum.Unstarted == 0 && sum.PromptTokens == 0 {
			delete(g.sums, t.ID)
		}
	}
	for key, m := range l.models {
		g.addQueue(key, m.Waiting, m.Urgent, sign)
	}
	for _, a := range l.report.Accounts {
		g.addAccount(a, sign)
	}
}

func (g *gatewayLoads) addQueue(key modelKey, waiting, urgent, sign int) {
	if waiting == 0 && urgent == 0 {
		return
	}
	sum := g.queues[key]
	if sum == nil {
		sum = &fleetapi.ModelLoad{Service: key.service, Model: key.model}
		g.queues[key] = sum
	}
	sum.Waiting += sign * waiting
	sum.Urgent += sign * urgent
	if sum.Waiting == 0 && sum.Urgent == 0 {
		delete(g.queues, key)
	}
}

// queuesExcept returns the models of wanted services for which requests wait at the other gateways.
func (g *gatewayLoads) queuesExcept(gateway string, wanted func(service string) bool) []fleetapi.ModelLoad {
	var queues []fleetapi.ModelLoad
	own := map[modelKey]fleetapi.ModelLoad(nil)
	if l := g.gateways[gateway]; l != nil && l.counted {
		own = l.models
	}
	for key, sum := range g.queues {
		if !wanted(key.service) {
			continue
		}
		q := *sum
		q.Waiting -= own[key].Waiting
		q.Urgent -= own[key].Urgent
		if q.Waiting > 0 {
			queues = append(queues, q)
		}
	}
	return queues
}

// expire drops the reports of gateways that have stopped reporting, and slowness and penalties that no longer hold.
func (g *gatewayLoads) expire(now time.Time) {
	if now.Sub(g.expiredAt) < expiryInterval {
		return
	}
	g.expiredAt = now
	timeout := max(gatewayTimeout, missedReports*fleetapi.ReportInterval(len(g.gateways)))
	clear(g.slowness)
	clear(g.penalties)
	var helping []string
	g.brittle = g.brittle[:0]
	for name, l := range g.gateways {
		if age := now.Sub(l.receivedAt); age > timeout {
			g.uncount(l)
			if age > 5*timeout {
				delete(g.gateways, name)
			}
			continue
		}
		g.addHealth(l)
		if len(l.report.Brittle) > 0 {
			g.brittle = append(g.brittle, l)
		}
		if l.report.Helps {
			helping = append(helping, name)
		}
	}
	slices.Sort(helping)
	if !slices.Equal(helping, g.helping) {
		g.helping = helping
		g.helpersChange++
	}
}

// brittleServices returns, by service, the fewest rejections in a second that its targets said to gateways but one that they bear.
func (g *gatewayLoads) brittleServices(except string) map[string]int {
	var services map[string]int
	for _, l := range g.brittle {
		if l.report.Gateway == except {
			continue
		}
		for service, n := range l.report.Brittle {
			if services == nil {
				services = make(map[string]int)
			}
			if known, ok := services[service]; !ok || n < known {
				services[service] = n
			}
		}
	}
	return services
}

// maxHelpers is the number of gateways that one gateway is told to hand requests over to.
const maxHelpers = 4

// helpers selects gateways that serve what one gateway hands over. Gateways that are cut off together get different ones.
func (g *gatewayLoads) helpers(gateway string) []string {
	chosen := slices.DeleteFunc(slices.Clone(g.helping), func(name string) bool { return name == gateway })
	rank := func(name string) uint64 { return shard.HashStrings(gateway, name) }
	slices.SortFunc(chosen, func(a, b string) int { return cmp.Compare(rank(a), rank(b)) })
	return chosen[:min(len(chosen), maxHelpers)]
}

// others returns the load of all gateways but one.
func (g *gatewayLoads) others(except string) []fleetapi.TargetLoad {
	own := make(map[string]fleetapi.TargetLoad)
	if l := g.gateways[except]; l != nil && l.counted {
		for _, t := range l.report.Targets {
			own[t.ID] = t
		}
	}
	loads := make([]fleetapi.TargetLoad, 0, len(g.sums))
	add := func(id string, sum fleetapi.TargetLoad) {
		l := fleetapi.TargetLoad{ID: id, Running: sum.Running - own[id].Running, Unstarted: sum.Unstarted - own[id].Unstarted,
			PromptTokens: sum.PromptTokens - own[id].PromptTokens, SlownessPercent: g.slowness[id].except(except),
			FailurePenaltyMs: g.penalties[id].except(except)}
		if l != (fleetapi.TargetLoad{ID: id}) {
			loads = append(loads, l)
		}
	}
	for id, sum := range g.sums {
		add(id, *sum)
	}
	for id := range g.slowness {
		if g.sums[id] == nil {
			add(id, fleetapi.TargetLoad{})
		}
	}
	for id := range g.penalties {
		if g.sums[id] == nil && g.slowness[id] == nil {
			add(id, fleetapi.TargetLoad{})
		}
	}
	return loads
}

// running returns the number of running requests on a target.
func (g *gatewayLoads) running(target string) int {
	if sum := g.sums[target]; sum != nil {
		return sum.Running
	}
	return 0
}

// counted yields the gateways whose last report counts.
func (g *gatewayLoads) counted() iter.Seq[*gatewayLoad] {
	return func(yield func(*gatewayLoad) bool) {
		for _, l := range g.gateways {
			if l.counted && !yield(l) {
				return
			}
		}
	}
}
