package admission

import (
	"math"
	"math/bits"
	"time"

	"github.com/tarragonhoist/tarragonhoist/state/shard"
)

// Work is measured in units; one unit is the time of one output token of one request in a running batch.
const (
	// promptTokensPerUnit: engines process prompt tokens in parallel, about twenty times faster than output tokens.
	promptTokensPerUnit = 20
	// adapterLoadUnits: an adapter load of 5–10 ms is less than the time of one token (up to 44 ms).
	adapterLoadUnits = 0.5

	defaultOutputTokens = 200
	defaultUnitsPerSec  = 25
	defaultLongFactor   = 5
	// minLongUnits keeps a model with only very short answers from treating ordinary questions as long.
	minLongUnits = 300

	// lengthGain follows a change of a caller's answers within about ten of them.
	lengthGain = 0.1
	speedGain  = 0.05
	// medianStep moves the estimate of the median in the log domain.
	medianStep = 0.03
	// minLengthSamples is how many answers are needed before the spread of a length is believed.
	minLengthSamples = 8
)

// Estimate is the expected work of a request.
type Estimate struct {
	Units float64
	// OptimisticUnits is what the request needs if its answer is as short as those of its kind get.
	OptimisticUnits float64
	// LikelyUnits is Units once an answer of this kind was seen, and OptimisticUnits before.
	LikelyUnits float64
	// Long work runs many times longer than the usual work of its model.
	Long bool
}

// length is the learnt number of output tokens of one kind of request.
type length struct {
	samples int
	mean    float64
	spread  float64 // mean absolute deviation
}

func (l *length) add(tokens float64) {
	l.samples++
	gain := max(lengthGain, 1/float64(l.samples))
	l.spread += gain * (math.Abs(tokens-l.mean) - l.spread)
	l.mean += gain * (tokens - l.mean)
	if l.samples == 1 {
		l.spread = 0
	}
}

// modelPace is what is learnt per model.
type modelPace struct {
	unitsPerSec float64
	medianUnits float64
	samples     int
}

// estimator learns lengths per model, caller and shape, and per model and shape for callers not seen before.
type estimator struct {
	lengths    *shard.Map[uint64, length]
	paces      *shard.Map[string, modelPace]
	longFactor float64
}

func newEstimator(opts *Options) *estimator {
	return &estimator{
		lengths: shard.New[uint64, length](shard.DefaultShards, opts.Callers*lengthsPerCaller, shard.Uint64Hash, nil),
		paces: shard.New(shard.DefaultShards, opts.Models, shard.StringHash, func(string) *modelPace {
			return &modelPace{unitsPerSec: defaultUnitsPerSec}
		}),
		longFactor: opts.LongFactor,
	}
}

// lengthsPerCaller allows a few shapes of request per caller.
const lengthsPerCaller = 4

// shape separates a caller's short questions from its reports by the magnitude of prompt and token limit.
func shape(r *Request) string {
	const digits = "0123456789abcdefghijklmnopqrstuvwxyz"
	prompt := min(bits.Len(uint(max(r.PromptTokens, 0)))/2, 9)
	limit := min(bits.Len(uint(max(r.TokenLimit, 0))), 20)
	return digits[prompt:prompt+1] + digits[limit:limit+1]
}

func lengthKeys(r *Request) (own, general uint64) {
	s := shape(r)
	return shard.HashStrings(r.Model, s, r.Caller), shard.HashStrings(r.Model, s)
}

func (e *estimator) estimate(r *Request) (est Estimate, unitsPerSec float64) {
	own, general := lengthKeys(r)
	var l length
	if !e.lengths.View(own, func(v *length) { l = *v }) || l.samples < minLengthSamples {
		var g length
		if e.lengths.View(general, func(v *length) { g = *v }) && g.samples >= minLengthSamples {
			l = g
		}
	}
	if l.samples == 0 {
		l.mean = defaultOutputTokens
	}
	if r.TokenLimit > 0 {
		l.mean = min(l.mean, float64(r.TokenLimit))
	}
	fixed := float64(r.PromptTokens)/promptTokensPerUnit + 1
	if r.Adapter != "" && !r.AdapterResident {
		fixed += adapterLoadUnits
	}
	est.Units = fixed + l.mean
	est.OptimisticUnits = fixed
	est.LikelyUnits = est.Units
	if l.samples == 0 {
		est.LikelyUnits = fixed
	}
	if l.samples >= minLengthSamples {
		est.OptimisticUnits += max(0, l.mean-2*l.spread)
	}
	pace := modelPace{unitsPerSec: defaultUnitsPerSec}
	e.paces.View(r.Model, func(p *modelPace) { pace = *p })
	est.Long = est.Units > max(minLongUnits, e.longFactor*pace.medianUnits)
	return est, pace.unitsPerSec
}

// learn records what a request really needed and returns its work.
func (e *estimator) learn(r *Request, outputTokens int, service time.Duration) (units float64) {
	own, general := lengthKeys(r)
	tokens := float64(outputTokens)
	e.lengths.Update(own, func(l *length) { l.add(tokens) })
	e.lengths.Update(general, func(l *length) { l.add(tokens) })
	units = float64(r.PromptTokens)/promptTokensPerUnit + 1 + tokens
	e.paces.Update(r.Model, func(p *modelPace) { p.add(units, service) })
	return units
}

func (p *modelPace) add(units float64, service time.Duration) {
	p.samples++
	if p.medianUnits == 0 {
		p.medianUnits = units
	}
	step := max(medianStep, 1/float64(p.samples+1))
	if units > p.medianUnits {
		p.medianUnits *= 1 + step
	} else {
		p.medianUnits /= 1 + step
	}
	if service > 0 {
		gain := max(speedGain, 1/float64(p.samples))
		p.unitsPerSec += gain * (units/service.Seconds() - p.unitsPerSec)
	}
}
