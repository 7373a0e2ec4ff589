package settings

import (
	"net"
	"os"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/protocol/tomlfile"
)

// Node holds the settings of a gateway or control instance, which discovers the other instances through its seeds.
type Node struct {
	Name       string `toml:"name"`
	DataCentre string `toml:"data_centre"`
	// Address and PeerPort are the address on which other instances reach this one. The port is the same for all
	// instances.
	Address  string `toml:"address"`
	PeerPort int    `toml:"peer_port"`
	// ListenCallers and ListenReady are set for gateways, ListenControl for control instances.
	ListenCallers string `toml:"listen_callers"`
	ListenReady   string `toml:"listen_ready"`
	ListenControl string `toml:"listen_control"`
	ListenMetrics string `toml:"listen_metrics"`
	// Seeds are the addresses of the control instances to contact first. Their ports are replaced by PeerPort.
	Seeds []string `toml:"seeds"`
	// FirstStart is true only when the whole deployment starts for the first time.
	FirstStart bool   `toml:"first_start"`
	DataFolder string `toml:"data_folder"`
	MemoryMB   int    `toml:"memory_mb"`
	// MaxFDs is the number of file descriptors that the process may open; 0 leaves the limit of the system in force.
	MaxFDs int `toml:"max_fds"`
	// LeaseMs is the minimum time between the last order of one control instance and the first order of its successor.
	LeaseMs int `toml:"lease_ms"`
	// GraceSeconds is the time between SIGTERM and the kill of the process.
	GraceSeconds float64 `toml:"grace_s"`
	// Retries to a service within RepeatWindowS are limited to RepeatRatio times its requests plus RepeatSlack.
	RepeatRatio   float64 `toml:"repeat_ratio"`
	RepeatSlack   float64 `toml:"repeat_slack"`
	RepeatWindowS float64 `toml:"repeat_window_s"`
	// Quotas of client accounts are counted over any QuotaWindowS. QuotaExcess, a share, and QuotaSlack, in units, are how far all
	// gateways together may exceed one.
	QuotaWindowS float64 `toml:"quota_window_s"`
	QuotaExcess  float64 `toml:"quota_excess"`
	QuotaSlack   float64 `toml:"quota_slack"`
	// SlowStart bounds the requests to targets that have just started or returned.
	SlowStart bool `toml:"slow_start"`
	// Optional holds some of the numbers above as lists of one value or none: a template that has no value for a number leaves its list
	// empty.
	Optional OptionalNumbers `toml:"optional"`
	Clients  ClientTimes     `toml:"clients"`
	Log      Log             `toml:"log"`
}

// OptionalNumbers are settings for which a platform may have no value. Those with one replace the settings of the same name.
type OptionalNumbers struct {
	MaxFDs       []int     `toml:"max_fds"`
	QuotaWindowS []float64 `toml:"quota_window_s"`
	QuotaExcess  []float64 `toml:"quota_excess"`
	QuotaSlack   []float64 `toml:"quota_slack"`
}

// apply sets the numbers that have a value.
func (o *OptionalNumbers) apply(n *Node, f *tomlfile.File) {
	setOptional(f, "max_fds", &n.MaxFDs, o.MaxFDs)
	setOptional(f, "quota_window_s", &n.QuotaWindowS, o.QuotaWindowS)
	setOptional(f, "quota_excess", &n.QuotaExcess, o.QuotaExcess)
	setOptional(f, "quota_slack", &n.QuotaSlack, o.QuotaSlack)
}

func setOptional[T any](f *tomlfile.File, key string, setting *T, values []T) {
	switch len(values) {
	case 0:
	case 1:
		*setting = values[0]
	default:
		f.Report("optional."+key, "has %d values, at most one is possible", len(values))
	}
}

// Defaults of Node.
const (
	DefaultLeaseMs       = 3000
	DefaultGraceSeconds  = 8
	DefaultRepeatRatio   = 0.2
	DefaultRepeatSlack   = 50
	DefaultRepeatWindowS = 10
	DefaultQuotaWindowS  = 8
	// MinMaxFDs leaves room for listeners, files and connections between processes.
	MinMaxFDs = 128
	// DefaultNodeLogLevel includes the events of each request.
	DefaultNodeLogLevel = "debug"
)

