package httpapi

// Status is the overview that an instance gives to operators.
type Status struct {
	Version    string `json:"version"`
	Cluster    string `json:"cluster"`
	Instance   string `json:"instance"`
	DataCentre string `json:"data_centre"`
	Ready      bool   `json:"ready"`
	// Insecure lists what runs without authentication because the settings hold no tokens or keys for it.
	Insecure        []string           `json:"insecure,omitempty"`
	Logs            []LogStatus        `json:"logs"`
	Control         ControlStatus      `json:"control"`
	Instances       []InstanceStatus   `json:"instances"`
	Models          []ModelStatus      `json:"models"`
	Targets         []TargetStatus     `json:"targets"`
	Waiting         []string           `json:"waiting,omitempty"`
	UnresolvedCalls []UnresolvedStatus `json:"unresolved_calls,omitempty"`
}

// LogStatus is the state of one replicated log as this instance sees it.
type LogStatus struct {
	Group   string   `json:"group"`
	Role    string   `json:"role"`
	Leader  string   `json:"leader,omitempty"`
	Term    uint64   `json:"term"`
	Commit  uint64   `json:"commit"`
	Applied uint64   `json:"applied"`
	Voters  []string `json:"voters,omitempty"`
}

// ControlStatus describes the controller of the data centre, as far as this instance knows it.
type ControlStatus struct {
	Holder        string `json:"holder,omitempty"`
	FencingNumber uint64 `json:"fence,omitempty"`
	OpenOrders    int    `json:"open_orders"`
}

// InstanceStatus is the state of one instance and how far it has applied the config log.
type InstanceStatus struct {
	Name         string `json:"name"`
	DataCentre   string `json:"data_centre"`
	Reachable    bool   `json:"reachable"`
	AppliedIndex uint64 `json:"applied"`
}

// ModelStatus counts the replicas of a model or adapter that is in force.
type ModelStatus struct {
	Name    string `json:"name"`
	Version string `json:"version"`
	Ready   int    `json:"ready"`
	Loading int    `json:"loading"`
}

// TargetStatus is the state of one target of this data centre.
type TargetStatus struct {
	Name          string   `json:"name"`
	Incarnation   uint64   `json:"incarnation"`
	Kind          string   `json:"kind"`
	State         string   `json:"state"`
	CapacityBytes int64    `json:"capacity_bytes,omitempty"`
	UsedBytes     int64    `json:"used_bytes,omitempty"`
	Residents     []string `json:"residents,omitempty"`
	InFlight      int      `json:"in_flight"`
}

// UnresolvedStatus is a non-idempotent call that is in progress or may have run.
type UnresolvedStatus struct {
	Caller  string `json:"caller"`
	Service string `json:"service"`
	Key     string `json:"key"`
	State   string `json:"state"`
	SinceMs int64  `json:"since_ms"`
}
