package routes

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func validDocument() *Document {
	return &Document{
		Version: 3,
		Routes: []Route{
			{Name: "all", Host: "a.example", PathPrefix: "/x/", Kind: Idempotent, Timeout: time.Second, Split: []WeightedService{{"one", 1}}},
			{Name: "deep", Host: "A.example", PathPrefix: "/x/y/", Kind: Stream, Timeout: time.Second, Split: []WeightedService{{"one", 9}, {"two", 1}}},
		},
		Services: []Service{{Name: "one"}, {Name: "two"}},
	}
}

// Guards against an invalid document that is accepted.
func TestCheckReportsEveryError(t *testing.T) {
	if findings := validDocument().Check(); len(findings) > 0 {
		t.Fatalf("findings %v for a valid document", findings)
	}
	cases := []struct {
		name       string
		invalidate func(*Document)
		want       string
	}{
		{"unknown service", func(d *Document) { d.Routes[0].Split[0].Service = "three" }, `service "three" does not exist`},
		{"same host and prefix", func(d *Document) { d.Routes[1].PathPrefix = "/x/" }, `already used by route "all"`},
		{"weights of zero", func(d *Document) { d.Routes[0].Split[0].Weight = 0 }, "weights add up to 0"},
		{"negative weight", func(d *Document) { d.Routes[1].Split[1].Weight = -1 }, "is negative"},
		{"no timeout", func(d *Document) { d.Routes[0].Timeout = 0 }, "timeout 0s is not positive"},
		{"no service", func(d *Document) { d.Routes[0].Split = nil }, "the route has no service"},
		{"unknown kind", func(d *Document) { d.Routes[0].Kind = "" }, "kind"},
		{"prefix without slash", func(d *Document) { d.Routes[0].PathPrefix = "/x" }, "slash"},
		{"no host", func(d *Document) { d.Routes[0].Host = "" }, "host is missing"},
		{"service twice", func(d *Document) { d.Services[1].Name = "one" }, "is used twice"},
		{"service without name", func(d *Document) { d.Services = append(d.Services, Service{}) }, "name is missing"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := validDocument()
			c.invalidate(d)
			if findings := d.Check(); !strings.Contains(findings.Error(), c.want) {
				t.Fatalf("findings %q, want one with %q", findings.Error(), c.want)
			}
		})
	}
}

// Guards against a request that gets the route of a shorter prefix, or none because its host has a port or other case.
func TestMatchTakesTheLongestPrefix(t *testing.T) {
	table := NewTable(validDocument())
	cases := []struct{ host, path, want string }{
		{"a.example", "/x/1", "all"},
		{"a.example", "/x/y/1", "deep"},
		{"A.EXAMPLE:80", "/x/y/", "deep"},
		{"a.example", "/x", ""},
		{"a.example", "/z/", ""},
		{"b.example", "/x/1", ""},
	}
	for _, c := range cases {
		got := ""
		if r := table.Match(c.host, c.path); r != nil {
			got = r.Name
		}
		if got != c.want {
			t.Errorf("%s%s: route %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

// Guards against requests that go to a service with weight 0, or to services not in proportion to their weights.
func TestPickFollowsTheWeights(t *testing.T) {
	r := Route{Split: []WeightedService{{"none", 0}, {"most", 9}, {"few", 1}, {"never", 0}}}
	counts := map[string]int{}
	const draws = 1000
	for i := range draws {
		counts[r.Pick(float64(i)/draws)]++
	}
	if diff := cmp.Diff(map[string]int{"most": 900, "few": 100}, counts); diff != "" {
		t.Fatal(diff)
	}
	if got := r.Pick(math.Nextafter(1, 0)); got != "few" {
		t.Fatalf("the highest draw picks %q, want the last service with a weight", got)
	}
}

// Guards against a lower version, or other content with the same version, that replaces the active document.
func TestStoreKeepsTheHighestVersion(t *testing.T) {
	var activated []uint64
	s := NewStore(func(p CompressedDocument) { activated = append(activated, p.Version) })
	propose := func(version uint64, text string) {
		t.Helper()
		p, err := Pack(version, []byte(text))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := s.Apply(0, p.Encode()); err != nil {
			t.Fatal(err)
		}
	}
	propose(5, "five")
	propose(4, "four")
	propose(5, "other")
	propose(9, "nine")
	snapshot, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := NewStore(func(CompressedDocument) {})
	if err := restored.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	for name, store := range map[string]*Store{"store": s, "restored": restored} {
		text, err := store.Active().Unpack()
		if err != nil || string(text) != "nine" {
			t.Errorf("%s: document %q, error %v; want document \"nine\"", name, text, err)
		}
	}
	if diff := cmp.Diff([]uint64{5, 9}, activated); diff != "" {
		t.Fatalf("versions passed to onChange:\n%s", diff)
	}
	if _, err := s.Apply(0, []byte{1}); err == nil {
		t.Error("a command shorter than a version was applied")
	}
	if _, err := (CompressedDocument{Version: 1, Data: []byte{0xff, 0xff}}).Unpack(); err == nil {
		t.Error("damaged data was unpacked")
	}
}
