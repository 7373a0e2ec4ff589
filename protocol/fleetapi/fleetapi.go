// Package fleetapi holds the messages between the gateways, which serve callers, and the control instances, which
// receive heartbeats of targets and commands of operators.
package fleetapi

import (
	"github.com/tarragonhoist/tarragonhoist/coordination/crashes"
	"github.com/tarragonhoist/tarragonhoist/coordination/dispatch"
	"github.com/tarragonhoist/tarragonhoist/coordination/pace"
	"github.com/tarragonhoist/tarragonhoist/coordination/quota"
	"github.com/tarragonhoist/tarragonhoist/coordination/roster"
	"github.com/tarragonhoist/tarragonhoist/coordination/speed"
	"github.com/tarragonhoist/tarragonhoist/coordination/targetlimit"
)

// WatchRequest asks a control instance for changes by long polling: the response is sent as soon as there is a change,
// or after a timeout.
type WatchRequest struct {
	// Epoch and ChangeNumber are those of the last response of the same instance; zero asks for the complete state.
	Epoch        uint64 `json:"e"`
	ChangeNumber uint64 `json:"c"`
	Version      uint64 `json:"v"` // version of the document that the sender has
	// Gateway is set by gateways. They are many and get compact updates, those without effect on the choice between ready
	// and leaving targets in batches.
	Gateway bool `json:"g,omitempty"`
	// CrashChange is that of the last response of the same instance; zero asks for all crashes that it knows.
	CrashChange uint64 `json:"cc,omitempty"`
	// Contact is what the last response of the same instance said. The instance answers at once if that has changed, unless
	// it is ContactUnknown, as in requests of builds that do not know it.
	Contact Contact `json:"k,omitempty"`
	// ContactOnly asks for an answer at once, without targets and crashes: whether the instance has contact, and the document
	// if it is newer. A build that does not know it answers as usual.
	ContactOnly bool `json:"ko,omitempty"`
	// Packed asks for Content instead of Roster and Crashes. Standby asks for neither, but for Departed: another instance informs the
	// sender of the rest. Departures is that of the last response of the same instance. Builds that do not know these fields answer in full.
	Packed     bool   `json:"p,omitempty"`
	Standby    bool   `json:"sb,omitempty"`
	Departures uint64 `json:"dp,omitempty"`
}

// Contact tells whether a control instance has heard lately from a majority of the group, so that it knows the newest
// configuration.
type Contact uint8

// Values of Contact.
const (
	// ContactUnknown is the value of builds that do not know it. Their instances are watched as if they had contact.
	ContactUnknown Contact = iota
	ContactRecent
	ContactLost
)

// WatchResponse is the response to a WatchRequest.
type WatchResponse struct {
	Epoch  uint64       `json:"e"`
	Roster roster.Delta `json:"r"`
	// Version and Document are the configuration in force at the instance. Document is compressed, and only sent when it
	// is newer than the one of the request.
	Version  uint64   `json:"v"`
	Document []byte   `json:"d,omitempty"`
	Leader   string   `json:"l,omitempty"`
	Members  []string `json:"m,omitempty"` // control instances that are members of the group
	// DataCentre is that of the answering instance, and MemberDataCentres those of Members, empty where unknown.
	DataCentre        string   `json:"z,omitempty"`
	MemberDataCentres []string `json:"mz,omitempty"`
	// Crashes is what changed of the crashes since CrashChange of the request, and CrashChange the number to continue from.
	Crashes     []crashes.Evidence `json:"x,omitempty"`
	CrashChange uint64             `json:"cc,omitempty"`
	// Contact tells whether the instance has contact with a majority, and ContactAgeMs when it last was known to have had all
	// acknowledged versions; 0 with ContactLost if it never was since its start. Gateways get what the instance knows itself
	// or learned from others, control instances only what it knows itself: ages that were passed on in a circle would grow
	// too slowly, by the time of each transfer.
	Contact      Contact `json:"k,omitempty"`
	ContactAgeMs int64   `json:"ka,omitempty"`
	// Content replaces Roster, Crashes and CrashChange in the response to a packed request, see WatchContent.
	Content []byte `json:"pc,omitempty"`
	// Standby is set in the response to a standby request. Departed are the targets that left since Departures of the request, see
	// roster.Table, and Departures is the number to continue from.
	Standby    bool   `json:"sb,omitempty"`
	Departed   []byte `json:"dd,omitempty"`
	Departures uint64 `json:"dp,omitempty"`
}

// CrashReport tells a control instance which crashes of targets a gateway observed, and what was running there.
type CrashReport struct {
	Crashes []crashes.Evidence `json:"x"`
}

