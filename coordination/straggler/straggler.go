// Package straggler detects targets that are slow for a time from the instance's own observations, readmits them by
// means of probes, and limits hedged requests.
package straggler

import (
	"math"
	"sync"
	"time"

	"github.com/tarragonhoist/tarragonhoist/state/shard"
)

const (
	defaultCapacity = 4096
	// defaultSlowRatio is how much slower than its group a straggler must be. Normal variation of batch sizes stays
	// below 2; the stragglers to be detected are several times slower.
	defaultSlowRatio = 2.5
	// defaultRecoveredRatio is lower than defaultSlowRatio (hysteresis), so that a target doesn't alternate between the
	// two states.
	defaultRecoveredRatio = 1.6
	// defaultEvidence is the evidence needed to exclude a target; a single slow response is not enough.
	defaultEvidence = 2
	// defaultProbeInterval is the first interval between probes. If it starts at 200 ms, the probes of six instances
	// add more to the p99 latency than excluding the straggler saves (docs/measurements.md).
	defaultProbeInterval = 3 * time.Second
	defaultProbeMax      = 6 * time.Second
	defaultProbesOK      = 2
	// defaultMaxFraction is the largest share of a group that may be excluded. If more targets are slow, the cause is
	// not the targets.
	defaultMaxFraction = 0.34
	// groupSmoothing is the smoothing factor of the mean of a group, which must change slowly.
	groupSmoothing = 0.02
	// evidenceLifetime is how long the evidence against a target counts without new observations.
	evidenceLifetime = 30 * time.Second
	// quantileStep is the step of the estimate of the tail ratio, in the log domain. With 0.02, the estimate follows a
	// doubling of the tail after about 40 observations above it.
	quantileStep = 0.02
	tailQuantile = 0.95
	// ratioLimit bounds the ratio of one observation, so that a single extreme value doesn't dominate the averages.
	ratioLimit = 50
)

// Options sets the thresholds. Zero values mean the defaults.
type Options struct {
	Capacity       int
	SlowRatio      float64
	RecoveredRatio float64
	Evidence       float64
	ProbeInterval  time.Duration
	ProbeMax       time.Duration
	ProbesOK       int
	MaxFraction    float64
	HedgeShare     float64 // hedged requests per first attempt
	HedgeBurst     float64 // capacity of the hedge budget in hedged requests
}

func setDefault[T int | float64 | time.Duration](v *T, value T) {
	if *v <= 0 {
		*v = value
	}
}

func (o *Options) setDefaults() {
	setDefault(&o.Capacity, defaultCapacity)
	setDefault(&o.SlowRatio, defaultSlowRatio)
	setDefault(&o.RecoveredRatio, defaultRecoveredRatio)
	setDefault(&o.Evidence, defaultEvidence)
	setDefault(&o.ProbeInterval, defaultProbeInterval)
	setDefault(&o.ProbeMax, defaultProbeMax)
	setDefault(&o.ProbesOK, defaultProbesOK)
	setDefault(&o.MaxFraction, defaultMaxFraction)
	setDefault(&o.HedgeShare, defaultHedgeShare)
	setDefault(&o.HedgeBurst, defaultHedgeBurst)
}

// Observation is the duration of one step of a request: until the first token, until the end of the response, or until
// now for a step that is still running.
type Observation struct {
	// Target identifies the target by name and incarnation, because a restarted target counts as a new one.
	Target string
	// Group is the set of observations that are compared with each other, usually by model or service and kind of step.
	Group string
	// Expected is the usual duration of this step, from the estimated work or the mean of the group.
	Expected time.Duration
	Actual   time.Duration
}

func (o *Observation) ratio() float64 {
	if o.Expected <= 0 {
		return 1
	}
	return min(max(float64(o.Actual)/float64(o.Expected), 1/float64(ratioLimit)), ratioLimit)
}

// Detector keeps one record per target and one per group. It is safe for concurrent use.
type Detector struct {
	opts    Options
	targets *shard.Map[string, target]
	groups  *shard.Map[string, group]
	hedges  hedgeBudget
}

// target is the detection state of one target.
type target struct {
	evidence      float64 // slow observations minus usual ones, at least 0
	lastSeen      time.Time
	excluded      bool
	group         string
	nextProbe     time.Time
	probeInterval time.Duration
	probesOK      int
}

// group holds the usual ratios of one group, and the counts of its targets.
type group struct {
	meanLog  float64 // mean of the logarithm of the ratio
	tailLog  float64 // 95th percentile of the logarithm of the ratio
	samples  int
	members  int
	excluded int
}

