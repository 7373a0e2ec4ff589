package fleetapi

// StatusResponse is the answer of a control instance to MethodFleetStatus. It holds no keys, tokens or parts of requests.
type StatusResponse struct {
	// Leader is the name of the leader, empty if there is none. Only the leader sets Status.
	Leader string  `json:"leader,omitempty"`
	Status *Status `json:"status,omitempty"`
}

// Status is what the leader knows of the deployment.
type Status struct {
	Instance      string `json:"instance"`
	ConfigVersion int64  `json:"config_version"`
	// Gateways is the number of gateways that report.
	Gateways int              `json:"gateways"`
	Accounts []AccountStatus  `json:"accounts,omitempty"`
	Starting []StartingStatus `json:"starting_targets,omitempty"`
	// Speeds are the speeds of targets relative to the median of their service, 1 for the median.
	Speeds        map[string]float64 `json:"speeds,omitempty"`
	OutOfRotation []string           `json:"out_of_rotation,omitempty"`
	Models        []ModelStatus      `json:"models,omitempty"`
	Waiting       []WaitingStatus    `json:"waiting,omitempty"`
}

// AccountStatus is the state of a client account. Accounts without a quota have only Running and Waiting.
type AccountStatus struct {
	Name string `json:"name"`
	// PerSecond is the rate of the quota, Limit and Used are units of one window, and Unit is what they count.
	PerSecond float64 `json:"rate_per_s,omitempty"`
	Unit      string  `json:"unit,omitempty"`
	Limit     float64 `json:"limit,omitempty"`
	Used      float64 `json:"used,omitempty"`
	// Withheld is the part of Used that gateways without the leader may use.
	Withheld    float64 `json:"withheld,omitempty"`
	Outstanding float64 `json:"outstanding,omitempty"`
	// RefusedShare is the share of the requests of the last window that were refused for the quota.
	RefusedShare float64 `json:"refused_share"`
	Running      int     `json:"running"`
	Waiting      int     `json:"waiting"`
}

// StartingStatus is a target in its start phase.
type StartingStatus struct {
	Target string `json:"target"`
	// Window is the number of concurrent requests of all gateways, and Full that at which the phase ends.
	Window int   `json:"window"`
	Full   int   `json:"full"`
	ForMs  int64 `json:"for_ms"`
}

// ModelStatus is a model that has copies, loads in progress or demand.
type ModelStatus struct {
	Service string  `json:"service"`
	Model   string  `json:"model"`
	Copies  int     `json:"copies"`
	Loading int     `json:"loading"`
	Demand  float64 `json:"demand"`
}

// WaitingStatus are the requests that wait at gateways.
type WaitingStatus struct {
	Service string `json:"service"`
	Model   string `json:"model,omitempty"`
	Waiting int    `json:"waiting"`
}
