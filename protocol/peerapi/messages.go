package peerapi

import (
	"github.com/tarragonhoist/tarragonhoist/events"
	"github.com/tarragonhoist/tarragonhoist/protocol/targetapi"
)

// GossipPull asks an instance for its latest entries of targets.
type GossipPull struct {
	DataCentre string `json:"data_centre"`
	// Frame tells of leaving targets and asks for missing entries. It is only used inside one data centre.
	Frame []byte `json:"frame"`
	// Applied is the index of the last applied entry of the config log, so that an instance that is behind pulls at once.
	Applied uint64 `json:"applied"`
}

// GossipDelta answers a pull. Frame is empty between data centres, which only exchange summaries.
type GossipDelta struct {
	Frame     []byte `json:"frame,omitempty"`
	Summaries []byte `json:"summaries,omitempty"`
	Applied   uint64 `json:"applied"`
}

// Empty is a request without parameters.
type Empty struct{}

// TimelineAnswer holds the latest events of one instance.
type TimelineAnswer struct {
	Events []events.Record `json:"events"`
}

// StatusAnswer is what an instance tells another one for the operators' overview.
type StatusAnswer struct {
	// Applied is the index of the last applied entry of the config log.
	Applied uint64 `json:"applied"`
}

// EnginesAnswer lists the engines of a data centre, for the check of release notes.
type EnginesAnswer struct {
	Engines []Engine `json:"engines"`
}

// Engine is what the check of a release note needs to know of a model engine.
type Engine struct {
	Name          string `json:"name"`
	FailureDomain string `json:"failure_domain,omitempty"`
	// CapacityBytes is without the KV cache reserve.
	CapacityBytes int64                `json:"capacity_bytes"`
	Leaving       bool                 `json:"leaving,omitempty"`
	Residents     []targetapi.Resident `json:"residents,omitempty"`
}
