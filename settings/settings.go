// Package settings reads and validates the settings files of instances. It reports all findings at once.
package settings

import (
	"encoding/hex"
	"fmt"
	"net"
	"os"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/tarragonhoist/tarragonhoist/protocol/tomlfile"
)

// MaxVoters is the maximum number of voters of the replicated log.
const MaxVoters = 7

// Defaults of Settings.
const (
	DefaultDrainDelay         = 2 * time.Second
	DefaultTargetLease        = 4 * time.Second
	DefaultRequestTimeout     = 2 * time.Minute
	DefaultPeerBytesPerSecond = 28_000
)

// Duration is a time span written as "2s" or "500ms".
type Duration struct{ time.Duration }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Errorf("%q is not a duration such as \"2s\" or \"500ms\"", text)
	}
	d.Duration = v
	return nil
}

// Settings are the settings of one instance.
type Settings struct {
	Cluster    string   `toml:"cluster"`
	Instance   string   `toml:"instance"`
	DataCentre string   `toml:"data_centre"`
	DataFolder string   `toml:"data_folder"`
	ListenHTTP string   `toml:"listen_http"`
	ListenPeer string   `toml:"listen_peer"`
	Voters     []string `toml:"voters"`
	DrainDelay Duration `toml:"drain_delay"`
	// MemoryMB and MaxFDs are the memory and the descriptors of the process, of which clients may hold a part; 0 means no bound.
	MemoryMB           int            `toml:"memory_mb"`
	MaxFDs             int            `toml:"max_fds"`
	TargetLease        Duration       `toml:"target_lease"`
	RequestTimeout     Duration       `toml:"request_timeout"`
	PeerBytesPerSecond int            `toml:"peer_bytes_per_second"`
	Clients            InterfaceTimes `toml:"clients"`
	Peers              []Peer         `toml:"peer"`
	Callers            []Identity     `toml:"caller"`
	Operators          []Identity     `toml:"operator"`
	Store              Store          `toml:"store"`
	TLS                TLS            `toml:"tls"`
	Log                Log            `toml:"log"`
}

// Peer is one instance of the deployment. The list of peers includes the instance itself.
type Peer struct {
	Name       string `toml:"name"`
	DataCentre string `toml:"data_centre"`
	Address    string `toml:"address"`
	// HTTPAddress receives the requests that other data centres forward when they cannot serve them. Without it, none are
	// forwarded to this instance.
	HTTPAddress string `toml:"http_address"`
}

// Identity is a caller or an operator and the SHA-256 hash of its bearer token.
type Identity struct {
	Name        string `toml:"name"`
	TokenSHA256 string `toml:"token_sha256"`
}

// Store holds the limits on loading models and adapters from the model store, for the whole deployment.
type Store struct {
	LoadsPerSecond     float64 `toml:"loads_per_second"`
	LoadsAtOnce        int     `toml:"loads_at_once"`
	AdapterLoadsAtOnce int     `toml:"adapter_loads_at_once"`
}

// TLS holds the paths of the PEM files for mutual TLS between instances.
type TLS struct {
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
	Authority   string `toml:"authority"`
}

// Enabled reports whether connections between instances use TLS.
func (t TLS) Enabled() bool { return t.Certificate != "" }

// Log holds level and format of the log.
type Log struct {
	Level  string `toml:"level"`
	Format string `toml:"format"`
}

// Load reads and validates a settings file.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read the settings file")
	}
	s, findings := Parse(path, data)
	if len(findings) > 0 {
		return nil, findings
	}
	return s, nil
}

// Parse decodes and validates settings.
func Parse(file string, data []byte) (*Settings, tomlfile.Findings) {
	s := &Settings{
		DrainDelay:         Duration{DefaultDrainDelay},
		TargetLease:        Duration{DefaultTargetLease},
		RequestTimeout:     Duration{DefaultRequestTimeout},
		PeerBytesPerSecond: DefaultPeerBytesPerSecond,
		Clients:            DefaultInterfaceTimes(),
		Store:              Store{LoadsPerSecond: 3, LoadsAtOnce: 9, AdapterLoadsAtOnce: 70},
		Log:                Log{Level: "info", Format: "text"},
	}
	f := tomlfile.Decode(file, data, s)
	s.check(f)
	return s, f.Findings()
}

func (s *Settings) check(f *tomlfile.File) {
	required := []struct{ key, value string }{
		{"cluster", s.Cluster}, {"instance", s.Instance}, {"data_centre", s.DataCentre},
		{"listen_http", s.ListenHTTP}, {"listen_peer", s.ListenPeer},
	}
	for _, r := range required {
		if r.value == "" {
			f.Report(r.key, "missing")
		}
	}
	checkAddress(f, "listen_http", s.ListenHTTP)
	checkAddress(f, "listen_peer", s.ListenPeer)
	s.checkPeers(f)
	s.checkVoters(f)
	checkIdentities(f, "caller", s.Callers)
	checkIdentities(f, "operator", s.Operators)
	s.checkLimits(f)
	s.Clients.check(f)
	s.checkTLS(f)
	if _, err := logrus.ParseLevel(s.Log.Level); err != nil {
		f.Report("log.level", "%q is not a log level", s.Log.Level)
	}
	if s.Log.Format != "text" && s.Log.Format != "json" {
		f.Report("log.format", "%q is neither \"text\" nor \"json\"", s.Log.Format)
	}
}

