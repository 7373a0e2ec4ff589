package settings

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const validNode = `
name = "front-a-1"
data_centre = "a"
address = "10.1.0.38"
peer_port = 7380
listen_callers = "10.1.0.38:8149"
listen_ready = "10.1.0.38:8141"
listen_control = ""
seeds = ["10.1.0.40:8144", "10.2.0.42:8144"]
first_start = true
data_folder = ""
memory_mb = 284
grace_s = 8.5
`

// Guards against peer names that differ from those under which other instances know the process, and against settings
// that are lost or get a wrong default.
func TestNodeNames(t *testing.T) {
	n, findings := ParseNode("node.toml", []byte(validNode))
	if len(findings) > 0 {
		t.Fatal(findings)
	}
	if diff := cmp.Diff([]string{"10.1.0.40:7380", "10.2.0.42:7380"}, n.SeedNames()); diff != "" || n.PeerName() != "10.1.0.38:7380" {
		t.Fatalf("peer name %s, seed names: %s", n.PeerName(), diff)
	}
	if n.LeaseMs != DefaultLeaseMs || n.Grace().Milliseconds() != 8500 || n.RepeatRatio != DefaultRepeatRatio || n.Log.Level != DefaultNodeLogLevel {
		t.Fatalf("unexpected settings %+v", n)
	}
}

// Guards against a template whose platform has no value for a number: the settings could not be read, or the number would be 0.
func TestNodeOptionalNumbers(t *testing.T) {
	for _, c := range []struct {
		text       string
		wantFDs    int
		wantWindow float64
	}{
		{"max_fds = []\nquota_window_s = []\nquota_excess = []", 0, DefaultQuotaWindowS},
		{"max_fds = [4100]\nquota_window_s = [5]\nquota_slack = [3.5]", 4100, 5},
	} {
		n, findings := ParseNode("node.toml", []byte(validNode+"\n[optional]\n"+c.text))
		if len(findings) > 0 || n.MaxFDs != c.wantFDs || n.QuotaWindowS != c.wantWindow {
			t.Errorf("%q: findings %v, %d descriptors, window %v; want %d and %v", c.text, findings, n.MaxFDs, n.QuotaWindowS, c.wantFDs, c.wantWindow)
		}
	}
}

// Guards against invalid settings that are accepted, and against a check that stops at the first finding.
func TestNodeFindings(t *testing.T) {
	cases := map[string]struct{ old, new, want string }{
		"no name":              {`name = "front-a-1"`, ``, "name: is required"},
		"no data centre":       {`data_centre = "a"`, ``, "data_centre: is required"},
		"host as address":      {`address = "10.1.0.38"`, `address = "localhost"`, "is not an IP address"},
		"no port":              {`peer_port = 7380`, ``, "0 is not a port between 1 and 65535"},
		"listen without port":  {`"10.1.0.38:8149"`, `"10.1.0.38"`, "is not host:port"},
		"seed without port":    {`"10.1.0.40:8144"`, `"10.1.0.40"`, "is not host:port"},
		"no readiness":         {`listen_ready = "10.1.0.38:8141"`, ``, "must be set if and only if listen_callers is set"},
		"control without disk": {`listen_control = ""`, `listen_control = "10.1.0.38:1"`, "is required for a control instance"},
		"negative memory":      {`memory_mb = 284`, `memory_mb = -1`, "must not be negative"},
		"few descriptors":      {`memory_mb = 284`, `max_fds = 100`, "max_fds: must be 0 or at least 128"},
		"no quota window":      {`memory_mb = 284`, `quota_window_s = 0`, "quota_window_s must be positive"},
		"two optional values":  {`memory_mb = 284`, "memory_mb = 284\n[optional]\nmax_fds = [4100, 4200]", "optional.max_fds: has 2 values"},
		"few optional":         {`memory_mb = 284`, "memory_mb = 284\n[optional]\nmax_fds = [100]", "max_fds: must be 0 or at least 128"},
		"unknown key":          {`memory_mb = 284`, `memory = 284`, "memory"},
		"wrong type":           {`peer_port = 7380`, `peer_port = "x"`, "peer_port"},
	}
	for name, c := range cases {
		if _, findings := ParseNode("node.toml", []byte(strings.Replace(validNode, c.old, c.new, 1))); !strings.Contains(findings.Error(), c.want) {
			t.Errorf("%s: findings %q, want %q", name, findings.Error(), c.want)
		}
	}
	twoInvalid := strings.NewReplacer(`name = "front-a-1"`, ``, `peer_port = 7380`, ``).Replace(validNode)
	if _, findings := ParseNode("node.toml", []byte(twoInvalid)); len(findings) != 2 {
		t.Errorf("findings %v, want 2", findings)
	}
	if _, err := LoadNode("does-not-exist.toml"); err == nil {
		t.Error("LoadNode returned no error for a missing file")
	}
}