// TargetLoad is the load that one gateway, or several together, have sent to one target.
type TargetLoad struct {
	ID string `json:"i"`
	// Running is the number of requests that were sent and have not ended, Unstarted the number of those without a first
	// byte of the response.
	Running   int `json:"r"`
	Unstarted int `json:"u,omitempty"`
	// PromptTokens is the number of prompt tokens of the unstarted requests.
	PromptTokens int `json:"p,omitempty"`
	// SlownessPercent is the interval between stream events as a percentage of the usual interval; over several gateways,
	// the maximum.
	SlownessPercent int `json:"s,omitempty"`
	// FailurePenaltyMs is the delay added to the expected delay at the target for recent failures and overdue requests;
	// over several gateways, the maximum.
	FailurePenaltyMs int `json:"f,omitempty"`
}

// ModelLoad is the demand for one model.
type ModelLoad struct {
	Service string `json:"s"`
	Model   string `json:"m"`
	// Running is the number of requests that were sent to a target, Waiting the number of those that wait for one, and
	// Refused the number of those refused for lack of a target since the last report.
	Running int `json:"r,omitempty"`
	Waiting int `json:"w,omitempty"`
	Refused int `json:"f,omitempty"`
	// Urgent is the number of waiting requests that are in time only if they start soon.
	Urgent int `json:"u,omitempty"`
}

// LoadReport reports the load of a gateway to the leader.
type LoadReport struct {
	Gateway string       `json:"g"`
	Targets []TargetLoad `json:"t,omitempty"`
	Models  []ModelLoad  `json:"m,omitempty"`
	// Unreachable are targets to which a connection failed recently.
	Unreachable []string `json:"u,omitempty"`
	// Adapters are those in use now or at any time since the last report.
	Adapters []AdapterUse `json:"a,omitempty"`
	// Limits is what targets told the gateway about the requests that they take.
	Limits []targetlimit.Observation `json:"l,omitempty"`
	// Helps is set while the gateway reaches targets and serves what other gateways hand over to it.
	Helps bool `json:"h,omitempty"`
	// HelpersChange is that of the latest summary.
	HelpersChange uint64 `json:"hc,omitempty"`
	// Brittle is, by service, how many rejections in a second its targets said to this gateway that they bear.
	Brittle map[string]int `json:"b,omitempty"`
	// Accounts are the client accounts with requests at the gateway.
	Accounts []AccountLoad `json:"ac,omitempty"`
	// Starting is what the gateway saw of targets in their start phase since its last report, and Silent are targets that owe a
	// response and have sent nothing for a while.
	Starting []pace.Observation `json:"sp,omitempty"`
	Silent   []string           `json:"si,omitempty"`
	// Packed asks for a summary with PackedTargets instead of Targets.
	Packed bool `json:"p,omitempty"`
	// Quota is set where an account has a quota.
	Quota *quota.Report `json:"q,omitempty"`
	// Speed is left out by builds that do not know the speeds of targets.
	Speed *SpeedReport `json:"sd,omitempty"`
	// Rotation is set by a gateway that takes callers.
	Rotation *RotationReport `json:"ro,omitempty"`
}

// SpeedReport tells the leader what a gateway saw of the speeds of targets.
type SpeedReport struct {
	// Change is that of the latest speeds that the gateway applied.
	Change uint64 `json:"c,omitempty"`
	// Samples are at most speed.MaxSamples, those with the most new gaps.
	Samples []speed.Sample `json:"s,omitempty"`
}

// Speeds are the speeds of targets.
type Speeds struct {
	// Change changes with the speeds.
	Change uint64 `json:"c"`
	// Complete is set if Percent replaces all speeds. Otherwise it holds what has changed since SpeedReport.Change.
	Complete bool `json:"f,omitempty"`
	// Percent is the speed by target, as a percentage of that of the median target of its service; 0 removes a speed. Targets
	// without one count as 100.
	Percent map[string]int `json:"p,omitempty"`
}

// AccountLoad is what a client account has running at targets and waiting at gateways.
type AccountLoad struct {
	Name    string `json:"n"`
	Running int    `json:"r,omitempty"`
	Waiting int    `json:"w,omitempty"`
}

// AdapterUse is an adapter that requests use on a target.
type AdapterUse struct {
	ID      string `json:"i"`
	Model   string `json:"m"`
	Adapter string `json:"a"`
}

// UnloadingModel is a model that a target is about to unload; the target gets no new requests for it.
type UnloadingModel struct {
	ID    string `json:"i"`
	Model string `json:"m"`
}

// LoadingModel is a model that a target is loading or will load once it has unloaded another one.
type LoadingModel struct {
	ID          string `json:"i"`
	Service     string `json:"s"`
	Model       string `json:"m"`
	RemainingMs int64  `json:"l"` // expected time until the model is loaded
}

