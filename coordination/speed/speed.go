// Package speed estimates how fast the targets of a service are relative to each other, from the gaps between the events of
// their streams. It does no I/O and reads no clock.
//
// Load pattern: 90 engines, a third at 0.6, a third at 1.0 and a third at 1.6 times the nominal speed, without a description that
// says so. They serve models whose times per step differ by a factor of 7.7, so a long gap says nothing by itself. Some engines are
// 2.5 times slower for 600 ms now and then, which is not part of their speed. 77 gateways see a few streams of a few pairs of target
// and model each.
package speed

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// SampleTTL is the time after which what a gateway reported of a pair no longer counts.
	SampleTTL = 30 * time.Second
	// estimateInterval is the least time between two estimates, which bounds their cost at the leader.
	estimateInterval = time.Second
	// learningGap is the time without reports after which another instance may have led, so that everything is learned anew.
	learningGap = 5 * time.Second
	// MinRatio is the ratio of the speeds of fast and slow targets from which the speeds of a service take effect. Targets of 1.0 to
	// 1.3 times the nominal speed are served as if they were equal.
	MinRatio = 1.5
	// slowQuantile and fastQuantile are the quantiles of the speeds that are compared with MinRatio.
	slowQuantile = 0.1
	fastQuantile = 0.9
	// clearRatio is the ratio from which a single estimate with speeds of manyTargets lets speeds take effect, so that they do within
	// 3 s of traffic. In replays of targets of 1.0 to 1.3 times the nominal speed, some of which were seen in slow phases only, 90
	// targets reached 1.53 in the first seconds, and 3 or 24 targets 2.5 and more for up to 5 s.
	clearRatio  = 1.75
	manyTargets = 30
	// estimatesToStart and estimatesToStop are the numbers of consecutive estimates on the other side of MinRatio after which speeds
	// otherwise take effect or stop doing so.
	estimatesToStart = 8
	estimatesToStop  = 5
	// maxEstimatesToDecide is the number of estimates after which the speeds of an earlier leader are replaced in any case. Gateways
	// keep them for 30 s.
	maxEstimatesToDecide = int(SampleTTL / estimateInterval)
	// minTargetSamples is the number of samples below which a target has no speed, and minPairSamples that below which a pair is not
	// used: a few gaps may all lie in one slow phase.
	minTargetSamples = 20
	minPairSamples   = 5
	// maxGatewaySamples bounds the weight of one gateway in a pair, and maxPairWeight that of a pair in the estimate.
	maxGatewaySamples = 200
	maxPairWeight     = 300
	// reliableSamples is the number of samples from which a pair has half of the weight that its samples would have if they were
	// independent. Fewer may come from two or three streams in one slow phase.
	reliableSamples = 20
	// minSpeed and maxSpeed bound a speed.
	minSpeed = 0.25
	maxSpeed = 4.0
	// MaxSamples is the maximum number of samples in a report.
	MaxSamples = 32
	// maxModels is the maximum number of models of a target with samples.
	maxModels = 64
)

// Sample is what a gateway saw of the streams of a model at a target.
type Sample struct {
	Target string `json:"i"`
	// StartedAtMs is the start time of the target, in Unix ms.
	StartedAtMs int64  `json:"b,omitempty"`
	Model       string `json:"m"`
	// GapMs is the usual gap between events, see Gaps, and Count the number of gaps since the last report.
	GapMs float64 `json:"g"`
	Count int     `json:"n"`
}

// Target is a target as the leader knows it.
type Target struct {
	ID          string
	StartedAtMs int64
	Service     string
}

// Change says that the speeds of a service have taken effect, or have stopped doing so.
type Change struct {
	Service  string
	InEffect bool
	Ratio    float64 // of the speeds of fast and slow targets
	Targets  int     // with a speed
}

type gateway struct{ reportedAt time.Time }

// value is what one gateway reported of a pair.
type value struct {
	gateway *gateway
	at      time.Time
	logGap  float64
	count   int
}

type target struct {
	startedAtMs int64
	service     string
	pairs       map[string][]value // by model
}

type service struct {
	speeds   map[string]float64 // of the targets with a speed
	ratio    float64
	inEffect bool
	// otherSide is the number of consecutive estimates that contradict inEffect, and estimates the number of those that found a speed.
	otherSide, estimates int
}

// Estimator estimates speeds at the leader. It is not safe for concurrent use.
type Estimator struct {
	targets  map[string]*target
	gateways map[string]*gateway
	services map[string]*service
	changes  []Change
	// reportedAt is the time of the latest report, estimatedAt that of the latest estimate, and estimates the number of estimates
	// that found a speed since the estimator began to learn.
	reportedAt, estimatedAt time.Time
	estimates               int
	ready                   bool
}

// NewEstimator returns an estimator without targets.
func NewEstimator() *Estimator {
	return &Estimator{targets: make(map[string]*target), gateways: make(map[string]*gateway), services: make(map[string]*service)}
}

