// Package rotation takes overloaded gateways out of rotation for a short time, so that their callers connect to others.
//
// The load pattern: callers are assigned to the gateways of their data centre by a hash, and a connection stays with its
// gateway. With 85 callers and 17 gateways, some gateways get two to three times the mean. A gateway with 0.144 of a core
// is then out of CPU and serves all its callers late, while the others have capacity to spare.
//
// Each gateway measures its lag with a LagWindow. The leader decides with a Planner, from the reports of all gateways, and
// each gateway applies the decision with a Member, which bounds the time out of rotation by itself.
package rotation

import "time"

const (
	// TimerPeriod is the period of the timer whose delay is the lag of a gateway, unless all is calm.
	TimerPeriod = 20 * time.Millisecond
	// overloadLag is the lag above which a gateway is overloaded if the median gateway has less than half of it.
	overloadLag = 60 * time.Millisecond
	// overloadTime is the time for which that must hold in each report.
	overloadTime = 2 * time.Second
	// recoveredLag is the lag below which a gateway that is out of rotation recovers, and recoveredTime the time for which it
	// must stay below.
	recoveredLag  = 20 * time.Millisecond
	recoveredTime = 3 * time.Second
	// MaxOut is the longest time out of rotation.
	MaxOut = 5 * time.Second
	// LeaderTimeout is the time without an answer of the leader after which a gateway returns by itself.
	LeaderTimeout = 2 * time.Second
	// RestTime is the time after a return in which a gateway is not taken out again.
	RestTime = 20 * time.Second
	// takeInterval is the least time between two gateways of a data centre that are taken out.
	takeInterval = time.Second
	// minGateways is the size from which a data centre may do without a gateway, and of gatewaysPerOut gateways one may be out.
	minGateways    = 4
	gatewaysPerOut = 10
	// knownTime is the time after its last report for which a gateway is known.
	knownTime = 30 * time.Second
	// holdTime is the time after the last answer that told a gateway to be out for which it counts as out if nothing is heard
	// from it: it returns LeaderTimeout after it sent the report that was answered. The rest is for clocks that differ.
	holdTime = LeaderTimeout + 250*time.Millisecond
	// settleTime is the time for which a new leader takes none out. Gateways that its predecessor took out have reported to it or
	// returned by then.
	settleTime = 3 * time.Second
)

// MaxOutOf returns how many gateways may be out of rotation at a time in a data centre with a number of gateways.
func MaxOutOf(gateways int) int {
	if gateways < minGateways {
		return 0
	}
	return max(gateways/gatewaysPerOut, 1)
}

// State is whether a gateway is in rotation, as it reports it.
type State uint8

// States of a gateway.
const (
	// In rotation, and may be taken out.
	In State = iota
	// Out of rotation.
	Out
	// Resting is the time after a return in which a gateway is not taken out again.
	Resting
)

// Report is what a gateway reports.
type Report struct {
	Gateway, DataCentre string
	Lag                 time.Duration
	Connections         int
	State               State
}

// Answer is the answer of the leader to a report. The zero Answer leaves the gateway as it is, as answers of builds and
// instances that take none out.
type Answer struct {
	// Decided is set if Out is to be applied.
	Decided, Out bool
	// MeanConnections is the mean number of connections of the gateways of the data centre, rounded up. It is set with Out.
	MeanConnections int
}
