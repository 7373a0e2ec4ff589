// Package routing selects the target of a request: it samples a bounded number of candidates, filters and scores them,
// and picks one. The cost of a decision does not depend on the number of targets.
package routing

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/protocol/targetapi"
)

const (
	maxScorers = 8
	// maxSampleSize is the maximum number of candidates of one decision: the random sample, holders of the prefix and
	// the adapter, and remote candidates.
	maxSampleSize = 24

	defaultSampleSize        = 6
	defaultAdapterSampleSize = 3
	defaultRemoteSampleSize  = 2
	defaultTargets           = 4096
	defaultPrefixes          = 65536
	defaultModels            = 2048
	defaultPeerCorrection    = 0.5
	defaultBatchSlowdown     = 0.5
	defaultTolerance         = 0.05
	// defaultLongShare equals the share of slots that admission grants to long requests.
	defaultLongShare = 0.25
	// defaultPromptMsPerToken is a twentieth of the typical time per output token.
	defaultPromptMsPerToken = 2
	// defaultAdapterLoadMs is the upper end of an undisturbed adapter load.
	defaultAdapterLoadMs = 10
	defaultRemoteMs      = 50
	// defaultSpillLoad is the load of the local replicas, as a fraction of their slots, from which other data centres
	// are considered. Below it, the slower decoding steps of a fuller batch cost less than the network distance.
	defaultSpillLoad = 0.5
)

// ErrNoTarget is returned when no candidate is eligible for the request.
var ErrNoTarget = errors.New("no candidate target is eligible for the request")

// Candidate is the announced state of a target. A candidate of another data centre may summarize all its replicas of
// the model; Slots and Reported are then sums.
type Candidate struct {
	// Target joins the name and the incarnation of the target, because a restarted target is a new one.
	Target       string
	DataCentre   string
	Leaving      bool
	LeaseUntil   time.Time
	ModelReady   bool
	AdapterReady bool
	Slots        int
	// Reported is the number of running and queued requests in the last load report, measured at MeasuredAt.
	Reported   int
	MeasuredAt time.Time
}

// Set is a list of candidates with constant-time access to each element, so that sampling does not copy the list.
type Set interface {
	Len() int
	At(i int) Candidate
	// Find returns the candidate with the given Target.
	Find(target string) (Candidate, bool)
}

// Candidates are the targets of a model by data centre. WithAdapter are the local ones that hold the adapter; it may be
// nil.
type Candidates struct {
	Local       Set
	WithAdapter Set
	Remote      []Set
}

// Request describes a request to route.
type Request struct {
	Model   string
	Adapter string
	// Units is the estimated work, and Long the class of the request. Both are set by admission.
	Units        float64
	Long         bool
	PromptTokens int
	// PrefixHashes are the hashes of the prompt prefixes that end at a block boundary, from the shortest to the
	// longest. BlockTokens is the number of tokens per block.
	PrefixHashes []uint64
	BlockTokens  int
	// Exclude lists targets that failed or rejected this request.
	Exclude []string
	// MayProbe allows sending the request to a straggler to test whether it has recovered. It is set for idempotent
	// short requests.
	MayProbe bool

	averages modelAverages
}

// Finish describes the end of an attempt.
type Finish struct {
	Target   string
	Model    string
	Long     bool
	Answered bool
	// Units is the work that was done, and Service the duration of the attempt.
	Units   float64
	Service time.Duration
}

// Scores describes how a decision was made.
type Scores struct {
	Considered int
	Kept       int
	// Remote means that the request is sent to another data centre, Probe that it probes a straggler.
	Remote bool
	Probe  bool
	// TotalMs is the score of the chosen candidate, and TermsMs its terms in the order of Router.Scorers.
	TotalMs float64
	TermsMs [maxScorers]float64
}

// Options are the parameters of a Router. Zero values select the defaults.
type Options struct {
	SampleSize     int
	Instances      int
	PeerCorrection float64 // assumed load change by each other instance, relative to this one's; negative disables it
	BatchSlowdown  float64
	Tolerance      float64
	LongShare      float64
	PromptMs       float64
	AdapterLoadMs  float64
	RemoteMs       float64
	SpillLoad      float64 // fraction of the slots in use
	Targets        int
	Prefixes       int
	Health         Health
}

func setDefault[T int | float64](v *T, value T) {
	if *v == 0 {
		*v = value
	}
}

