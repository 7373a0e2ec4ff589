package routing

import (
	"time"

	"github.com/tarragonhoist/tarragonhoist/state/shard"
)

const (
	// changeBuckets of changeBucketWidth cover 6.4 s, which exceeds the delay of load reports.
	changeBuckets       = 64
	changeBucketWidth   = 100 * time.Millisecond
	latencySampleWeight = 0.2
	averageSampleWeight = 0.02
	// latencySampleInterval limits the latency samples per target to 100 per second, enough to follow a change.
	latencySampleInterval = 10 * time.Millisecond
	// latencyMaxAge is the age of the latest sample from which the latency of a target is stale.
	latencyMaxAge    = 20 * time.Second
	defaultMsPerUnit = 40
	defaultUnits     = 200
)

// change counts requests started minus requests ended in one bucket of time.
type change struct {
	bucket int64
	net    int32
}

// observations are the instance's own in-flight counts and latency of one target.
type observations struct {
	inFlight     int
	longInFlight int
	changes      [changeBuckets]change
	msPerUnit    float64
	sampledAt    time.Time
}

func (o *observations) addChange(now time.Time, n int32) {
	bucket := now.UnixNano() / int64(changeBucketWidth)
	c := &o.changes[bucket%changeBuckets]
	if c.bucket != bucket {
		*c = change{bucket: bucket}
	}
	c.net += n
}

// netChangeSince returns the net change of the requests in flight since at. fresh is false if at lies before the oldest
// bucket.
func (o *observations) netChangeSince(now, at time.Time) (net int, fresh bool) {
	first := at.UnixNano() / int64(changeBucketWidth)
	last := now.UnixNano() / int64(changeBucketWidth)
	if last-first >= changeBuckets {
		return 0, false
	}
	for b := first; b <= last; b++ {
		if c := &o.changes[b%changeBuckets]; c.bucket == b {
			net += int(c.net)
		}
	}
	return net, true
}

// modelAverages is the average latency per unit of work and the average work of the requests of one model over all
// targets.
type modelAverages struct {
	msPerUnit float64
	units     float64
}

// observer keeps the instance's own observations of targets and models.
type observer struct {
	targets  *shard.Map[string, observations]
	averages *shard.Map[string, modelAverages]
}

func newObserver(targets, models int) *observer {
	return &observer{
		targets: shard.New[string, observations](shard.DefaultShards, targets, shard.StringHash, nil),
		averages: shard.New(shard.DefaultShards, models, shard.StringHash, func(string) *modelAverages {
			return &modelAverages{msPerUnit: defaultMsPerUnit, units: defaultUnits}
		}),
	}
}

func (o *observer) modelAverages(model string) modelAverages {
	a := modelAverages{msPerUnit: defaultMsPerUnit, units: defaultUnits}
	o.averages.View(model, func(v *modelAverages) { a = *v })
	return a
}

func (o *observer) started(now time.Time, target string, long bool) {
	o.targets.Update(target, func(t *observations) {
		t.inFlight++
		if long {
			t.longInFlight++
		}
		t.addChange(now, 1)
	})
}

func (o *observer) finished(now time.Time, f Finish) {
	sample := f.Answered && f.Units > 0
	msPerUnit := 0.0
	if sample {
		msPerUnit = float64(f.Service) / float64(time.Millisecond) / f.Units
	}
	o.targets.View(f.Target, func(t *observations) {
		t.inFlight = max(0, t.inFlight-1)
		if f.Long {
			t.longInFlight = max(0, t.longInFlight-1)
		}
		t.addChange(now, -1)
		if !sample || now.Sub(t.sampledAt) < latencySampleInterval {
			sample = false
			return
		}
		if t.msPerUnit == 0 || now.Sub(t.sampledAt) > latencyMaxAge {
			t.msPerUnit = msPerUnit
		}
		t.msPerUnit += latencySampleWeight * (msPerUnit - t.msPerUnit)
		t.sampledAt = now
	})
	if sample {
		o.averages.Update(f.Model, func(a *modelAverages) {
			a.msPerUnit += averageSampleWeight * (msPerUnit - a.msPerUnit)
			a.units += averageSampleWeight * (f.Units - a.units)
		})
	}
}

// fill sets the instance's own observations of a candidate in its view, and its estimated load: the load report,
// corrected by the requests started and finished since.
func (o *observer) fill(now time.Time, v *View, averages modelAverages, instances int, peerCorrection float64) {
	v.MsPerUnit, v.OwnInFlight, v.OwnLongInFlight = averages.msPerUnit, 0, 0
	v.EstimatedLoad = float64(v.Reported)
	o.targets.View(v.Target, func(t *observations) {
		v.OwnInFlight, v.OwnLongInFlight = t.inFlight, t.longInFlight
		if t.msPerUnit > 0 && now.Sub(t.sampledAt) <= latencyMaxAge {
			v.MsPerUnit = t.msPerUnit
		}
		net, fresh := t.netChangeSince(now, v.MeasuredAt)
		if !fresh {
			// The report is too old to be corrected; the other instances are assumed to send as much as this one.
			v.EstimatedLoad = float64(t.inFlight * max(instances, 1))
			return
		}
		// The other instances have probably changed the load in the same direction since the report: peerCorrection is
		// the assumed change by each of them, in proportion to that by this instance.
		v.EstimatedLoad += float64(net) * (1 + peerCorrection*float64(max(instances, 1)-1))
	})
	v.EstimatedLoad = max(v.EstimatedLoad, float64(v.OwnInFlight))
}
