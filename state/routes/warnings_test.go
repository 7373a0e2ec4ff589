package routes

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// plainDocument has accounts, a plain service and an engine, and no warnings.
func plainDocument() *Document {
	return &Document{
		Version: 7,
		Accounts: []Account{
			{Name: "large", Keys: []KeyDigest{DigestKey("k1"), DigestKey("k2")}, Quota: Quota{PerSecond: 1900, Burst: 1900, Unit: Tokens, DefaultTokens: 100}},
			{Name: "small", Keys: []KeyDigest{DigestKey("k3")}},
		},
		Routes: []Route{
			{Name: "chat", Host: "a.example", PathPrefix: "/chat/", Kind: Stream, Timeout: 10 * time.Second, Objective: 400 * time.Millisecond,
				PauseObjective: 200 * time.Millisecond, MaxAttempts: 2, Resumable: true, Split: []WeightedService{{"engine", 1}}},
			{Name: "pay", Host: "a.example", PathPrefix: "/pay/", Kind: NonIdempotent, Timeout: time.Second, Objective: 100 * time.Millisecond,
				MaxAttempts: 1, Split: []WeightedService{{"plain", 1}}},
		},
		Services: []Service{
			{Name: "plain"},
			{Name: "engine", Engine: &Engine{Slots: 12, CapacityMB: 1000, AdapterSlots: 4, Models: []Model{
				{Name: "m1", WeightsMB: 300, Adapters: 4, AdapterMB: 10}, {Name: "m2", WeightsMB: 1000}}}},
		},
	}
}

// Guards against a warning for a sound document, which would make operators ignore warnings, against an element without effect or a
// contradiction that is not reported, and against other warnings beside the one that is meant.
func TestWarnings(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*Document)
		want   []string // rule, location, and a part of the message
	}{
		{"none", func(*Document) {}, nil},
		{"account without keys", func(d *Document) { d.Accounts[1].Keys = nil }, []string{"account-without-keys|account 1 (small)|no keys"}},
		{"empty key", func(d *Document) { d.Accounts[1].Keys = append(d.Accounts[1].Keys, DigestKey("")) }, []string{"key-empty|account 1 (small)|key 1 is empty"}},
		{"key twice", func(d *Document) { d.Accounts[0].Keys[1] = d.Accounts[0].Keys[0] }, []string{"key-twice|account 0 (large)|key 1 is the same as key 0"}},
		{"negative rate", func(d *Document) { d.Accounts[1].Quota.PerSecond = -1 }, []string{"quota-negative|account 1 (small)|has no limit"}},
		{"negative burst", func(d *Document) { d.Accounts[0].Quota.Burst = -1 }, []string{"quota-negative|account 0 (large)|burst -1"}},
		{"burst without rate", func(d *Document) { d.Accounts[1].Quota.Burst = 5 }, []string{"burst-without-rate|account 1 (small)|no effect"}},
		{"tokens without a default", func(d *Document) { d.Accounts[0].Quota.DefaultTokens = 0 }, []string{"quota-without-default|account 0 (large)|without token counts"}},
		{"tokens below a request", func(d *Document) {
			d.Accounts[0].Quota = Quota{PerSecond: 10, Burst: 19, Unit: Tokens, DefaultTokens: 100}
		},
			[]string{"quota-below-request|account 0 (large)|allow 99 tokens, less than one request, which uses 100"}},
		{"tokens of exactly a request", func(d *Document) {
			d.Accounts[0].Quota = Quota{PerSecond: 10, Burst: 20, Unit: Tokens, DefaultTokens: 100}
		}, nil},
		{"requests below one", func(d *Document) { d.Accounts[1].Quota.PerSecond = 0.1 }, []string{"quota-below-request|account 1 (small)|allow 0.8 requests"}},
		{"host with a scheme", func(d *Document) { d.Routes[0].Host = "http://a.example" }, []string{`route-never-matches|route 0 (chat)|holds "/"`}},
		{"wildcard host", func(d *Document) { d.Routes[0].Host = "*.example" }, []string{`route-never-matches|route 0 (chat)|holds "*"`}},
		{"prefix with a query", func(d *Document) { d.Routes[0].PathPrefix = "/chat?x=/" }, []string{`route-never-matches|route 0 (chat)|holds "?"`}},
		{"prefix with a space", func(d *Document) { d.Routes[0].PathPrefix = "/my chat/" }, []string{`route-never-matches|route 0 (chat)|holds " "`}},
		{"host with port beside the host", func(d *Document) { d.Routes[1].Host = "A.example:443" }, []string{`host-with-port|route 1 (pay)|never route "chat" of host "A.example"`}},
		{"host with port alone", func(d *Document) { d.Routes[0].Host, d.Routes[1].Host = "b:443", "b:443" }, nil},
		{"weight 0", func(d *Document) { d.Routes[0].Split = append(d.Routes[0].Split, WeightedService{"plain", 0}) }, []string{`weight-zero|route 0 (chat)|"plain" has weight 0`}},
		{"service twice in a route", func(d *Document) { d.Routes[1].Split = []WeightedService{{"plain", 1}, {"plain", 1}} }, []string{"service-twice|route 1 (pay)|add up"}},
		{"timeout below objective", func(d *Document) { d.Routes[1].Objective = 1001 * time.Millisecond }, []string{"timeout-below-objective|route 1 (pay)|1s is below the objective 1.001s"}},
		{"timeout below pause", func(d *Document) { d.Routes[0].PauseObjective = 11 * time.Second }, []string{"timeout-below-pause|route 0 (chat)|below the pause objective 11s"}},
		{"attempts of a request that runs once", func(d *Document) { d.Routes[1].MaxAttempts = 3 }, []string{"attempts-without-effect|route 1 (pay)|3 attempts"}},
		{"attempts of a stream that can't resume", func(d *Document) { d.Routes[0].Resumable = false }, []string{"attempts-without-effect|route 0 (chat)|unless the route is resumable"}},
		{"attempts of an idempotent request", func(d *Document) { d.Routes[1].Kind, d.Routes[1].MaxAttempts = Idempotent, 3 }, nil},
		{"service without route", func(d *Document) { d.Services = append(d.Services, Service{Name: "old"}) }, []string{"service-without-route|service 2 (old)|no route"}},
		{"models without route", func(d *Document) { d.Routes[0].Split[0].Service = "plain" },
			[]string{"service-without-route|service 1 (engine)|no route", "model-without-route|service 1 (engine)|models (2: m1, m2)"}},
		{"service with weight 0 only", func(d *Document) { d.Routes[1].Split = []WeightedService{{"engine", 1}, {"plain", 0}} },
			[]string{"weight-zero|route 1 (pay)|plain", "service-without-route|service 0 (plain)|no route"}},
		{"model twice", func(d *Document) { d.Services[1].Engine.Models[1].Name = "m1" }, []string{"model-twice|service 1 (engine), model 1 (m1)|never used"}},
		{"engine without models", func(d *Document) { d.Services[1].Engine.Models = nil }, []string{"engine-without-models|service 1 (engine)|no models"}},
		{"model larger than a target", func(d *Document) { d.Services[1].Engine.Models[1].WeightsMB = 1001 },
			[]string{"model-larger-than-memory|service 1 (engine), model 1 (m2)|1001 MB, but a target has 1000 MB"}},
		{"adapter beside the weights larger than a target", func(d *Document) { d.Services[1].Engine.Models[0].AdapterMB = 701 },
			[]string{"adapter-larger-than-memory|service 1 (engine), model 0 (m1)|1001 MB"}},
		{"adapters without slots", func(d *Document) { d.Services[1].Engine.AdapterSlots = 0 },
			[]string{"adapters-without-slots|service 1 (engine)|models (1: m1) have adapters, but a target holds none"}},
		{"more adapters than slots of one target", func(d *Document) { d.Services[1].Engine.Models[0].Adapters = 9 }, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := plainDocument()
			c.change(d)
			if findings := d.Check(); len(findings) > 0 {
				t.Fatalf("the document has errors: %v", findings)
			}
			warnings := d.Warnings()
			if len(warnings) != len(c.want) {
				t.Fatalf("warnings %+v, want %q", warnings, c.want)
			}
			for i, w := range warnings {
				parts := strings.SplitN(c.want[i], "|", 3)
				if w.Rule != parts[0] || w.Location != parts[1] || !strings.Contains(w.Message, parts[2]) {
					t.Errorf("warning %+v, want %q", w, c.want[i])
				}
			}
		})
	}
}

