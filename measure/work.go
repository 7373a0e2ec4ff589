package measure

import (
	"fmt"
	"math"
	"time"

	"github.com/tarragonhoist/tarragonhoist/protocol/releasenote"
	"github.com/tarragonhoist/tarragonhoist/state/shard"
)

// scenario is a combination of workload and fault.
type scenario struct {
	name                               string
	long, swing, burst, straggle, loss bool
}

// Scenarios of the table.
const (
	steady     = "steady"
	withLong   = "long work"
	swing      = "swing"
	burst      = "burst"
	straggling = "stragglers"
	loss       = "loss"
)

func scenarios() []scenario {
	return []scenario{
		{name: steady}, {name: withLong, long: true}, {name: swing, long: true, swing: true}, {name: burst, burst: true},
		{name: straggling, straggle: true}, {name: loss, loss: true},
	}
}

// burstCaller is the caller that exceeds its share in the burst scenario.
const burstCaller = "c00"

// popularity returns the share of the requests for a model, by Zipf's law over an order that shifts with each period of
// the swing.
func (f *fleet) popularity(model, period int) float64 {
	n := len(f.models)
	total := 0.0
	for i := range n {
		total += math.Pow(float64(i+1), -f.s.Work.PopularitySkew)
	}
	rank := (model + period*f.s.Swing.ShiftModels) % n
	return math.Pow(float64(rank+1), -f.s.Work.PopularitySkew) / total
}

// capacityPerSecond returns the rate of requests that keeps every slot in use, at the speed of full batches.
func (f *fleet) capacityPerSecond(promptTokens, outputTokens float64) float64 {
	e := &f.s.Engine
	service := promptTokens/e.PromptTokensPerSecond + outputTokens*e.MsPerToken*(1+e.BatchSlowdown)/1000
	return float64(f.d.Replicas*e.Slots) / service
}

// utilisation returns the offered load of short requests at a time, as a fraction of the capacity.
func (f *fleet) utilisation(at time.Duration) float64 {
	u, sw := f.s.Work.Utilisation, &f.s.Swing
	if !f.scenario.swing {
		return u
	}
	period := seconds(sw.PeriodSeconds)
	intoPeak := at%period - (period - seconds(sw.PeakSeconds))
	if intoPeak < 0 {
		return u
	}
	return u + (sw.PeakUtilisation-u)*min(1, intoPeak.Seconds()/float64(sw.RampSeconds))
}

func (s *Settings) inPeak(at time.Duration) bool {
	period := seconds(s.Swing.PeriodSeconds)
	return at%period >= period-seconds(s.Swing.PeakSeconds)
}

// scheduleArrivals starts the Poisson processes of arrivals.
func (f *fleet) scheduleArrivals() {
	w := &f.s.Work
	short := f.capacityPerSecond(w.PromptTokens, w.OutputTokens)
	peak := max(w.Utilisation, f.s.Swing.PeakUtilisation)
	f.scheduleArrival(short*peak, func() bool { return f.workloadRand.Float64() < f.utilisation(f.clock.now)/peak }, func() *request {
		return f.newRequest(fmt.Sprintf("c%02d", f.workloadRand.IntN(w.Callers)), false)
	})
	if f.scenario.long {
		rate := w.LongUtilisation * f.capacityPerSecond(w.LongPromptTokens, w.LongOutputTokens)
		f.scheduleArrival(rate, func() bool { return true }, func() *request {
			return f.newRequest(fmt.Sprintf("c%02d", f.workloadRand.IntN(w.Callers)), true)
		})
	}
	if f.scenario.burst {
		f.scheduleArrival(f.s.Burst.Factor*short/float64(w.Callers), func() bool { return f.clock.now >= seconds(f.s.Run.WarmupSeconds) },
			func() *request { return f.newRequest(burstCaller, false) })
	}
}

func (f *fleet) scheduleArrival(rate float64, accept func() bool, newRequest func() *request) {
	wait := seconds(f.workloadRand.ExpFloat64() / rate)
	if f.clock.now+wait >= seconds(f.s.Run.Seconds) {
		return
	}
	f.after(wait, func() {
		if accept() {
			f.arrive(newRequest())
		}
		f.scheduleArrival(rate, accept, newRequest)
	})
}

// newRequest draws a request. The usual output length of a caller with a model is a hash of their names, so that it is
// stable and policies can learn it.
func (f *fleet) newRequest(caller string, long bool) *request {
	w := &f.s.Work
	f.requests++
	model := f.drawModel()
	name := f.models[model]
	r := &request{
		id: fmt.Sprintf("q%07d", f.requests), caller: caller, model: name, long: long, arrival: f.clock.now,
		priority: releasenote.Interactive, prefix: shard.HashStrings(caller, name),
	}
	f.prefixModel[r.prefix] = name
	if f.workloadRand.Float64() < w.AdapterShare {
		perModel := max(1, f.d.Adapters/f.d.Models)
		r.adapter = fmt.Sprintf("%s-a%d", name, f.workloadRand.IntN(perModel))
	}
	prompt, output, deadline := w.PromptTokens, w.OutputTokens, w.ShortDeadlineMs
	if long {
		prompt, output, deadline, r.priority = w.LongPromptTokens, w.LongOutputTokens, w.LongDeadlineMs, releasenote.Batch
	}
	lengthFactor := 0.7 + 0.6*float64(shard.HashStrings(caller, name, "length")%1000)/1000
	r.promptTokens, r.outputTokens = f.logNormal(prompt), f.logNormal(output*lengthFactor)
	r.prefixTokens = int(w.PrefixShare * float64(r.promptTokens))
	r.deadline = f.clock.now + milliseconds(deadline)
	return r
}

func (f *fleet) drawModel() int {
	period := 0
	if f.scenario.swing {
		// The order of popularity shifts when a peak begins.
		period = int((f.clock.now + seconds(f.s.Swing.PeakSeconds)) / seconds(f.s.Swing.PeriodSeconds))
	}
	u := f.workloadRand.Float64()
	for i := range f.models {
		if u -= f.popularity(i, period); u < 0 {
			return i
		}
	}
	return len(f.models) - 1
}
