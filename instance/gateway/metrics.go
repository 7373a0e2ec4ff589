package gateway

import (
	metrics "github.com/rcrowley/go-metrics"
)

// histogramSamples is the size of the reservoir of a latency histogram.
const histogramSamples = 512

type counters struct {
	answered, refused, failed, cancelled, repeated metrics.Counter
	// unauthorized are refused requests whose key no account holds.
	unauthorized metrics.Counter
	// shed are requests that were refused because too many others waited for the same slots.
	shed metrics.Counter
	// handedOver are the requests that other gateways were asked to serve, servedForOthers those that others asked for.
	handedOver, servedForOthers metrics.Counter
	crashStrikes                metrics.Counter
	// streamsResumed are resumptions within one answer, streamsTakenUp those that callers ask for in another attempt, and
	// streamsNotTakenUp those of the latter that can't go on.
	streamsResumed, streamsTakenUp, streamsNotTakenUp metrics.Counter
	unreachableTargets                                metrics.Gauge
	// startingTargets is the number of targets in their start phase, heldBack are the picks that found room only at such targets,
	// and startingSends the requests sent to them.
	startingTargets metrics.Gauge
	// targetSpeeds is the number of targets whose speed the leader has published.
	targetSpeeds            metrics.Gauge
	heldBack, startingSends metrics.Counter
	// rotations is how often the gateway was taken out of rotation, and rotationCloses the responses with which it closed
	// connections then.
	rotations, rotationCloses    metrics.Counter
	lagMs, callerConnections     metrics.Gauge
	firstByteMs, totalMs, heldMs metrics.Histogram
}

func newCounters(r metrics.Registry) *counters {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("gateway."+name, r) }
	histogram := func(name string) metrics.Histogram {
		return metrics.GetOrRegisterHistogram("gateway."+name, r, metrics.NewExpDecaySample(histogramSamples, 0.015))
	}
	return &counters{
		answered: counter("answered"), refused: counter("refused"), failed: counter("failed"),
		cancelled: counter("cancelled"), repeated: counter("repeated_sends"), unauthorized: counter("unauthorized"), shed: counter("shed"),
		handedOver: counter("handed_over"), servedForOthers: counter("served_for_others"),
		crashStrikes: counter("crash_strikes"), streamsResumed: counter("streams_resumed"), streamsTakenUp: counter("streams_taken_up"),
		streamsNotTakenUp: counter("streams_not_taken_up"),
		startingTargets:   metrics.GetOrRegisterGauge("gateway.starting_targets", r),
		heldBack:          counter("held_back"), startingSends: counter("starting_sends"),
		targetSpeeds: metrics.GetOrRegisterGauge("gateway.target_speeds", r),
		rotations:    counter("rotations"), rotationCloses: counter("rotation_closes"),
		lagMs:              metrics.GetOrRegisterGauge("gateway.lag_ms", r),
		callerConnections:  metrics.GetOrRegisterGauge("gateway.caller_connections", r),
		unreachableTargets: metrics.GetOrRegisterGauge("gateway.unreachable_targets", r),
		firstByteMs:        histogram("first_byte_ms"), totalMs: histogram("total_ms"), heldMs: histogram("held_ms"),
	}
}