// SetTargets replaces the list of targets. What is known of a target that has started again or has another service is forgotten.
func (e *Estimator) SetTargets(list []Target) {
	present := make(map[string]bool, len(list))
	for _, t := range list {
		present[t.ID] = true
		known := e.targets[t.ID]
		if known == nil || t.StartedAtMs > known.startedAtMs || t.Service != known.service {
			e.Forget(t.ID)
			e.targets[t.ID] = &target{startedAtMs: t.StartedAtMs, service: t.Service, pairs: make(map[string][]value)}
		}
	}
	for id := range e.targets {
		if !present[id] {
			e.Forget(id)
			delete(e.targets, id)
		}
	}
}

// Forget clears the samples and the speed of a target.
func (e *Estimator) Forget(id string) {
	t := e.targets[id]
	if t == nil {
		return
	}
	clear(t.pairs)
	if s := e.services[t.service]; s != nil {
		delete(s.speeds, id)
	}
}

// Report records what a gateway reports. Samples of unknown targets and of earlier starts of a target are ignored.
func (e *Estimator) Report(now time.Time, name string, samples []Sample) {
	if !e.reportedAt.IsZero() && now.Sub(e.reportedAt) > learningGap {
		e.startOver()
	}
	e.reportedAt = now
	g := e.gateways[name]
	if g == nil {
		g = &gateway{}
		e.gateways[name] = g
	}
	g.reportedAt = now
	for i := range samples[:min(len(samples), MaxSamples)] {
		s := &samples[i]
		t := e.targets[s.Target]
		if t == nil || s.StartedAtMs < t.startedAtMs || s.Model == "" || s.Count <= 0 || !(s.GapMs > 0) || math.IsInf(s.GapMs, 0) {
			continue
		}
		if s.StartedAtMs > t.startedAtMs {
			e.Forget(s.Target)
			t.startedAtMs = s.StartedAtMs
		}
		t.add(now, g, s)
	}
}

func (t *target) add(now time.Time, g *gateway, s *Sample) {
	values, ok := t.pairs[s.Model]
	if !ok && len(t.pairs) >= maxModels {
		return
	}
	i := slices.IndexFunc(values, func(v value) bool { return v.gateway == g })
	if i < 0 {
		i = len(values)
		values = append(values, value{gateway: g})
		t.pairs[s.Model] = values
	}
	v := &values[i]
	if now.Sub(v.at) > SampleTTL {
		v.count = 0
	}
	v.at, v.logGap, v.count = now, math.Log(s.GapMs), min(v.count+min(s.Count, maxGatewaySamples), maxGatewaySamples)
}

// startOver forgets all samples and speeds.
func (e *Estimator) startOver() {
	for _, t := range e.targets {
		clear(t.pairs)
	}
	clear(e.gateways)
	clear(e.services)
	e.estimates, e.ready, e.estimatedAt = 0, false, time.Time{}
}

// Leads reports whether gateways report here.
func (e *Estimator) Leads(now time.Time) bool {
	return !e.reportedAt.IsZero() && now.Sub(e.reportedAt) <= learningGap
}

// Ready reports whether enough is known to replace the speeds that an earlier leader published: whether it has been decided for all
// services with samples if their speeds have an effect. It stays so until the estimator starts over.
func (e *Estimator) Ready() bool { return e.ready }

// decided reports whether it is known of each service with speeds if they have an effect. It no longer waits for services that are close
// to MinRatio once samples of the first estimates have expired.
func (e *Estimator) decided() bool {
	if e.estimates > maxEstimatesToDecide {
		return true
	}
	for _, s := range e.services {
		if !s.inEffect && (s.otherSide > 0 || 0 < s.estimates && s.estimates <= estimatesToStart) {
			return false
		}
	}
	return e.estimates > 0
}

// Update estimates the speeds of all services, at most once per second and only while gateways report. It reports whether it did.
// Without reports, the latest speeds end with their samples.
func (e *Estimator) Update(now time.Time) bool {
	if len(e.services) > 0 && now.Sub(e.reportedAt) > SampleTTL {
		e.startOver()
	}
	if !e.Leads(now) || now.Sub(e.estimatedAt) < estimateInterval {
		return false
	}
	e.estimatedAt = now
	e.expire(now)
	byService := make(map[string][]string)
	for _, id := range slices.Sorted(maps.Keys(e.targets)) {
		byService[e.targets[id].service] = append(byService[e.targets[id].service], id)
	}
	found := false
	for _, name := range slices.Sorted(maps.Keys(byService)) {
		s := e.services[name]
		if s == nil {
			s = &service{}
			e.services[name] = s
		}
		s.speeds = e.estimate(byService[name])
		if len(s.speeds) > 0 {
			s.estimates++
			found = true
		}
		e.judge(name, s)
	}
	for _, name := range slices.Sorted(maps.Keys(e.services)) {
		if byService[name] != nil {
			continue
		}
		if e.services[name].inEffect {
			e.changes = append(e.changes, Change{Service: name, Ratio: 1})
		}
		delete(e.services, name)
	}
	if found {
		e.estimates++
	}
	e.ready = e.ready || e.decided()
	return true
}

