package routes

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func changeLines(changes []Change) []string {
	var lines []string
	for _, c := range changes {
		lines = append(lines, string(c.Section)+"|"+c.Location+"|"+c.Message)
	}
	return lines
}

// Guards against a change that operators are not told of, and against one that is reported although nothing differs.
func TestDiffReportsEachChange(t *testing.T) {
	one := 1
	for _, c := range []struct {
		name   string
		change func(*Document)
		want   []string
	}{
		{"nothing but the version", func(*Document) {}, nil},
		{"account added", func(d *Document) {
			d.Accounts = append(d.Accounts, Account{Name: "new", Keys: []KeyDigest{DigestKey("k9")}, Rank: &one})
		},
			[]string{"accounts|account new|added, with 1 key, rank 1, quota without limit"}},
		{"account removed", func(d *Document) { d.Accounts = d.Accounts[1:] }, []string{"accounts|account large|removed, with 2 keys"}},
		{"all accounts removed", func(d *Document) { d.Accounts = nil },
			[]string{"accounts|accounts|callers need no key any more", "accounts|account large|removed, with 2 keys", "accounts|account small|removed, with 1 key"}},
		{"keys replaced", func(d *Document) { d.Accounts[0].Keys = []KeyDigest{DigestKey("k2"), DigestKey("k8"), DigestKey("k9")} },
			[]string{"accounts|account large|2 keys added, 1 key removed"}},
		{"keys in another order", func(d *Document) { d.Accounts[0].Keys = []KeyDigest{DigestKey("k2"), DigestKey("k1")} }, nil},
		{"rank", func(d *Document) { d.Accounts[1].Rank = &one }, []string{"accounts|account small|rank of the route -> 1"}},
		{"quota", func(d *Document) { d.Accounts[0].Quota.PerSecond = 950 },
			[]string{"accounts|account large|quota 1900 tokens/s with a burst of 1900, 100 without token counts -> 950 tokens/s with a burst of 1900, 100 without token counts"}},
		{"quota removed", func(d *Document) { d.Accounts[0].Quota = Quota{} },
			[]string{"accounts|account large|quota 1900 tokens/s with a burst of 1900, 100 without token counts -> without limit"}},
		{"accounts in another order", func(d *Document) { d.Accounts[0], d.Accounts[1] = d.Accounts[1], d.Accounts[0] }, nil},
		{"route added", func(d *Document) {
			d.Routes = append(d.Routes, Route{Name: "new", Host: "b", PathPrefix: "/", Kind: Idempotent, Split: []WeightedService{{"plain", 3}, {"engine", 1}}})
		},
			[]string{"routes|route new (b/)|added, idempotent, services plain:3,engine:1"}},
		{"route removed", func(d *Document) { d.Routes = d.Routes[:1] }, []string{"routes|route pay (a.example/pay/)|removed"}},
		{"route renamed", func(d *Document) { d.Routes[1].Name = "paid" }, []string{"routes|route paid (a.example/pay/)|name pay -> paid"}},
		{"route to another host", func(d *Document) { d.Routes[1].Host = "b" },
			[]string{"routes|route pay (a.example/pay/)|removed", "routes|route pay (b/pay/)|added, non-idempotent, services plain"}},
		{"every field of a route", func(d *Document) {
			d.Routes[0] = Route{Name: "chat", Host: "A.example", PathPrefix: "/chat/", Kind: Idempotent, Timeout: time.Second, Objective: 1, PauseObjective: 2, Rank: 3,
				MaxAttempts: 4, PrefixAffinity: true, AllowAnonymous: true, Split: []WeightedService{{"plain", 2}}}
		}, []string{"routes|route chat (a.example/chat/)|kind stream -> idempotent", "routes|route chat (a.example/chat/)|services engine -> plain:2",
			"routes|route chat (a.example/chat/)|timeout 10s -> 1s", "routes|route chat (a.example/chat/)|objective 400ms -> 1ns",
			"routes|route chat (a.example/chat/)|pause objective 200ms -> 2ns", "routes|route chat (a.example/chat/)|rank 0 -> 3",
			"routes|route chat (a.example/chat/)|attempts 2 -> 4", "routes|route chat (a.example/chat/)|prefix affinity false -> true",
			"routes|route chat (a.example/chat/)|resumable true -> false", "routes|route chat (a.example/chat/)|anonymous callers false -> true"}},
		{"service added and removed", func(d *Document) { d.Services[0].Name = "flat" }, []string{"services|service plain|removed", "services|service flat|added, a plain service"}},
		{"fields of a service", func(d *Document) { d.Services[0].HealthPath, d.Services[0].MaxConnections = "/up", 3 },
			[]string{"services|service plain|health path  -> /up", "services|service plain|connections to a target 0 -> 3"}},
		{"engine removed", func(d *Document) { d.Services[1].Engine = nil }, []string{"services|service engine|is an engine with 2 models -> a plain service"}},
		{"fields of an engine", func(d *Document) {
			*d.Services[1].Engine = Engine{Slots: 1, KVTokens: 2, CapacityMB: 3, AdapterSlots: 5, LoadsPerSecond: 6, Models: d.Services[1].Engine.Models}
		},
			[]string{"services|service engine|slots 12 -> 1", "services|service engine|tokens of memory 0 -> 2", "services|service engine|MB of memory 1000 -> 3",
				"services|service engine|adapter slots 4 -> 5", "services|service engine|loads per second 0 -> 6"}},
		{"models", func(d *Document) {
			d.Services[1].Engine.Models = []Model{{Name: "m3", WeightsMB: 5}, {Name: "m1", WeightsMB: 1, LoadTime: 2, DiskLoadTime: 3, MemoryLoadTime: 4, Adapters: 5, AdapterMB: 6}}
		},
			[]string{"services|service engine, model m2|removed", "services|service engine, model m3|added, 5 MB", "services|service engine, model m1|MB of weights 300 -> 1",
				"services|service engine, model m1|load time from the store 0s -> 2ns", "services|service engine, model m1|load time from disk 0s -> 3ns",
				"services|service engine, model m1|load time from memory 0s -> 4ns", "services|service engine, model m1|adapters 4 -> 5", "services|service engine, model m1|MB of an adapter 10 -> 6"}},
		{"limits", func(d *Document) { d.Limits = Limits{HeaderBytes: 1, BodyBytes: 2, HeaderTime: 3, IdleTime: 4} },
			[]string{"limits|limits|bytes of headers 0 -> 1", "limits|limits|bytes of a body 0 -> 2", "limits|limits|time for the headers 0s -> 3ns", "limits|limits|idle time 0s -> 4ns"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			next := plainDocument()
			next.Version = 8
			c.change(next)
			want := append([]string{"version|version|7 -> 8"}, c.want...)
			if diff := cmp.Diff(want, changeLines(Diff(plainDocument(), next))); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Guards against a version that goes back, or stays, and that operators take for one that comes into force.
func TestDiffOfVersionsThatDoNotRise(t *testing.T) {
	for next, want := range map[uint64]string{6: "goes back from 7 to 6; the server keeps 7", 7: "stays 7; the server keeps the document in force"} {
		d := plainDocument()
		d.Version = next
		if got := Diff(plainDocument(), d); len(got) != 1 || got[0].Message != want {
			t.Errorf("version %d: changes %v, want %q", next, got, want)
		}
	}
}

// Guards against changes out of the order in which operators ask for them, and against digests of keys in them.
func TestDiffKeepsTheOrderOfSectionsAndNamesNoKey(t *testing.T) {
	empty := &Document{Version: 1}
	full := plainDocument()
	full.Limits.BodyBytes = 1
	order := []Section{SectionVersion, SectionAccounts, SectionRoutes, SectionServices, SectionLimits}
	for name, changes := range map[string][]Change{"added": Diff(empty, full), "removed": Diff(full, empty)} {
		var sections []Section
		for _, c := range changes {
			if len(sections) == 0 || sections[len(sections)-1] != c.Section {
				sections = append(sections, c.Section)
			}
			for _, a := range full.Accounts {
				for _, k := range a.Keys {
					if text := c.Location + c.Message; strings.Contains(text, fmt.Sprintf("%x", k[:4])) || strings.Contains(text, fmt.Sprint(k[:4])) {
						t.Errorf("%s: %q holds a digest", name, text)
					}
				}
			}
		}
		if diff := cmp.Diff(order, sections); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
	}
}
