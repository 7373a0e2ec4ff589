package pace

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/tarragonhoist/tarragonhoist/coordination/roster"
)

const interval = 100 * time.Millisecond

var begin = time.Unix(1000, 0)

func key(startedAtMs int64) roster.Key { return roster.Key{ID: "t", StartedAtMs: startedAtMs} }

// fleet is a leader, and gateways with their running requests at one target.
type fleet struct {
	sums   *Sums
	tables []*Table
	own    []int
	now    time.Time
	slots  int
	key    roster.Key
}

func newFleet(gateways, slots int) *fleet {
	f := &fleet{sums: NewSums(), own: make([]int, gateways), now: begin, slots: slots, key: key(1)}
	for i := range gateways {
		table := NewTable(fmt.Sprint("g", i))
		table.SetTargets(f.now, f.entries())
		f.tables = append(f.tables, table)
	}
	f.setTargets()
	return f
}

func (f *fleet) entries() []roster.Entry {
	return []roster.Entry{{Target: roster.Target{Key: f.key, Slots: f.slots}, HeardAt: f.now}}
}

func (f *fleet) setTargets() {
	f.sums.SetTargets(f.now, []Target{{Key: f.key, HeardAt: f.now, Slots: f.slots, Running: f.running(), Full: 2 * f.slots}})
}

func (f *fleet) running() int {
	n := 0
	for _, own := range f.own {
		n += own
	}
	return n
}

// restart gives the target a new start, of which all know.
func (f *fleet) restart() {
	f.key.StartedAtMs++
	clear(f.own)
	f.setTargets()
}

// report exchanges a report of a gateway for its part.
func (f *fleet) report(gateway int, lost ...string) {
	name := fmt.Sprint("g", gateway)
	f.admit(gateway) // it has demand
	f.sums.Report(f.now, &Report{Gateway: name, Lost: lost, Observations: f.tables[gateway].Report()}, len(f.tables), interval)
	parts := f.sums.Parts(f.now, name, func(string) int { return f.own[gateway] }, func(string) int { return f.running() }, interval)
	f.tables[gateway].Apply(f.now, parts, interval)
}

// reportAll has each gateway report once.
func (f *fleet) reportAll() {
	for i := range f.tables {
		f.now = f.now.Add(interval / time.Duration(len(f.tables)))
		f.report(i)
	}
	f.setTargets()
}

func (f *fleet) admit(gateway int) bool {
	return f.tables[gateway].Admit(f.now, f.key, f.own[gateway], len(f.tables))
}

// send sends as many requests as all gateways may, at most as many as the target has slots each.
func (f *fleet) send() (sent int) {
	for i := range f.tables {
		for f.own[i] < f.slots && f.admit(i) {
			f.own[i]++
			sent++
		}
	}
	return sent
}

// finish ends all requests with a result.
func (f *fleet) finish(r Result) {
	for i, table := range f.tables {
		round, _ := table.Round(f.now, f.key)
		for ; f.own[i] > 0; f.own[i]-- {
			table.Observe(f.now, f.key, round, r)
		}
	}
}

// settle lets the leader hear from all gateways.
func (f *fleet) settle() {
	for range 8 {
		f.reportAll()
	}
}

// Guards against hundreds of gateways that send one request each to a target that has just started, before and after the leader
// names parts.
func TestStartIsNotFlooded(t *testing.T) {
	f := newFleet(300, 12)
	f.settle()
	f.restart()
	// No leader has named a part yet: a share of the gateways sends.
	if sent := f.send(); sent > 4*initialWindow {
		t.Errorf("%d requests before the leader names parts", sent)
	}
	clear(f.own)
	f.reportAll()
	if sent := f.send(); sent == 0 || sent > 7 { // initialWindow / initialUsedShare
		t.Errorf("%d requests after a round of reports, window %d", sent, initialWindow)
	}
}