// expire drops what was reported too long ago.
func (e *Estimator) expire(now time.Time) {
	for _, t := range e.targets {
		for model, values := range t.pairs {
			values = slices.DeleteFunc(values, func(v value) bool { return now.Sub(v.at) > SampleTTL })
			if len(values) == 0 {
				delete(t.pairs, model)
			} else {
				t.pairs[model] = values
			}
		}
	}
	for name, g := range e.gateways {
		if now.Sub(g.reportedAt) > SampleTTL {
			delete(e.gateways, name)
		}
	}
}

// judge decides whether the speeds of a service have an effect.
func (e *Estimator) judge(name string, s *service) {
	speeds := slices.Sorted(maps.Values(s.speeds))
	s.ratio = 1
	if len(speeds) > 0 {
		s.ratio = quantile(speeds, fastQuantile) / quantile(speeds, slowQuantile)
	}
	if (s.ratio >= MinRatio) == s.inEffect {
		s.otherSide = 0
		return
	}
	s.otherSide++
	needed := estimatesToStart
	switch {
	case s.inEffect:
		needed = estimatesToStop
	case s.ratio >= clearRatio && len(speeds) >= manyTargets:
		needed = 1
	}
	if s.otherSide < needed {
		return
	}
	s.inEffect, s.otherSide = !s.inEffect, 0
	e.changes = append(e.changes, Change{Service: name, InEffect: s.inEffect, Ratio: s.ratio, Targets: len(speeds)})
}

// quantile interpolates between sorted values.
func quantile(sorted []float64, q float64) float64 {
	position := q * float64(len(sorted)-1)
	i := int(position)
	if i+1 >= len(sorted) {
		return sorted[len(sorted)-1]
	}
	return sorted[i] + (position-float64(i))*(sorted[i+1]-sorted[i])
}

// Speeds returns the speeds of the targets of a service relative to the median target while they have an effect. Targets that it
// does not contain count as 1.
func (e *Estimator) Speeds(now time.Time, name string) map[string]float64 {
	e.Update(now)
	if s := e.services[name]; s != nil && s.inEffect {
		return s.speeds
	}
	return nil
}

// Of returns the speed of a target as of the latest estimate, 1 if it is unknown or has no effect.
func (e *Estimator) Of(name, id string) float64 {
	if s := e.services[name]; s != nil && s.inEffect && s.speeds[id] > 0 {
		return s.speeds[id]
	}
	return 1
}

// All returns the speeds of all services as of the latest estimate.
func (e *Estimator) All() map[string]float64 {
	all := make(map[string]float64)
	for _, s := range e.services {
		if s.inEffect {
			maps.Copy(all, s.speeds)
		}
	}
	return all
}

// InEffect returns the number of services whose speeds have an effect.
func (e *Estimator) InEffect() int {
	n := 0
	for _, s := range e.services {
		if s.inEffect {
			n++
		}
	}
	return n
}

// TakeChanges returns the changes since the last call.
func (e *Estimator) TakeChanges() []Change {
	changes := e.changes
	e.changes = nil
	return changes
}

// estimate returns the speeds of targets of one service, without those that have too few samples.
func (e *Estimator) estimate(ids []string) map[string]float64 {
	var f fit
	models := make(map[string]int)
	var known []string
	for _, id := range ids {
		t := e.targets[id]
		total := 0
		for _, values := range t.pairs {
			total += countOf(values)
		}
		if total < minTargetSamples {
			continue
		}
		for _, model := range slices.Sorted(maps.Keys(t.pairs)) {
			values := t.pairs[model]
			count := countOf(values)
			if count < minPairSamples {
				continue
			}
			m, ok := models[model]
			if !ok {
				m = len(models)
				models[model] = m
			}
			f.edges = append(f.edges, edge{target: len(known), model: m, logGap: weightedMedian(values, count), weight: weightOf(count)})
		}
		known = append(known, id)
	}
	f.targets, f.models = len(known), len(models)
	speeds := make(map[string]float64, len(known))
	for i, slowness := range f.solve() {
		speeds[known[i]] = min(max(math.Exp(-slowness), minSpeed), maxSpeed)
	}
	return speeds
}

func weightOf(count int) float64 {
	n := float64(count)
	return min(n*n/(n+reliableSamples), maxPairWeight)
}

func countOf(values []value) int {
	n := 0
	for i := range values {
		n += values[i].count
	}
	return n
}

// weightedMedian returns the median of the gaps that gateways reported, weighted by their samples. It reorders the values. Gateways
// that saw a target only during a slow phase, or that read their events late, are the minority.
func weightedMedian(values []value, count int) float64 {
	slices.SortFunc(values, func(a, b value) int { return cmp.Compare(a.logGap, b.logGap) })
	for i := range values {
		if count -= 2 * values[i].count; count <= 0 {
			return values[i].logGap
		}
	}
	return values[len(values)-1].logGap
}