// LoadNode reads and validates the settings file of a gateway or control instance.
func LoadNode(path string) (*Node, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read the settings file")
	}
	n, findings := ParseNode(path, data)
	if len(findings) > 0 {
		return nil, findings
	}
	return n, nil
}

// ParseNode decodes and validates the settings of a gateway or control instance.
func ParseNode(name string, data []byte) (*Node, tomlfile.Findings) {
	n := &Node{
		LeaseMs: DefaultLeaseMs, GraceSeconds: DefaultGraceSeconds, RepeatRatio: DefaultRepeatRatio,
		RepeatSlack: DefaultRepeatSlack, RepeatWindowS: DefaultRepeatWindowS, QuotaWindowS: DefaultQuotaWindowS, Clients: DefaultClientTimes(), Log: Log{Level: DefaultNodeLogLevel, Format: "json"},
	}
	f := tomlfile.Decode(name, data, n)
	n.Optional.apply(n, f)
	if n.Name == "" {
		f.Report("name", "is required")
	}
	if n.DataCentre == "" {
		f.Report("data_centre", "is required")
	}
	if net.ParseIP(n.Address) == nil {
		f.Report("address", "%q is not an IP address", n.Address)
	}
	if n.PeerPort < 1 || n.PeerPort > 65535 {
		f.Report("peer_port", "%d is not a port between 1 and 65535", n.PeerPort)
	}
	for key, address := range map[string]string{"listen_callers": n.ListenCallers, "listen_ready": n.ListenReady,
		"listen_control": n.ListenControl, "listen_metrics": n.ListenMetrics} {
		if _, _, err := net.SplitHostPort(address); address != "" && err != nil {
			f.Report(key, "%q is not host:port", address)
		}
	}
	for _, seed := range n.Seeds {
		if _, _, err := net.SplitHostPort(seed); err != nil {
			f.Report("seeds", "%q is not host:port", seed)
		}
	}
	if (n.ListenCallers == "") != (n.ListenReady == "") {
		f.Report("listen_ready", "must be set if and only if listen_callers is set")
	}
	if n.ListenControl != "" && n.DataFolder == "" {
		f.Report("data_folder", "is required for a control instance")
	}
	if n.RepeatRatio < 0 || n.RepeatSlack < 0 || n.RepeatWindowS <= 0 {
		f.Report("repeat_window_s", "repeat_window_s must be positive, repeat_ratio and repeat_slack must not be negative")
	}
	if n.QuotaWindowS <= 0 || n.QuotaExcess < 0 || n.QuotaSlack < 0 {
		f.Report("quota_window_s", "quota_window_s must be positive, quota_excess and quota_slack must not be negative")
	}
	if n.LeaseMs < 0 || n.GraceSeconds < 0 || n.MemoryMB < 0 {
		f.Report("lease_ms", "lease_ms, grace_s and memory_mb must not be negative")
	}
	if n.MaxFDs != 0 && n.MaxFDs < MinMaxFDs {
		f.Report("max_fds", "must be 0 or at least %d", MinMaxFDs)
	}
	n.Clients.check(f)
	return n, f.Findings()
}

// PeerName returns the name under which other instances know this one: its address and peer port.
func (n *Node) PeerName() string { return net.JoinHostPort(n.Address, strconv.Itoa(n.PeerPort)) }

// SeedNames returns the peer names of the seeds.
func (n *Node) SeedNames() []string {
	names := make([]string, 0, len(n.Seeds))
	for _, seed := range n.Seeds {
		if host, _, err := net.SplitHostPort(seed); err == nil {
			names = append(names, net.JoinHostPort(host, strconv.Itoa(n.PeerPort)))
		}
	}
	return names
}

// Grace returns GraceSeconds as a duration.
func (n *Node) Grace() time.Duration { return time.Duration(n.GraceSeconds * float64(time.Second)) }
