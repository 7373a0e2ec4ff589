package routing

import (
	"math/rand/v2"
	"time"
)

// View is a candidate together with the instance's own observations of it.
type View struct {
	Candidate
	// EstimatedLoad is the estimated number of requests on the target: the last load report, corrected by the requests
	// that the instance started and finished since.
	EstimatedLoad   float64
	OwnInFlight     int
	OwnLongInFlight int
	// MsPerUnit is the latency per unit of work that the instance measured.
	MsPerUnit float64
	// CachedTokens is the expected number of prompt tokens in the target's prefix cache.
	CachedTokens float64
	// Remote candidates belong to another data centre.
	Remote bool

	score float64
	terms [maxScorers]float64
}

func (v *View) slots() float64 { return float64(max(v.Slots, 1)) }

// Filter excludes candidates. Soft filters are ignored when no candidate passes all filters.
type Filter interface {
	Name() string
	Soft() bool
	Keep(now time.Time, r *Request, v *View) bool
}

// Scorer estimates how many milliseconds a signal adds to the response time. The score of a candidate is the sum over
// all scorers, so each signal is weighted by its cost to the caller.
type Scorer interface {
	Name() string
	ScoreMs(r *Request, v *View) float64
}

// Picker chooses one of the scored candidates and returns its index.
type Picker interface {
	Name() string
	Pick(rng *rand.Rand, views []View) int
}

// LeaseAndResidency keeps targets that are eligible for the request: their lease is valid, they are not leaving, the
// model is ready and the request does not exclude them.
type LeaseAndResidency struct{}

// Name implements Filter.
func (LeaseAndResidency) Name() string { return "lease_and_residency" }

// Soft implements Filter.
func (LeaseAndResidency) Soft() bool { return false }

// Keep implements Filter.
func (LeaseAndResidency) Keep(now time.Time, r *Request, v *View) bool {
	if v.Leaving || !v.ModelReady || now.After(v.LeaseUntil) {
		return false
	}
	for _, name := range r.Exclude {
		if name == v.Target {
			return false
		}
	}
	return true
}

// LongRequestLimit limits the long requests of this instance per replica, so that every replica has slots for short
// requests.
type LongRequestLimit struct{ Share float64 }

// Name implements Filter.
func (LongRequestLimit) Name() string { return "own_long_in_flight" }

// Soft implements Filter.
func (LongRequestLimit) Soft() bool { return true }

// Keep implements Filter.
func (f LongRequestLimit) Keep(_ time.Time, r *Request, v *View) bool {
	return !r.Long || float64(v.OwnLongInFlight) < max(1, f.Share*v.slots())
}

// Health is the interface of the straggler detector.
type Health interface {
	Straggling(now time.Time, target string) bool
	ClaimProbe(now time.Time, target string) bool
}

// StragglerFilter excludes targets that this instance has detected as stragglers.
type StragglerFilter struct{ Health Health }

// Name implements Filter.
func (StragglerFilter) Name() string { return "own_stragglers" }

// Soft implements Filter.
func (StragglerFilter) Soft() bool { return true }

// Keep implements Filter.
func (f StragglerFilter) Keep(now time.Time, _ *Request, v *View) bool {
	return !f.Health.Straggling(now, v.Target)
}

// EstimatedLoad scores the queueing delay at the target and the slower decoding steps of a fuller batch.
type EstimatedLoad struct {
	// BatchSlowdown is the relative slowdown of a full batch against an empty one.
	BatchSlowdown float64
}

// Name implements Scorer.
func (EstimatedLoad) Name() string { return "estimated_load" }

// ScoreMs implements Scorer.
func (s EstimatedLoad) ScoreMs(r *Request, v *View) float64 {
	ms := min(v.EstimatedLoad/v.slots(), 1) * s.BatchSlowdown * r.Units * r.averages.msPerUnit
	if queued := v.EstimatedLoad - v.slots() + 1; queued > 0 {
		ms += queued / v.slots() * r.averages.units * v.MsPerUnit
	}
	return ms
}

// OwnLatency scores the duration of the response at the latency per unit of work that the instance measured.
type OwnLatency struct{}

// Name implements Scorer.
func (OwnLatency) Name() string { return "own_latency" }

// ScoreMs implements Scorer.
func (OwnLatency) ScoreMs(r *Request, v *View) float64 { return r.Units * v.MsPerUnit }

// PrefixCache scores the prefill time of the prompt tokens that are not in the target's prefix cache.
type PrefixCache struct{ MsPerToken float64 }

// Name implements Scorer.
func (PrefixCache) Name() string { return "prefix_cache" }

// ScoreMs implements Scorer.
func (s PrefixCache) ScoreMs(r *Request, v *View) float64 {
	return max(0, float64(r.PromptTokens)-v.CachedTokens) * s.MsPerToken
}

// AdapterResidency scores the time to load the adapter if the target does not hold it.
type AdapterResidency struct{ LoadMs float64 }

// Name implements Scorer.
func (AdapterResidency) Name() string { return "adapter_residency" }

// ScoreMs implements Scorer.
func (s AdapterResidency) ScoreMs(r *Request, v *View) float64 {
	if r.Adapter == "" || v.AdapterReady {
		return 0
	}
	return s.LoadMs
}

// DataCentreDistance scores a target in another data centre. RemoteMs is higher than the network latency, so that
// requests stay in the local data centre again as soon as it has free slots.
type DataCentreDistance struct{ RemoteMs float64 }

// Name implements Scorer.
func (DataCentreDistance) Name() string { return "data_centre_distance" }

// ScoreMs implements Scorer.
func (s DataCentreDistance) ScoreMs(_ *Request, v *View) float64 {
	if v.Remote {
		return s.RemoteMs
	}
	return 0
}

// NearBest picks at random among the candidates whose score is close to the best one, so that instances with the same
// load reports do not all pick the same target.
type NearBest struct {
	// Tolerance is the accepted distance from the best score, relative to it.
	Tolerance float64
}

// Name implements Picker.
func (NearBest) Name() string { return "near_best" }

// Pick implements Picker.
func (p NearBest) Pick(rng *rand.Rand, views []View) int {
	best := views[0].score
	for i := range views {
		best = min(best, views[i].score)
	}
	limit := best + p.Tolerance*max(best, 1)
	chosen, accepted := 0, 0
	for i := range views {
		if views[i].score <= limit {
			accepted++
			if rng.IntN(accepted) == 0 {
				chosen = i
			}
		}
	}
	return chosen
}