// Guards against a host or prefix that is reported as one that never matches, although a request can have it.
func TestReportedRoutesMatchNoRequest(t *testing.T) {
	for _, c := range []struct{ host, prefix, requestHost, path string }{
		{"A.example", "/x/", "a.example", "/x/1"},
		{"a_b.example", "/x%20y/", "a_b.example", "/x%20y/1"},
		{"10.0.0.1", "/x;v=1/", "10.0.0.1:80", "/x;v=1/1"},
		{"[::1]", "/x*/", "[::1]", "/x*/1"},
		{"a.example:443", "/é/", "a.example:443", "/é/1"},
	} {
		d := &Document{Version: 1, Services: []Service{{Name: "s"}}, Routes: []Route{
			{Name: "r", Host: c.host, PathPrefix: c.prefix, Kind: Idempotent, Timeout: time.Second, MaxAttempts: 1, Split: []WeightedService{{"s", 1}}}}}
		if warnings := d.Warnings(); len(warnings) > 0 || NewTable(d).Match(c.requestHost, c.path) == nil {
			t.Errorf("host %q and prefix %q: warnings %v, route of %s%s: %v", c.host, c.prefix, warnings, c.requestHost, c.path, NewTable(d).Match(c.requestHost, c.path))
		}
	}
}

// Guards against a check that passes for complete although the document does not hold what it needs.
func TestUncheckedNamesWhatDependsOnTargets(t *testing.T) {
	d := plainDocument()
	d.Accounts[0].Quota = Quota{}
	if diff := cmp.Diff([]string(nil), d.Unchecked()); diff != "" {
		t.Error(diff)
	}
	d = plainDocument()
	d.Services[1].Engine.Models[0].Adapters = 9
	for i, want := range []string{"number of targets nor their speed", "the default of 8s is assumed", "the 9 adapters of model m1 need 3 targets with 4 slots each"} {
		if got := d.Unchecked(); len(got) != 3 || !strings.Contains(got[i], want) {
			t.Errorf("unchecked %q, want %q", got, want)
		}
	}
}