// New returns a detector without observations.
func New(opts Options) *Detector {
	opts.setDefaults()
	return &Detector{
		opts:    opts,
		targets: shard.New[string, target](shard.DefaultShards, opts.Capacity, shard.StringHash, nil),
		groups:  shard.New[string, group](shard.DefaultShards, opts.Capacity, shard.StringHash, nil),
		hedges:  hedgeBudget{share: opts.HedgeShare, burst: opts.HedgeBurst},
	}
}

// Observe records a finished step and reports whether the target became a straggler or was readmitted.
func (d *Detector) Observe(now time.Time, o Observation) (changed bool) {
	ratio := o.ratio()
	usual := d.observeGroup(o.Group, ratio)
	d.targets.Update(o.Target, func(t *target) {
		d.joinGroupAndExpire(now, t, o.Group)
		t.lastSeen = now
		relative := ratio / usual
		if t.excluded {
			changed = d.observeProbe(now, t, relative)
			return
		}
		changed = d.addEvidence(now, t, relative)
	})
	return changed
}

// ObserveOverdue records that a running step has taken longer than expected, and reports whether the target became a
// straggler. This detects stragglers before their responses arrive. It must be called once per step, when the elapsed
// time exceeds HedgeDelay.
func (d *Detector) ObserveOverdue(now time.Time, o Observation) (changed bool) {
	usual := d.usualRatio(o.Group)
	d.targets.Update(o.Target, func(t *target) {
		d.joinGroupAndExpire(now, t, o.Group)
		t.lastSeen = now
		if t.excluded {
			d.delayProbe(now, t)
			return
		}
		changed = d.addEvidence(now, t, o.ratio()/usual)
	})
	return changed
}

// ObserveFailure records a failed attempt as an observation of the largest ratio. A refusal because of overload is not
// a failure and must not be reported.
func (d *Detector) ObserveFailure(now time.Time, targetName, groupName string) (changed bool) {
	d.targets.Update(targetName, func(t *target) {
		d.joinGroupAndExpire(now, t, groupName)
		t.lastSeen = now
		if t.excluded {
			d.delayProbe(now, t)
			return
		}
		changed = d.addEvidence(now, t, ratioLimit)
	})
	return changed
}

// addEvidence raises the evidence for a slow observation and lowers it for a usual one. It reports whether the target
// became a straggler.
func (d *Detector) addEvidence(now time.Time, t *target, relative float64) bool {
	if relative < d.opts.SlowRatio {
		t.evidence = max(0, t.evidence-1)
		return false
	}
	t.evidence++
	if t.evidence < d.opts.Evidence || !d.reserveExclusion(t.group) {
		return false
	}
	t.excluded, t.evidence, t.probesOK = true, 0, 0
	t.probeInterval = d.opts.ProbeInterval
	t.nextProbe = now.Add(t.probeInterval)
	return true
}

// observeProbe readmits a straggler after enough usual responses in a row. Responses to requests that were sent before
// the target was excluded count as well. A slow response only delays the next probe.
func (d *Detector) observeProbe(now time.Time, t *target, relative float64) bool {
	if relative >= d.opts.RecoveredRatio {
		d.delayProbe(now, t)
		return false
	}
	t.probesOK++
	t.probeInterval = d.opts.ProbeInterval
	t.nextProbe = now
	if t.probesOK < d.opts.ProbesOK {
		return false
	}
	d.readmit(t)
	return true
}

// delayProbe restarts the count of usual probes and doubles the probe interval, up to ProbeMax.
func (d *Detector) delayProbe(now time.Time, t *target) {
	t.probesOK = 0
	t.probeInterval = min(t.probeInterval*2, d.opts.ProbeMax)
	t.nextProbe = now.Add(t.probeInterval)
}

func (d *Detector) readmit(t *target) {
	t.excluded, t.evidence = false, 0
	d.groups.Update(t.group, func(g *group) { g.excluded = max(0, g.excluded-1) })
}

// joinGroupAndExpire adds a new target to its group, and drops evidence that is too old.
func (d *Detector) joinGroupAndExpire(now time.Time, t *target, groupName string) {
	if t.group == "" {
		t.group = groupName
		d.groups.Update(groupName, func(g *group) { g.members++ })
	}
	if !t.excluded && !t.lastSeen.IsZero() && now.Sub(t.lastSeen) > evidenceLifetime {
		t.evidence = 0
	}
}

// reserveExclusion counts one more straggler of a group unless this would exceed MaxFraction.
func (d *Detector) reserveExclusion(name string) (ok bool) {
	d.groups.Update(name, func(g *group) {
		if float64(g.excluded+1) <= max(1, d.opts.MaxFraction*float64(g.members)) && g.members > 1 {
			g.excluded++
			ok = true
		}
	})
	return ok
}