// Guards against a window that does not follow the responses.
func TestWindowFollowsResponses(t *testing.T) {
	for name, test := range map[string]struct {
		results []Result
		sizes   []int // the window after each round
	}{
		"doubles to the full size and ends":  {[]Result{InTime, InTime, InTime, InTime}, []int{4, 8, 16, 0}},
		"grows by one after a near response": {[]Result{Near, InTime}, []int{3, 4}},
		"is halved":                          {[]Result{InTime, InTime, Late, InTime}, []int{4, 8, 4, 5}},
		"is halved by refusals":              {[]Result{InTime, Refused}, []int{4, 2}},
		"is at least one":                    {[]Result{Broken, Broken, Broken, InTime}, []int{1, 1, 1, 2}},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPhase(begin, key(1), 24)
			for i, r := range test.results {
				n := (p.window.size + 1) / 2
				switch r {
				case InTime:
					p.observe(begin, n, 0, 0)
				case Near:
					p.observe(begin, n, n, 0)
				default:
					p.observe(begin, 0, 0, n)
				}
				if want := test.sizes[i]; want != 0 && p.window.size != want {
					t.Errorf("after result %d the window is %d, want %d", i, p.window.size, want)
				}
			}
			if test.sizes[len(test.sizes)-1] == 0 && !p.window.isFull() {
				t.Errorf("the phase goes on with a window of %d", p.window.size)
			}
		})
	}
}

// Guards against responses that arrive late, of requests that were sent before a window was reduced or before a start: one bad round
// would reduce the window again and again.
func TestOldObservationsDoNotCount(t *testing.T) {
	f := newFleet(20, 12)
	f.settle()
	f.restart()
	f.reportAll()
	f.send()
	old := f.tables[0]
	round, _ := old.Round(f.now, f.key)
	f.finish(Late)
	f.reportAll()
	p := f.sums.phases["t"]
	if p.window.size != minWindow {
		t.Fatalf("window %d after late responses, want %d", p.window.size, minWindow)
	}
	current := p.round
	for range 5 {
		f.sums.observe(f.now, "g3", &Observation{Target: f.key, Round: round, Bad: 3, InTime: 9})
	}
	if old.Observe(f.now, f.key, round, Late) {
		t.Error("a gateway counts a response of an earlier round")
	}
	if p.round != current || p.window.size != minWindow {
		t.Errorf("window %d and another round %v after old observations", p.window.size, p.round != current)
	}
	before := f.key
	f.restart()
	f.sums.observe(f.now, "g3", &Observation{Target: before, Round: current, InTime: 50})
	if size := f.sums.phases["t"].window.size; size != initialWindow {
		t.Errorf("window %d by observations of an earlier start, want %d", size, initialWindow)
	}
}

// Guards against a new leader that begins the windows of its predecessor again, or gives parts before it knows what is in use.
func TestNewLeaderContinues(t *testing.T) {
	f := newFleet(40, 12)
	f.settle()
	f.restart()
	for range 2 {
		f.reportAll()
		f.send()
		f.finish(InTime)
	}
	size := f.sums.phases["t"].window.size
	if size <= initialWindow {
		t.Fatalf("window %d does not grow", size)
	}
	f.reportAll()
	f.send()
	sent := f.running()
	f.sums = NewSums()
	f.setTargets()
	f.reportAll()
	p := f.sums.phases["t"]
	if p == nil || p.window.size < size {
		t.Fatalf("the new leader does not continue a window of %d: %+v", size, p)
	}
	if more := f.send(); more > 0 {
		t.Errorf("%d requests more than the %d running ones before the leader has heard from all", more, sent)
	}
	f.finish(InTime)
	f.settle()
	if f.send() == 0 {
		t.Error("the new leader gives no parts")
	}
}

