package measure

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// outcome is the final result of a request.
type outcome int

const (
	answered outcome = iota
	refused
	timedOut
	lost
)

// count holds the numbers of requests offered, answered within their deadline, and refused.
type count struct{ offered, attained, refused int }

func (c *count) add(o outcome) {
	c.offered++
	switch o {
	case answered:
		c.attained++
	case refused:
		c.refused++
	}
}

func (c *count) attainment() float64 { return float64(c.attained) / float64(max(c.offered, 1)) }

// bucketSeconds is the resolution of goodput over time.
const bucketSeconds = 5

// Result holds the measurements of one run. Requests that arrive during the warm-up are not counted.
type Result struct {
	s       *Settings
	d       *Deployment
	all     count
	peak    count
	long    count
	callers map[string]*count
	buckets []count
	// shortMs holds the latencies of short requests. Timed-out requests count with their deadline, lost ones
	// with the time until the loss; refused ones are excluded.
	shortMs *hdrhistogram.Histogram
	moves   int
	hedges  int
}

const (
	maxLatencyMs   = 600_000
	latencyFigures = 3
)

func newResult(s *Settings, d *Deployment) *Result {
	return &Result{
		s: s, d: d, callers: make(map[string]*count), buckets: make([]count, s.Run.Seconds/bucketSeconds+1),
		shortMs: hdrhistogram.New(1, maxLatencyMs, latencyFigures),
	}
}

func (r *Result) record(now time.Duration, req *request, o outcome) {
	if req.arrival < seconds(r.s.Run.WarmupSeconds) {
		return
	}
	r.all.add(o)
	if r.s.inPeak(req.arrival) {
		r.peak.add(o)
	}
	if req.long {
		r.long.add(o)
		return
	}
	if r.callers[req.caller] == nil {
		r.callers[req.caller] = &count{}
	}
	r.callers[req.caller].add(o)
	r.buckets[int(req.arrival/time.Second)/bucketSeconds].add(o)
	if o != refused {
		// Values outside the range of the histogram cannot occur, since deadlines end all requests.
		_ = r.shortMs.RecordValue(max(1, (now - req.arrival).Milliseconds()))
	}
}

func (r *Result) quantile(q float64) float64 { return float64(r.shortMs.ValueAtQuantile(q)) }

// perAccelerator returns the goodput at the peaks: requests answered in time per accelerator and minute.
func (r *Result) perAccelerator() float64 {
	peakSeconds := 0
	for second := r.s.Run.WarmupSeconds; second < r.s.Run.Seconds; second++ {
		if r.s.inPeak(seconds(second)) {
			peakSeconds++
		}
	}
	return float64(r.peak.attained) / float64(r.d.Replicas) / (float64(peakSeconds) / 60)
}

// otherCallers returns the sum of the counts of all callers except burstCaller.
func (r *Result) otherCallers() (sum count) {
	for caller, c := range r.callers {
		if caller != burstCaller {
			sum.offered += c.offered
			sum.attained += c.attained
			sum.refused += c.refused
		}
	}
	return sum
}

// goodputBetween returns the goodput in requests per second, by time of arrival in seconds.
func (r *Result) goodputBetween(from, to int) float64 {
	sum := 0
	for _, b := range r.buckets[from/bucketSeconds : to/bucketSeconds] {
		sum += b.attained
	}
	return float64(sum) / float64(to-from)
}

// recoveredShare is the fraction of the attainment before a loss from which on service counts as recovered.
const recoveredShare = 0.95

// recoverySeconds returns the recovery time: from the loss of a data centre to the end of the last bucket in which
// attainment was below recoveredShare of the attainment before the loss.
func (r *Result) recoverySeconds() int {
	before := count{}
	for _, b := range r.buckets[r.s.Run.WarmupSeconds/bucketSeconds : r.s.Loss.AtSeconds/bucketSeconds] {
		before.offered += b.offered
		before.attained += b.attained
	}
	back := r.s.Loss.AtSeconds
	for i := r.s.Loss.AtSeconds / bucketSeconds; i < len(r.buckets); i++ {
		if b := &r.buckets[i]; b.offered > 0 && b.attainment() < recoveredShare*before.attainment() {
			back = (i + 1) * bucketSeconds
		}
	}
	return back - r.s.Loss.AtSeconds
}
