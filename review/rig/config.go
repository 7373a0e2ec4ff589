package main

// The types below are the body of Config.Replace, as far as the scripts use it.

type config struct {
	Version  uint64       `json:"version"`
	Routes   []route      `json:"routes"`
	Services []service    `json:"services"`
	Limits   configLimits `json:"limits"`
}

type route struct {
	Name        string `json:"name"`
	Host        string `json:"host"`
	PathPrefix  string `json:"path_prefix"`
	Kind        string `json:"kind"`
	TimeoutMs   int    `json:"timeout_ms"`
	ObjectiveMs int    `json:"slo_ms"`
	Priority    int    `json:"priority"`
	Service     string `json:"service"`
	MaxAttempts int    `json:"max_attempts"`
	Sticky      bool   `json:"sticky"`
	Resumable   bool   `json:"resumable"`
	PauseMs     int    `json:"gap_target_ms,omitempty"`
}

type service struct {
	Name       string  `json:"name"`
	HealthPath string  `json:"health_path"`
	MaxConns   int     `json:"max_conns"`
	Protocol   string  `json:"protocol"`
	TLS        bool    `json:"tls"`
	Engine     *engine `json:"engine,omitempty"`
}

type engine struct {
	Slots        int     `json:"slots"`
	KVTokens     int     `json:"kv_tokens"`
	KVBytes      int     `json:"kv_bytes"`
	LinkMbps     float64 `json:"link_mbps"`
	Stride       int     `json:"stride"`
	Cap          int     `json:"cap"`
	WeightsMB    float64 `json:"weights_mb"`
	AdapterSlots int     `json:"adapter_slots"`
	LoadsPerS    float64 `json:"loads_per_s"`
	Models       []model `json:"models"`
}

type model struct {
	Name      string  `json:"name"`
	WeightsMB float64 `json:"weights_mb"`
	LoadS     float64 `json:"load_s"`
	Adapters  int     `json:"adapters"`
	AdapterMB float64 `json:"adapter_mb"`
	WarmS     float64 `json:"warm_s"`
	DiskS     float64 `json:"disk_s"`
}

type configLimits struct {
	HeaderBytes int `json:"header_bytes"`
	BodyBytes   int `json:"body_bytes"`
	HeaderMs    int `json:"header_ms"`
	IdleMs      int `json:"idle_ms"`
}

const (
	host        = "crew.example"
	assistant   = "net-assistant"
	desk        = "haul-desk"
	modelName   = "m0"
	healthPath  = "/health"
	bookingPath = "/haul-booking/"
	readingPath = "/tank-reading/"
	summaryPath = "/crew-summary/"
	headerLimit = 16384
)

// profile holds the figures in which the sites of the cases differ.
type profile struct {
	memoryMB, maxFDs         int // of a gateway
	replicas, slots, kvToken int // of the service with engines
	loadS                    float64
}

var (
	prairie = profile{memoryMB: 184, maxFDs: 4100, replicas: 60, slots: 24, kvToken: 53984, loadS: 2.8} // fogline-prairie-grown
	napred  = profile{memoryMB: 144, maxFDs: 3075, replicas: 90, slots: 12, kvToken: 36602, loadS: 5.8} // napred-wire-grown
)

// baseConfig has services and routes like those of the sites, under the names of fogline-prairie-grown, with one model.
func baseConfig(version uint64, p profile) *config {
	return &config{
		Version: version,
		Routes: []route{
			{Name: "crew-summary", Host: host, PathPrefix: summaryPath, Kind: "stream", TimeoutMs: 12000, ObjectiveMs: 400, Priority: 1, Service: assistant,
				MaxAttempts: 1, Sticky: true, PauseMs: 200},
			{Name: "haul-booking", Host: host, PathPrefix: bookingPath, Kind: "non_idempotent", TimeoutMs: 3000, ObjectiveMs: 300, Priority: 1, Service: desk, MaxAttempts: 1},
			{Name: "tank-reading", Host: host, PathPrefix: readingPath, Kind: "idempotent", TimeoutMs: 3000, ObjectiveMs: 300, Priority: 1, Service: desk, MaxAttempts: 2},
		},
		Services: []service{
			{Name: assistant, HealthPath: healthPath, MaxConns: 570, Protocol: "h1", Engine: &engine{Slots: p.slots, KVTokens: p.kvToken, KVBytes: 163840,
				LinkMbps: 550000, Stride: 8, Cap: 12, WeightsMB: 230000, AdapterSlots: 8, LoadsPerS: 11,
				Models: []model{{Name: modelName, WeightsMB: 65100, LoadS: p.loadS, AdapterMB: 12, WarmS: 0.45, DiskS: 0.59}}}},
			{Name: desk, HealthPath: healthPath, MaxConns: 470, Protocol: "h1"},
		},
		Limits: configLimits{HeaderBytes: headerLimit, BodyBytes: 4 << 20, HeaderMs: 3000, IdleMs: 15000},
	}
}