func (o *Options) setDefaults() {
	setDefault(&o.SampleSize, defaultSampleSize)
	setDefault(&o.Instances, 1)
	setDefault(&o.PeerCorrection, defaultPeerCorrection)
	setDefault(&o.BatchSlowdown, defaultBatchSlowdown)
	setDefault(&o.Tolerance, defaultTolerance)
	setDefault(&o.LongShare, defaultLongShare)
	setDefault(&o.PromptMs, defaultPromptMsPerToken)
	setDefault(&o.AdapterLoadMs, defaultAdapterLoadMs)
	setDefault(&o.RemoteMs, defaultRemoteMs)
	setDefault(&o.SpillLoad, defaultSpillLoad)
	setDefault(&o.Targets, defaultTargets)
	setDefault(&o.Prefixes, defaultPrefixes)
	o.PeerCorrection = max(o.PeerCorrection, 0)
	o.SampleSize = min(o.SampleSize, maxSampleSize/2)
}

// Router selects the targets of requests. It is safe for concurrent use.
type Router struct {
	opts     Options
	filters  []Filter
	scorers  []Scorer
	picker   Picker
	observer *observer
	prefixes *prefixIndex
	scratch  sync.Pool
}

type scratch struct {
	views   [maxSampleSize]View
	n       int
	matches [maxHoldersPerPrefix]match
	request Request
}

// New returns a router with the filters, scorers and picker of this package.
func New(opts Options) *Router {
	opts.setDefaults()
	r := &Router{
		opts:     opts,
		filters:  []Filter{LeaseAndResidency{}, LongRequestLimit{Share: opts.LongShare}},
		picker:   NearBest{Tolerance: opts.Tolerance},
		observer: newObserver(opts.Targets, defaultModels),
		prefixes: newPrefixIndex(opts.Prefixes, opts.Targets),
		scorers: []Scorer{
			EstimatedLoad{BatchSlowdown: opts.BatchSlowdown}, OwnLatency{}, PrefixCache{MsPerToken: opts.PromptMs},
			AdapterResidency{LoadMs: opts.AdapterLoadMs}, DataCentreDistance{RemoteMs: opts.RemoteMs},
		},
	}
	if opts.Health != nil {
		r.filters = append(r.filters, StragglerFilter{Health: opts.Health})
	}
	r.scratch.New = func() any { return new(scratch) }
	return r
}

// Scorers lists the scorers in the order of Scores.TermsMs.
func (r *Router) Scorers() []Scorer { return r.scorers }

// Pick selects a target for a request. It does not count the request as in flight; use Started for that.
func (r *Router) Pick(now time.Time, rng *rand.Rand, request Request, c Candidates) (Candidate, Scores, error) {
	s := r.scratch.Get().(*scratch)
	defer r.scratch.Put(s)
	s.n, s.request = 0, request
	s.request.averages = r.observer.modelAverages(request.Model)

	r.sampleLocal(now, rng, s, c)
	if probe := r.probe(now, s); probe != nil {
		return probe.Candidate, Scores{Considered: s.n, Kept: 1, Probe: true}, nil
	}
	considered := s.n
	kept := r.filter(now, s, s.views[:s.n])
	s.n = kept
	if r.shouldSpill(s.views[:kept]) {
		for _, set := range c.Remote {
			r.sampleSet(now, rng, s, set, defaultRemoteSampleSize, true)
		}
		considered += s.n - kept
		s.n = kept + r.filter(now, s, s.views[kept:s.n])
	}
	if s.n == 0 {
		return Candidate{}, Scores{Considered: considered}, ErrNoTarget
	}
	views := s.views[:s.n]
	for i := range views {
		r.score(&s.request, &views[i])
	}
	v := &views[r.picker.Pick(rng, views)]
	return v.Candidate, Scores{Considered: considered, Kept: s.n, Remote: v.Remote, TotalMs: v.score, TermsMs: v.terms}, nil
}

// sampleLocal adds the holders of the longest cached prefix, some targets with the adapter and a random sample.
func (r *Router) sampleLocal(now time.Time, rng *rand.Rand, s *scratch, c Candidates) {
	if len(s.request.PrefixHashes) > 0 && c.Local != nil {
		for _, m := range r.prefixes.find(now, s.request.Model, s.request.PrefixHashes, s.matches[:0]) {
			if candidate, ok := c.Local.Find(m.target); ok {
				if v := r.addCandidate(now, s, candidate, false); v != nil {
					v.CachedTokens = m.confidence * float64(min(m.blocks*s.request.BlockTokens, s.request.PromptTokens))
				}
			}
		}
	}
	if s.request.Adapter != "" && c.WithAdapter != nil {
		r.sampleSet(now, rng, s, c.WithAdapter, defaultAdapterSampleSize, false)
	}
	r.sampleSet(now, rng, s, c.Local, r.opts.SampleSize, false)
}