// Guards against gateways that send nothing, or each one request, while there is no leader, and that hold requests back for ever.
func TestWithoutLeaderGatewaysTakeTurns(t *testing.T) {
	f := newFleet(300, 12)
	f.settle()
	f.restart()
	f.reportAll()
	f.now = f.now.Add(2 * time.Second) // the parts have expired
	total, rounds := 0, 8
	for range rounds {
		f.now = f.now.Add(turn)
		sent := f.send()
		clear(f.own)
		if sent > 10*initialWindow {
			t.Errorf("%d requests at a time, window %d", sent, initialWindow)
		}
		total += sent
	}
	if total < rounds*initialWindow/4 {
		t.Errorf("%d requests in %d turns of a window of %d", total, rounds, initialWindow)
	}
	f.now = f.now.Add(leaderlessTTL)
	if !f.admit(0) {
		t.Error("a phase that no leader confirms goes on")
	}
}

// Guards against a start phase of a target that only some gateways do not reach, and against none when it is lost and returns.
func TestLostAndRecovered(t *testing.T) {
	f := newFleet(60, 6)
	f.settle()
	serve := func(gateway int) {
		f.sums.Report(f.now, &Report{Gateway: fmt.Sprint("g", gateway), Serving: []string{"t"}}, len(f.tables), interval)
	}
	for range 20 {
		serve(50)
		for i := range 20 {
			f.report(i, "t")
		}
		f.now = f.now.Add(interval)
		f.setTargets()
	}
	if f.sums.Starting() > 0 {
		t.Fatal("a start phase of a target that serves other gateways")
	}
	for range 15 {
		for i := range 20 {
			f.report(i, "t")
		}
		f.now = f.now.Add(interval)
		f.setTargets()
	}
	causes := causesOf(f.sums.TakeChanges())
	for range 3 {
		f.reportAll()
	}
	causes = append(causes, causesOf(f.sums.TakeChanges())...)
	if fmt.Sprint(causes) != fmt.Sprint([]Cause{Lost, Recovered}) {
		t.Errorf("phases began for %v", causes)
	}
}

func causesOf(changes []Change) (causes []Cause) {
	for _, c := range changes {
		causes = append(causes, c.Cause)
	}
	return causes
}

// Guards against start phases of all targets because their instance hears no heartbeats, and of those that it knew from its start.
func TestCutOffInstanceBeginsNoPhases(t *testing.T) {
	s := NewSums()
	list := []Target{{Key: roster.Key{ID: "a", StartedAtMs: 1}, HeardAt: begin, Slots: 1, Full: 2}, {Key: roster.Key{ID: "b", StartedAtMs: 1}, HeardAt: begin, Slots: 1, Full: 2}}
	for i := range 10 {
		s.SetTargets(begin.Add(time.Duration(i)*time.Second), list)
	}
	if s.Starting() > 0 {
		t.Fatal("a phase began")
	}
	list[0].HeardAt = begin.Add(9 * time.Second)
	s.SetTargets(begin.Add(10*time.Second), list)
	if s.Starting() != 1 || s.phases["b"] == nil {
		t.Error("no phase of a target without heartbeats, while others send theirs")
	}
}

// Guards against start phases of all targets after a restart of the control instances, when targets become known one after the other.
func TestTargetsOfTheFirstListsDoNotStart(t *testing.T) {
	s, table := NewSums(), NewTable("g")
	var list []Target
	var entries []roster.Entry
	at := begin
	add := func(after time.Duration) {
		at = begin.Add(after)
		k := roster.Key{ID: fmt.Sprint("t", len(list)), StartedAtMs: 1}
		list = append(list, Target{Key: k, Slots: 1, Full: 2})
		for i := range list {
			list[i].HeardAt = at
		}
		entries = append(entries, roster.Entry{Target: roster.Target{Key: k}})
		s.SetTargets(at, list)
		table.SetTargets(at, entries)
	}
	for i := range 20 {
		add(time.Duration(i) * 100 * time.Millisecond)
	}
	if s.Starting() > 0 || table.Starting() > 0 {
		t.Errorf("%d and %d targets count as started", s.Starting(), table.Starting())
	}
	add(5 * time.Second)
	if s.Starting() != 1 || table.Starting() != 1 {
		t.Errorf("%d and %d targets count as started, want the one that appeared later", s.Starting(), table.Starting())
	}
}

