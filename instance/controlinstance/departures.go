package controlinstance

import (
	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/coordination/roster"
	"github.com/tarragonhoist/tarragonhoist/events"
	"github.com/tarragonhoist/tarragonhoist/protocol/fleetapi"
	"github.com/tarragonhoist/tarragonhoist/protocol/peerapi"
)

// maxKnownDepartures is above the number of targets that drain at the same time. A departure that is forgotten is announced again.
const maxKnownDepartures = 4096

// ErrDepartureUncertain is returned for a departure that too few control instances know to outlive this one.
var ErrDepartureUncertain = errors.New("no majority of control instances knows of the departure")

// knownDepartures are the draining targets of which a majority of the control instances knows.
type knownDepartures = lru.Cache[roster.Key, struct{}]

func newKnownDepartures() *knownDepartures {
	known, err := lru.New[roster.Key, struct{}](maxKnownDepartures)
	if err != nil {
		panic(err) // only a size that is not positive is an error
	}
	return known
}

// announceDraining makes sure that a majority knows that a target leaves before its heartbeat is acknowledged: the target counts the time
// after which it gets nothing more from the acknowledgement.
func (instance *Instance) announceDraining(target roster.Key) error {
	if instance.departures.Contains(target) {
		return nil
	}
	applied := func() error { return nil } // with the heartbeat
	if !instance.notifyMajority(peerapi.MethodFleetDraining, target, applied) {
		return ErrDepartureUncertain
	}
	instance.departures.Add(target, struct{}{})
	return nil
}

// Deregister marks a target as gone, here and at a majority of the control instances: a target repeats heartbeats, but not
// a deregistration that was acknowledged. startedAtMs 0 stands for the latest known incarnation.
func (instance *Instance) Deregister(id string, startedAtMs int64) error {
	if !instance.Joined() {
		return ErrNotJoined
	}
	departure := fleetapi.Departure{ID: id, StartedAtMs: startedAtMs}
	if !instance.notifyMajority(peerapi.MethodFleetDeparture, departure, func() error { instance.markGone(departure); return nil }) {
		return ErrDepartureUncertain
	}
	return nil
}

func (instance *Instance) markGone(d fleetapi.Departure) {
	if instance.view.MarkGone(d.ID, d.StartedAtMs) {
		instance.recorder.Record(events.TargetLeaving, events.Fields{"target": d.ID, "born": d.StartedAtMs, "state": "gone"})
	}
}

func (instance *Instance) markDraining(target roster.Key) {
	if instance.view.MarkDraining(target) {
		instance.recorder.Record(events.TargetLeaving, events.Fields{"target": target.ID, "born": target.StartedAtMs, "state": "draining"})
	}
}