// sampleSet adds up to n candidates of a set: all of a set with at most n elements, or random ones of a larger set.
func (r *Router) sampleSet(now time.Time, rng *rand.Rand, s *scratch, set Set, n int, remote bool) {
	if set == nil {
		return
	}
	size := set.Len()
	for i := range min(n, size) {
		index := i
		if size > n {
			index = rng.IntN(size)
		}
		r.addCandidate(now, s, set.At(index), remote)
	}
}

// addCandidate appends a candidate and returns its view. It returns nil if the candidate is in the sample already or
// the sample is full.
func (r *Router) addCandidate(now time.Time, s *scratch, c Candidate, remote bool) *View {
	if s.n == maxSampleSize {
		return nil
	}
	for i := range s.n {
		if s.views[i].Target == c.Target {
			return nil
		}
	}
	v := &s.views[s.n]
	s.n++
	*v = View{Candidate: c, Remote: remote}
	r.observer.fill(now, v, s.request.averages, r.opts.Instances, r.opts.PeerCorrection)
	return v
}

// probe returns a straggler of the sample whose probe is due, or nil.
func (r *Router) probe(now time.Time, s *scratch) *View {
	if r.opts.Health == nil || !s.request.MayProbe {
		return nil
	}
	for i := range s.n {
		v := &s.views[i]
		if (LeaseAndResidency{}).Keep(now, &s.request, v) && r.opts.Health.ClaimProbe(now, v.Target) {
			return v
		}
	}
	return nil
}

// filter moves the candidates that pass all filters to the front and returns their number. If none passes, it ignores
// the soft filters.
func (r *Router) filter(now time.Time, s *scratch, views []View) int {
	for _, soft := range [...]bool{true, false} {
		kept := 0
		for i := range views {
			if r.passes(now, &s.request, &views[i], soft) {
				views[kept], views[i] = views[i], views[kept]
				kept++
			}
		}
		if kept > 0 {
			return kept
		}
	}
	return 0
}

func (r *Router) passes(now time.Time, request *Request, v *View, soft bool) bool {
	for _, f := range r.filters {
		if (soft || !f.Soft()) && !f.Keep(now, request, v) {
			return false
		}
	}
	return true
}

// shouldSpill reports whether the load of every local candidate is high enough to consider other data centres. The
// scores then decide.
func (r *Router) shouldSpill(views []View) bool {
	for i := range views {
		if views[i].EstimatedLoad < r.opts.SpillLoad*views[i].slots() {
			return false
		}
	}
	return true
}

func (r *Router) score(request *Request, v *View) {
	v.score = 0
	for i, scorer := range r.scorers {
		v.terms[i] = scorer.ScoreMs(request, v)
		v.score += v.terms[i]
	}
}

// Started counts an attempt that is about to be sent as in flight, and records its prefix for the target.
func (r *Router) Started(now time.Time, target string, request *Request) {
	r.observer.started(now, target, request.Long)
	if n := len(request.PrefixHashes); n > 0 {
		r.prefixes.predict(now, request.Model, request.PrefixHashes[n-1], target)
	}
}

// Finished records the end of an attempt, with any result.
func (r *Router) Finished(now time.Time, f Finish) { r.observer.finished(now, f) }

// InFlight returns the number of the instance's own requests on a target.
func (r *Router) InFlight(target string) (n int) {
	r.observer.targets.View(target, func(t *observations) { n = t.inFlight })
	return n
}

// CacheEvents applies a batch of cache events of a target. target is the identity as in Candidate.Target.
func (r *Router) CacheEvents(now time.Time, target string, batch *targetapi.CacheEvents) {
	r.prefixes.apply(now, target, batch)
}

// Forget drops the state of a target that left or was replaced.
func (r *Router) Forget(target string) {
	r.observer.targets.Delete(target)
	// A new epoch invalidates the prefixes of the target without a search for them.
	r.prefixes.targets.Update(target, func(s *eventState) { s.epoch++ })
}