// Guards against a part without an effect on small deployments only in theory: with no more gateways than slots no part is named.
func TestFewGatewaysGetNoParts(t *testing.T) {
	f := newFleet(6, 6)
	f.settle()
	f.restart()
	f.report(0)
	if parts := f.sums.Parts(f.now, "g0", func(string) int { return 0 }, func(string) int { return 0 }, interval); len(parts) > 0 || Applies(6, 6) {
		t.Errorf("parts %v of six gateways of a target with six slots", parts)
	}
	if changes := f.sums.TakeChanges(); len(changes) > 0 {
		t.Errorf("changes %v without an effect are told to operators", changes)
	}
}

// Guards against a phase without an end of a target that is always late, and of one without any response.
func TestPhasesEnd(t *testing.T) {
	for name, test := range map[string]struct {
		result Result
		answer bool
		within time.Duration
	}{"late": {Late, true, maxPhase + time.Second}, "unused": {InTime, false, maxIdlePhase + time.Second}} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(20, 6)
			f.settle()
			f.restart()
			restarted := f.now
			for f.sums.Starting() > 0 && f.now.Sub(restarted) < 2*test.within {
				f.reportAll()
				if test.answer {
					f.send()
					f.finish(test.result)
				}
			}
			if after := f.now.Sub(restarted); after > test.within {
				t.Errorf("the phase lasts %v", after)
			}
		})
	}
}

// Guards against parts that add up to more than the bound, turns that never reach a gateway with demand, and windows out of their
// bounds, in random schedules of reports, requests and responses.
func TestPartsStayWithinTheWindow(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		gateways := rapid.IntRange(13, 120).Draw(rt, "gateways")
		f := newFleet(gateways, 12)
		f.settle()
		f.restart()
		for range rapid.IntRange(1, 300).Draw(rt, "steps") {
			i := rapid.IntRange(0, gateways-1).Draw(rt, "gateway")
			f.now = f.now.Add(time.Duration(rapid.IntRange(0, 30).Draw(rt, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(rt, "action") {
			case 0, 1, 2:
				f.report(i)
			case 3, 4:
				if f.admit(i) {
					f.own[i]++
				}
			default:
				if f.own[i] > 0 {
					round, _ := f.tables[i].Round(f.now, f.key)
					f.own[i]--
					f.tables[i].Observe(f.now, f.key, round, rapid.SampledFrom([]Result{InTime, InTime, Near, Late, Refused}).Draw(rt, "result"))
				}
			}
			checkParts(rt, f)
		}
	})
}

func checkParts(rt *rapid.T, f *fleet) {
	p := f.sums.phases["t"]
	if p == nil {
		return // it has ended
	}
	if p.window.size < minWindow || p.window.size > p.window.full {
		rt.Fatalf("window %d of at most %d", p.window.size, p.window.full)
	}
	unused := 0
	for _, u := range p.uses.byGateway {
		unused += max(u.allowed-u.running, 0)
	}
	// At any grant the parts that are not in use are bounded by the largest window over the share that is used.
	if bound := int(float64(p.window.full)/minUsedShare) + 1; unused > bound {
		rt.Fatalf("parts for %d requests are not in use, at most %d", unused, bound)
	}
}

// Guards against a gateway that keeps the only turn although others have requests.
func TestSingleTurnRotates(t *testing.T) {
	f := newFleet(30, 12)
	f.settle()
	f.restart()
	f.reportAll()
	f.send()
	f.finish(Late) // the window is one
	turns := make(map[int]int)
	for range 60 {
		f.reportAll()
		for i := range f.tables {
			if f.admit(i) {
				turns[i]++
				f.own[i]++
			}
		}
		f.finish(Late)
	}
	for i, n := range turns {
		if n > 30 {
			t.Errorf("gateway %d had %d of 60 turns", i, n)
		}
	}
	if len(turns) < 10 {
		t.Errorf("only %d of 30 gateways had a turn", len(turns))
	}
}