// minGroupSamples is the number of observations that a group needs before its mean and tail are used.
const minGroupSamples = 10

// observeGroup adds a ratio to a group and returns the usual ratio before it.
func (d *Detector) observeGroup(name string, ratio float64) (usual float64) {
	d.groups.Update(name, func(g *group) {
		usual = g.usual()
		logRatio := math.Log(ratio)
		g.samples++
		g.meanLog += max(groupSmoothing, 1/float64(g.samples)) * (logRatio - g.meanLog)
		if logRatio > g.tailLog {
			g.tailLog += quantileStep * tailQuantile
		} else {
			g.tailLog = max(0, g.tailLog-quantileStep*(1-tailQuantile))
		}
	})
	return usual
}

func (g *group) usual() float64 {
	if g.samples < minGroupSamples {
		return 1
	}
	return math.Exp(g.meanLog)
}

func (d *Detector) usualRatio(name string) (usual float64) {
	usual = 1
	d.groups.View(name, func(g *group) { usual = g.usual() })
	return usual
}

// Straggling reports whether the target is excluded from new work.
func (d *Detector) Straggling(_ time.Time, targetName string) (slow bool) {
	d.targets.View(targetName, func(t *target) { slow = t.excluded })
	return slow
}

// ClaimProbe reports whether a straggler may get one request now as a probe. If so, the next probe is due only after an
// interval that doubles while probes stay slow.
func (d *Detector) ClaimProbe(now time.Time, targetName string) (ok bool) {
	d.targets.View(targetName, func(t *target) {
		if t.excluded && !now.Before(t.nextProbe) {
			ok = true
			t.nextProbe = now.Add(t.probeInterval)
		}
	})
	return ok
}

// Forget drops a target that has left or was replaced by a new incarnation.
func (d *Detector) Forget(targetName string) {
	groupName, excluded := "", false
	if !d.targets.View(targetName, func(t *target) { groupName, excluded = t.group, t.excluded }) {
		return
	}
	d.targets.Delete(targetName)
	if groupName == "" {
		return
	}
	d.groups.Update(groupName, func(g *group) {
		g.members = max(0, g.members-1)
		if excluded {
			g.excluded = max(0, g.excluded-1)
		}
	})
}

// Stragglers returns the number of stragglers in a group.
func (d *Detector) Stragglers(groupName string) (n int) {
	d.groups.View(groupName, func(g *group) { n = g.excluded })
	return n
}

const (
	// defaultHedgeShare limits hedged requests to 5 % of the first attempts (section 5.7).
	defaultHedgeShare = 0.05
	// defaultHedgeBurst lets an instance hedge the requests that are in flight on one target when it becomes slow.
	defaultHedgeBurst = 10
	// hedgeMargin is a factor on the tail ratio of the group, so that a step that is about to end is not hedged.
	hedgeMargin = 1.2
)

// hedgeBudget is a token bucket that is refilled by requests instead of by time.
type hedgeBudget struct {
	mu     sync.Mutex
	share  float64
	burst  float64
	tokens float64
}

func (h *hedgeBudget) add() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tokens = min(h.tokens+h.share, h.burst)
}

func (h *hedgeBudget) take() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.tokens < 1 {
		return false
	}
	h.tokens--
	return true
}

// CountRequest counts a first attempt towards the hedge budget.
func (d *Detector) CountRequest() { d.hedges.add() }

// HedgeDelay is how long to wait for a step before it may be hedged: at least as long as a straggler takes, and longer
// than the 95th percentile of the group. With the percentile alone, one step in twenty would be hedged although no
// target is slow.
func (d *Detector) HedgeDelay(groupName string, expected time.Duration) time.Duration {
	ratio := d.opts.SlowRatio
	d.groups.View(groupName, func(g *group) {
		if g.samples >= minGroupSamples {
			ratio = max(hedgeMargin*math.Exp(g.tailLog), ratio*g.usual())
		}
	})
	return time.Duration(ratio * float64(expected))
}

// HedgeRequest describes a running attempt that may need a hedged request.
type HedgeRequest struct {
	Group      string
	Idempotent bool
	Short      bool
	Expected   time.Duration
	Elapsed    time.Duration
	// Remaining is the time left until the deadline.
	Remaining time.Duration
}

// AllowHedge reports whether a second attempt may start on another target, and if so takes a token from the hedge
// budget. Only idempotent, short work is hedged that is late and can still end before the deadline. The calling code
// must hedge a request at most once.
func (d *Detector) AllowHedge(_ time.Time, h HedgeRequest) bool {
	if !h.Idempotent || !h.Short || h.Remaining < h.Expected || h.Elapsed < d.HedgeDelay(h.Group, h.Expected) {
		return false
	}
	return d.hedges.take()
}
