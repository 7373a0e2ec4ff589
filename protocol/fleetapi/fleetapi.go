// Package fleetapi holds the messages between the gateways, which serve callers, and the control instances, which hear
// targets and operators.
package fleetapi

import (
	"github.com/tarragonhoist/tarragonhoist/coordination/dispatch"
	"github.com/tarragonhoist/tarragonhoist/coordination/roster"
)

// Watch asks a control instance for what is new. It is answered when there is news or after a pause.
type Watch struct {
	// Epoch and Change are those of the last answer of the same instance; zero asks for everything.
	Epoch   uint64 `json:"e"`
	Change  uint64 `json:"c"`
	Version uint64 `json:"v"` // version of the document held
}

// News answers a watch.
type News struct {
	Epoch  uint64       `json:"e"`
	Roster roster.Delta `json:"r"`
	// Version and Document are the version in force at the instance. Document is compressed and only sent when newer.
	Version  uint64   `json:"v"`
	Document []byte   `json:"d,omitempty"`
	Leader   string   `json:"l,omitempty"`
	Members  []string `json:"m,omitempty"` // control instances in the membership
}

// TargetLoad is the work of one gateway, or the sum over several, on one target.
type TargetLoad struct {
	ID string `json:"i"`
	// Running requests were sent and have not ended; Unstarted ones of these have had no first byte of an answer.
	Running   int `json:"r"`
	Unstarted int `json:"u,omitempty"`
	// PromptTokens are those of the unstarted requests.
	PromptTokens int `json:"p,omitempty"`
	// SlownessPercent is the pause between events against the usual one; of several gateways, the longest.
	SlownessPercent int `json:"s,omitempty"`
	// TroubleMs is the delay that stands for failures seen there; of several gateways, the longest.
	TroubleMs int `json:"f,omitempty"`
}

// ModelLoad is the demand for one model.
type ModelLoad struct {
	Service string `json:"s"`
	Model   string `json:"m"`
	// Running requests were sent, Waiting ones have no target, and Refused ones were turned away for lack of a target
	// since the last report.
	Running int `json:"r,omitempty"`
	Waiting int `json:"w,omitempty"`
	Refused int `json:"f,omitempty"`
}

// LoadReport tells the leader the load of a gateway.
type LoadReport struct {
	Gateway string       `json:"g"`
	Targets []TargetLoad `json:"t,omitempty"`
	Models  []ModelLoad  `json:"m,omitempty"`
	// Unreachable targets accepted no connection lately.
	Unreachable []string `json:"u,omitempty"`
	// Adapters are in use, or were since the last report.
	Adapters []AdapterUse `json:"a,omitempty"`
	// Strikes are fingerprints of requests that were running on a target when it died.
	Strikes []Strike `json:"s,omitempty"`
}

// AdapterUse is an adapter that a request used on a target.
type AdapterUse struct {
	ID      string `json:"i"`
	Model   string `json:"m"`
	Adapter string `json:"a"`
}

// Strike is a request that was running on a target when the target died.
type Strike struct {
	Fingerprint uint64     `json:"f"`
	Target      roster.Key `json:"t"`
}

// Retiring is a model that a target is about to unload; it gets no new requests for it.
type Retiring struct {
	ID    string `json:"i"`
	Model string `json:"m"`
}

// Arriving is a model that a target loads.
type Arriving struct {
	ID      string `json:"i"`
	Service string `json:"s"`
	Model   string `json:"m"`
	LeftMs  int64  `json:"l"` // expected time until it is loaded
}

// LoadSummary answers a load report.
type LoadSummary struct {
	// Targets is the load of all other gateways.
	Targets  []TargetLoad `json:"t,omitempty"`
	Gateways int          `json:"g"` // gateways that reported lately
	Retiring []Retiring   `json:"r,omitempty"`
	Arriving []Arriving   `json:"a,omitempty"`
	// Quarantined are requests that took several targets down.
	Quarantined []uint64 `json:"q,omitempty"`
}

// percent is the unit of slowness.
const percent = 100

// LoadOf describes what a gateway observes of a target.
func LoadOf(id string, o dispatch.Observed) TargetLoad {
	return TargetLoad{ID: id, Running: o.Running, Unstarted: o.Unstarted, PromptTokens: o.PromptTokens,
		SlownessPercent: int(o.Slowness * percent), TroubleMs: int(o.TroubleMs)}
}

// Observed returns the loads by target.
func (s *LoadSummary) Observed() map[string]dispatch.Observed {
	observed := make(map[string]dispatch.Observed, len(s.Targets))
	for _, t := range s.Targets {
		observed[t.ID] = dispatch.Observed{
			Load:     dispatch.Load{Running: t.Running, Unstarted: t.Unstarted, PromptTokens: t.PromptTokens},
			Slowness: float64(t.SlownessPercent) / percent, TroubleMs: float64(t.TroubleMs),
		}
	}
	return observed
}

// RetiringModels returns the models that targets are about to unload, by target.
func (s *LoadSummary) RetiringModels() map[string][]string {
	retiring := make(map[string][]string, len(s.Retiring))
	for _, r := range s.Retiring {
		retiring[r.ID] = append(retiring[r.ID], r.Model)
	}
	return retiring
}

// AdapterRequest asks the leader for a target that holds an adapter, which it loads where there is none.
type AdapterRequest struct {
	Service string   `json:"s"`
	Model   string   `json:"m"`
	Adapter string   `json:"a"`
	Exclude []string `json:"x,omitempty"` // targets that failed this request or cannot be reached
}

// AdapterAnswer names the target. An adapter that was ordered is there after ReadyMs.
type AdapterAnswer struct {
	ID      string `json:"i,omitempty"`
	ReadyMs int64  `json:"r,omitempty"`
	Problem string `json:"p,omitempty"` // why there is none
}
