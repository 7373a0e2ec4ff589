package settings_test

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/tarragonhoist/tarragonhoist/settings"
)

const validSettings = `cluster = "test"
instance = "a1"
data_centre = "a"
data_folder = "/tmp/a1"
listen_http = "127.0.0.1:8080"
listen_peer = "127.0.0.1:9080"
voters = ["a1"]

[[peer]]
name = "a1"
data_centre = "a"
address = "127.0.0.1:9080"
`

// Guards against valid settings that are rejected, and against wrong defaults.
func TestValidSettings(t *testing.T) {
	s, findings := settings.Parse("a.toml", []byte(validSettings))
	if len(findings) > 0 {
		t.Fatal(findings)
	}
	if !s.IsVoter() || s.TargetLease.Duration != settings.DefaultTargetLease {
		t.Errorf("unexpected settings %+v", s)
	}
}

// Guards against a check of settings that stops at the first finding.
func TestEveryFindingIsReported(t *testing.T) {
	text := strings.NewReplacer(
		`data_folder = "/tmp/a1"`, "colour = \"red\"\ntarget_lease = \"fast\"",
		`listen_http = "127.0.0.1:8080"`, `listen_http = "localhost:8080"`,
		`voters = ["a1"]`, `voters = ["a1", "b1"]`,
	).Replace(validSettings)
	_, findings := settings.Parse("a.toml", []byte(text))
	var keys []string
	for _, f := range findings {
		keys = append(keys, f.Key)
	}
	// data_folder is missing from the file, so its finding has line 0 and comes first.
	want := []string{"data_folder", "colour", "target_lease", "listen_http", "voters"}
	if diff := cmp.Diff(want, keys); diff != "" {
		t.Errorf("%s\n%s", diff, findings.Error())
	}
	if !strings.Contains(findings.Error(), "a.toml:5: target_lease") {
		t.Errorf("finding for target_lease has no file and line:\n%s", findings.Error())
	}
}

// Guards against times for clients that callers within the limits reach, against defaults that their own check refuses, and against
// settings that are lost.
func TestClientTimes(t *testing.T) {
	type row struct{ key, good, bad string }
	rows := []row{{"head_timeout", "3s", "2900ms"}, {"idle_timeout", "15s", "14s"}, {"stall_timeout", "2s", "1s"}, {"room_timeout", "1s", "0s"}}
	own := []row{{"body_timeout", "17s", "16s"}, {"event_timeout", "2s", "-1s"}}
	node := "name = \"g\"\ndata_centre = \"a\"\naddress = \"10.1.0.38\"\npeer_port = 7380\n"
	if _, findings := settings.ParseNode("n.toml", []byte(node)); len(findings) > 0 {
		t.Error(findings)
	}
	for _, r := range append(rows, own...) {
		table := func(value string) string { return "\n[clients]\n" + r.key + " = \"" + value + "\"\n" }
		if s, findings := settings.Parse("a.toml", []byte(validSettings+table(r.good))); len(findings) > 0 || s.Clients == settings.DefaultInterfaceTimes() {
			t.Errorf("%s = %s: findings %v, times %+v", r.key, r.good, findings, s.Clients)
		}
		if _, findings := settings.Parse("a.toml", []byte(validSettings+table(r.bad))); len(findings) != 1 || findings[0].Key != "clients."+r.key {
			t.Errorf("%s = %s: findings %v", r.key, r.bad, findings)
		}
	}
	for _, r := range rows {
		table := func(value string) string { return "\n[clients]\n" + r.key + " = \"" + value + "\"\n" }
		if n, findings := settings.ParseNode("n.toml", []byte(node+table(r.good))); len(findings) > 0 || n.Clients == settings.DefaultClientTimes() {
			t.Errorf("%s = %s: findings %v, times %+v", r.key, r.good, findings, n.Clients)
		}
		if _, findings := settings.ParseNode("n.toml", []byte(node+table(r.bad))); len(findings) != 1 || findings[0].Key != "clients."+r.key {
			t.Errorf("%s = %s: findings %v", r.key, r.bad, findings)
		}
	}
}