// LoadSummary is the response to a LoadReport.
type LoadSummary struct {
	// Targets is the summed load of all other gateways.
	Targets []TargetLoad `json:"t,omitempty"`
	// PackedTargets replaces Targets, see PackTargetLoads.
	PackedTargets []byte           `json:"tp,omitempty"`
	Gateways      int              `json:"g"` // number of gateways that reported recently
	Unloading     []UnloadingModel `json:"r,omitempty"`
	Loading       []LoadingModel   `json:"a,omitempty"`
	// Queues are the models for which requests wait at other gateways, without Running and Refused.
	Queues []ModelLoad `json:"mq,omitempty"`
	// OverShare are the client accounts that have more running than their fair share while requests of others wait.
	OverShare []string `json:"o,omitempty"`
	// Helpers are gateways that serve what the gateway hands over, see LoadReport.Helps. They are left out if HelpersChange, which
	// changes with them, is that of the report.
	Helpers       []string `json:"h,omitempty"`
	HelpersChange uint64   `json:"hc,omitempty"`
	// Brittle is the same, as targets said to other gateways.
	Brittle map[string]int `json:"b,omitempty"`
	// Limits is what targets told any gateway about the requests that they take.
	Limits []targetlimit.Observation `json:"lt,omitempty"`
	// Quota answers that of the report, unless the instance may not give out grants.
	Quota *quota.Levels `json:"q,omitempty"`
	// Starting is the part of the gateway in the windows of targets in their start phase.
	Starting []pace.Part `json:"sp,omitempty"`
	// Speeds is left out while the leader has not learned the speeds yet, and in answers to reports without Speed.
	Speeds *Speeds `json:"sd,omitempty"`
	// Rotation is set if the gateway is to be out of rotation, or is out and has to return.
	Rotation *RotationSummary `json:"ro,omitempty"`
}

// percent converts between a slowness ratio and SlownessPercent.
const percent = 100

// LoadOf converts the observations of a gateway about a target into a TargetLoad.
func LoadOf(id string, o dispatch.Observation) TargetLoad {
	return TargetLoad{ID: id, Running: o.Running, Unstarted: o.Unstarted, PromptTokens: o.PromptTokens,
		SlownessPercent: int(o.Slowness * percent), FailurePenaltyMs: int(o.FailurePenaltyMs)}
}

// ObservationsByTarget converts the loads of targets into observations.
func ObservationsByTarget(loads []TargetLoad) map[string]dispatch.Observation {
	observed := make(map[string]dispatch.Observation, len(loads))
	for _, t := range loads {
		observed[t.ID] = dispatch.Observation{
			Load:     dispatch.Load{Running: t.Running, Unstarted: t.Unstarted, PromptTokens: t.PromptTokens},
			Slowness: float64(t.SlownessPercent) / percent, FailurePenaltyMs: float64(t.FailurePenaltyMs),
		}
	}
	return observed
}

// UnloadingModels returns the models that targets are about to unload, by target.
func (s *LoadSummary) UnloadingModels() map[string][]string {
	unloading := make(map[string][]string, len(s.Unloading))
	for _, r := range s.Unloading {
		unloading[r.ID] = append(unloading[r.ID], r.Model)
	}
	return unloading
}

// Departure says that a target has ended. StartedAtMs 0 stands for its latest known incarnation.
type Departure struct {
	ID          string `json:"id"`
	StartedAtMs int64  `json:"started,omitempty"`
}

// PermitRequest asks the leader for a permit to send one request to a target that takes a limited number from all gateways.
type PermitRequest struct {
	Target roster.Key `json:"t"`
	// PerSecond is the limit that the gateway knows.
	PerSecond float64 `json:"l"`
	// NoWait asks for a permit that may be used at once.
	NoWait bool `json:"n,omitempty"`
}

// PermitResponse gives out a permit that may be used after WaitMs, or denies permits for WaitMs.
type PermitResponse struct {
	Granted bool  `json:"g,omitempty"`
	WaitMs  int64 `json:"w,omitempty"`
}

// AdapterRequest asks the leader for a target that holds an adapter. If there is none, the leader orders a target to
// load it.
type AdapterRequest struct {
	Service string   `json:"s"`
	Model   string   `json:"m"`
	Adapter string   `json:"a"`
	Exclude []string `json:"x,omitempty"` // targets that failed this request or are unreachable
	// SoftwareVersion leaves out targets of other versions; nil leaves out none.
	SoftwareVersion *string `json:"v,omitempty"`
}

// AdapterResponse names the target. ReadyMs is the expected time until an adapter that has yet to be loaded is ready.
type AdapterResponse struct {
	ID      string `json:"i,omitempty"`
	ReadyMs int64  `json:"r,omitempty"`
	Problem string `json:"p,omitempty"` // why no target is named
}