func (s *Settings) checkPeers(f *tomlfile.File) {
	seen := make(map[string]bool)
	for i, p := range s.Peers {
		key := fmt.Sprintf("peer[%d]", i)
		if p.Name == "" {
			f.Report(key+".name", "missing")
		}
		if seen[p.Name] {
			f.Report(key+".name", "%q is listed twice", p.Name)
		}
		seen[p.Name] = true
		if p.DataCentre == "" {
			f.Report(key+".data_centre", "missing")
		}
		if p.Address == "" {
			f.Report(key+".address", "missing")
		}
		checkAddress(f, key+".address", p.Address)
		checkAddress(f, key+".http_address", p.HTTPAddress)
		if p.Name == s.Instance && p.DataCentre != s.DataCentre {
			f.Report(key+".data_centre", "%q differs from data_centre %q of this instance", p.DataCentre, s.DataCentre)
		}
	}
	if s.Instance != "" && !seen[s.Instance] {
		f.Report("peer", "this instance %q is not in the list of peers", s.Instance)
	}
}

func (s *Settings) checkVoters(f *tomlfile.File) {
	if len(s.Voters) == 0 {
		f.Report("voters", "missing: at least one instance with a disk must vote")
	}
	if len(s.Voters) > MaxVoters {
		f.Report("voters", "%d voters are listed, at most %d are allowed", len(s.Voters), MaxVoters)
	}
	for i, v := range s.Voters {
		if _, ok := s.Peer(v); !ok {
			f.Report("voters", "voter %q is not in the list of peers", v)
		}
		if slices.Contains(s.Voters[:i], v) {
			f.Report("voters", "voter %q is listed twice", v)
		}
	}
	if s.IsVoter() && s.DataFolder == "" {
		f.Report("data_folder", "missing: this instance is a voter and needs a folder for its log")
	}
}

func (s *Settings) checkLimits(f *tomlfile.File) {
	atLeastOneSecond := []struct {
		key string
		ok  bool
	}{
		{"target_lease", s.TargetLease.Duration >= time.Second},
		{"request_timeout", s.RequestTimeout.Duration >= time.Second},
	}
	for _, p := range atLeastOneSecond {
		if !p.ok {
			f.Report(p.key, "must be at least 1s")
		}
	}
	if s.DrainDelay.Duration < 0 {
		f.Report("drain_delay", "must not be negative")
	}
	if s.MemoryMB < 0 || s.MaxFDs != 0 && s.MaxFDs < MinMaxFDs {
		f.Report("max_fds", "must be 0 or at least %d, and memory_mb must not be negative", MinMaxFDs)
	}
	if s.PeerBytesPerSecond < 4096 {
		f.Report("peer_bytes_per_second", "must be at least 4096, which leader heartbeats and lease votes need")
	}
	if s.Store.LoadsPerSecond <= 0 {
		f.Report("store.loads_per_second", "must be larger than 0")
	}
	if s.Store.LoadsAtOnce < 1 {
		f.Report("store.loads_at_once", "must be at least 1")
	}
	if s.Store.AdapterLoadsAtOnce < 1 {
		f.Report("store.adapter_loads_at_once", "must be at least 1")
	}
}

func (s *Settings) checkTLS(f *tomlfile.File) {
	files := []struct{ key, path string }{
		{"tls.certificate", s.TLS.Certificate}, {"tls.key", s.TLS.Key}, {"tls.authority", s.TLS.Authority},
	}
	given := 0
	for _, file := range files {
		if file.path != "" {
			given++
		}
	}
	if given == 0 {
		return
	}
	for _, file := range files {
		if file.path == "" {
			f.Report(file.key, "missing: TLS needs certificate, key and authority")
			continue
		}
		if _, err := os.Stat(file.path); err != nil {
			f.Report(file.key, "%v", err)
		}
	}
}

func checkAddress(f *tomlfile.File, key, address string) {
	if address == "" {
		return
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		f.Report(key, "%q is not an address such as \"127.0.0.1:8080\"", address)
		return
	}
	if net.ParseIP(host) == nil {
		f.Report(key, "%q is not an IP address", host)
	}
}

func checkIdentities(f *tomlfile.File, table string, identities []Identity) {
	names, hashes := make(map[string]bool), make(map[string]bool)
	for i, id := range identities {
		key := fmt.Sprintf("%s[%d]", table, i)
		if id.Name == "" || names[id.Name] {
			f.Report(key+".name", "%q is missing or listed twice", id.Name)
		}
		names[id.Name] = true
		if hash, err := hex.DecodeString(id.TokenSHA256); err != nil || len(hash) != 32 {
			f.Report(key+".token_sha256", "is not a SHA-256 hash of 64 hexadecimal digits")
		}
		if hashes[id.TokenSHA256] {
			f.Report(key+".token_sha256", "has the same token hash as an earlier entry")
		}
		hashes[id.TokenSHA256] = true
	}
}

// Peer finds a peer by name.
func (s *Settings) Peer(name string) (Peer, bool) {
	i := slices.IndexFunc(s.Peers, func(p Peer) bool { return p.Name == name })
	if i < 0 {
		return Peer{}, false
	}
	return s.Peers[i], true
}

// IsVoter reports whether this instance is a voter of the replicated log.
func (s *Settings) IsVoter() bool { return slices.Contains(s.Voters, s.Instance) }

// InstancesOf returns the sorted names of the instances of a data centre, which elect the controller of the data
// centre.
func (s *Settings) InstancesOf(dataCentre string) []string {
	var names []string
	for _, p := range s.Peers {
		if p.DataCentre == dataCentre {
			names = append(names, p.Name)
		}
	}
	slices.Sort(names)
	return names
}

// DataCentres returns the sorted names of all data centres.
func (s *Settings) DataCentres() []string {
	var names []string
	for _, p := range s.Peers {
		if !slices.Contains(names, p.DataCentre) {
			names = append(names, p.DataCentre)
		}
	}
	slices.Sort(names)
	return names
}
