package peerapi

import (
	"github.com/tarragonhoist/tarragonhoist/events"
	"github.com/tarragonhoist/tarragonhoist/protocol/targetapi"
)

// GossipPull asks an instance for its latest target entries.
type GossipPull struct {
	DataCentre string `json:"data_centre"`
	// Frame reports leaving targets and asks for missing entries. It is only used within one data centre.
	Frame []byte `json:"frame"`
	// Applied is the index of the last applied entry of the config log. A receiver whose log is behind fetches the missing
	// entries at once.
	Applied uint64 `json:"applied"`
}

// GossipDelta is the response to a GossipPull. Frame is empty between data centres, which only exchange summaries.
type GossipDelta struct {
	Frame     []byte `json:"frame,omitempty"`
	Summaries []byte `json:"summaries,omitempty"`
	Applied   uint64 `json:"applied"`
}

// Empty is a request without parameters.
type Empty struct{}

// TimelineResponse is the response to MethodTimeline: the latest events of one instance.
type TimelineResponse struct {
	Events []events.Record `json:"events"`
}

// StatusResponse is the response to MethodStatus, which an instance uses for the status overview of operators.
type StatusResponse struct {
	// Applied is the index of the last applied entry of the config log.
	Applied uint64 `json:"applied"`
}

// EnginesResponse is the response to MethodEngines: the engines of a data centre, for the check of release notes.
type EnginesResponse struct {
	Engines []Engine `json:"engines"`
}

// Engine holds the properties of a model engine that the check of a release note needs.
type Engine struct {
	Name          string `json:"name"`
	FailureDomain string `json:"failure_domain,omitempty"`
	// CapacityBytes excludes the KV cache reserve.
	CapacityBytes int64                `json:"capacity_bytes"`
	Leaving       bool                 `json:"leaving,omitempty"`
	Residents     []targetapi.Resident `json:"residents,omitempty"`
}
