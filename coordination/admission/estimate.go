package admission

import (
	"math"
	"math/bits"
	"time"

	"github.com/tarragonhoist/tarragonhoist/state/shard"
)

// Work is measured in units. One unit is the time that one output token of one request takes in a running batch.
const (
	// promptTokensPerUnit reflects that engines process prompt tokens in parallel, about 20 times faster than output tokens.
	promptTokensPerUnit = 20
	// adapterLoadUnits is below 1, because an adapter load takes 5–10 ms and an output token up to 44 ms.
	adapterLoadUnits = 0.5

	defaultOutputTokens = 200
	defaultUnitsPerSec  = 25
	defaultLongFactor   = 5
	// minLongUnits keeps ordinary requests from counting as long on a model whose answers are mostly very short.
	minLongUnits = 300

	// lengthGain makes the mean follow a change of a caller's answer lengths within about ten answers.
	lengthGain = 0.1
	speedGain  = 0.05
	// medianStep is the smallest relative step by which a request moves the estimate of the median.
	medianStep = 0.03
	// minLengthSamples is the number of answers from which on a length counts as reliable and its deviation is used.
	minLengthSamples = 8
)

// Estimate is the expected work of a request.
type Estimate struct {
	Units float64
	// OptimisticUnits is a lower bound: the work if the answer is as short as the shortest ones of its kind.
	OptimisticUnits float64
	// LikelyUnits equals Units once an answer of this kind has been observed, and OptimisticUnits before.
	LikelyUnits float64
	// Long is set if Units is above Options.LongFactor times the median work of the model.
	Long bool
}

// outputLength is the learnt number of output tokens of one kind of request.
type outputLength struct {
	samples   int
	mean      float64
	deviation float64 // mean absolute deviation
}

func (l *outputLength) add(tokens float64) {
	l.samples++
	gain := max(lengthGain, 1/float64(l.samples))
	l.deviation += gain * (math.Abs(tokens-l.mean) - l.deviation)
	l.mean += gain * (tokens - l.mean)
	if l.samples == 1 {
		l.deviation = 0
	}
}

// modelStats is what is learnt per model.
type modelStats struct {
	unitsPerSec float64
	medianUnits float64
	samples     int
}

// estimator keeps output lengths per model, caller and shape. For callers with few samples it falls back to the lengths
// per model and shape.
type estimator struct {
	lengths    *shard.Map[uint64, outputLength]
	models     *shard.Map[string, modelStats]
	longFactor float64
}

func newEstimator(opts *Options) *estimator {
	return &estimator{
		lengths: shard.New[uint64, outputLength](shard.DefaultShards, opts.Callers*lengthsPerCaller, shard.Uint64Hash, nil),
		models: shard.New(shard.DefaultShards, opts.Models, shard.StringHash, func(string) *modelStats {
			return &modelStats{unitsPerSec: defaultUnitsPerSec}
		}),
		longFactor: opts.LongFactor,
	}
}

// lengthsPerCaller is the number of request shapes per caller that the table of lengths has room for.
const lengthsPerCaller = 4

// shape classifies requests by the magnitude of prompt length and token limit, so that, for example, a caller's short
// questions and its long reports get separate estimates.
func shape(r *Request) string {
	const digits = "0123456789abcdefghijklmnopqrstuvwxyz"
	prompt := min(bits.Len(uint(max(r.PromptTokens, 0)))/2, 9)
	limit := min(bits.Len(uint(max(r.TokenLimit, 0))), 20)
	return digits[prompt:prompt+1] + digits[limit:limit+1]
}

func lengthKeys(r *Request) (callerKey, anyCallerKey uint64) {
	s := shape(r)
	return shard.HashStrings(r.Model, s, r.Caller), shard.HashStrings(r.Model, s)
}

func (e *estimator) estimate(r *Request) (est Estimate, unitsPerSec float64) {
	callerKey, anyCallerKey := lengthKeys(r)
	var l outputLength
	if !e.lengths.View(callerKey, func(v *outputLength) { l = *v }) || l.samples < minLengthSamples {
		var g outputLength
		if e.lengths.View(anyCallerKey, func(v *outputLength) { g = *v }) && g.samples >= minLengthSamples {
			l = g
		}
	}
	if l.samples == 0 {
		l.mean = defaultOutputTokens
	}
	if r.TokenLimit > 0 {
		l.mean = min(l.mean, float64(r.TokenLimit))
	}
	fixedUnits := float64(r.PromptTokens)/promptTokensPerUnit + 1
	if r.Adapter != "" && !r.AdapterResident {
		fixedUnits += adapterLoadUnits
	}
	est.Units = fixedUnits + l.mean
	est.OptimisticUnits = fixedUnits
	est.LikelyUnits = est.Units
	if l.samples == 0 {
		est.LikelyUnits = fixedUnits
	}
	if l.samples >= minLengthSamples {
		est.OptimisticUnits += max(0, l.mean-2*l.deviation)
	}
	stats := modelStats{unitsPerSec: defaultUnitsPerSec}
	e.models.View(r.Model, func(s *modelStats) { stats = *s })
	est.Long = est.Units > max(minLongUnits, e.longFactor*stats.medianUnits)
	return est, stats.unitsPerSec
}

// learn updates the estimates with the actual length and duration of a request and returns its actual work.
func (e *estimator) learn(r *Request, outputTokens int, service time.Duration) (units float64) {
	callerKey, anyCallerKey := lengthKeys(r)
	tokens := float64(outputTokens)
	e.lengths.Update(callerKey, func(l *outputLength) { l.add(tokens) })
	e.lengths.Update(anyCallerKey, func(l *outputLength) { l.add(tokens) })
	units = float64(r.PromptTokens)/promptTokensPerUnit + 1 + tokens
	e.models.Update(r.Model, func(s *modelStats) { s.add(units, service) })
	return units
}

func (s *modelStats) add(units float64, service time.Duration) {
	s.samples++
	if s.medianUnits == 0 {
		s.medianUnits = units
	}
	step := max(medianStep, 1/float64(s.samples+1))
	if units > s.medianUnits {
		s.medianUnits *= 1 + step
	} else {
		s.medianUnits /= 1 + step
	}
	if service > 0 {
		gain := max(speedGain, 1/float64(s.samples))
		s.unitsPerSec += gain * (units/service.Seconds() - s.unitsPerSec)
	}
}
