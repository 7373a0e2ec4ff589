package streamorigin

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// simInstance is a control instance. It forgets all when it restarts without its disk.
type simInstance struct {
	table    *Table
	versions *Versions
	// reported is, by gateway, how much of its journal has arrived.
	reported map[*simGateway]uint64
	// down is set while the instance does not run, and disk is what it left then.
	down bool
	disk VersionHistory
}

func newSimInstance(now time.Time) *simInstance {
	return &simInstance{table: NewTable(), versions: NewVersions(now), reported: make(map[*simGateway]uint64)}
}

type simGateway struct{ journal *Journal }

// Guards against a stream that goes on at another version than the one that began it, in any order of releases, restarts of
// gateways and control instances, lost reports and unanswered queries.
func TestStreamsNeverChangeTheirVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		instances := make([]*simInstance, rapid.SampledFrom([]int{1, 3, 5}).Draw(t, "instances"))
		for i := range instances {
			instances[i] = newSimInstance(now)
		}
		gateways := []*simGateway{{NewJournal()}, {NewJournal()}}
		serving := []Origin{v1}
		began := make(map[ID]Origin)
		beganAt := make(map[ID]time.Time)
		var streams []ID
		observe := func() {
			for _, c := range instances {
				if c.down {
					continue
				}
				for _, o := range serving {
					c.versions.Observe(now, o)
				}
				c.versions.Forget(now)
			}
		}
		drawInstance := func(name string) int { return rapid.IntRange(0, len(instances)-1).Draw(t, name) }
		drawGateway := func() *simGateway { return rapid.SampledFrom(gateways).Draw(t, "gateway") }
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				id := IDOf(fmt.Sprint("attempt ", len(streams)))
				origin := rapid.SampledFrom(serving).Draw(t, "origin")
				streams, began[id], beganAt[id] = append(streams, id), origin, now
				drawGateway().journal.Add(Record{Stream: id, Origin: origin, ExpiresAt: now.Add(MinLife)})
			},
			"report": func(t *rapid.T) {
				g, c := drawGateway(), instances[drawInstance("instance")]
				if c.down {
					return
				}
				records, next, _ := g.journal.Since(now, c.reported[g], rapid.IntRange(1, 3).Draw(t, "limit"))
				for _, r := range records {
					c.table.Put(r)
				}
				c.reported[g] = next
			},
			"restart an instance": func(t *rapid.T) {
				i := drawInstance("instance")
				if instances[i].down {
					return
				}
				instances[i] = newSimInstance(now)
				observe()
			},
			"end or start an instance with its disk": func(t *rapid.T) {
				c := instances[drawInstance("instance")]
				if c.down {
					c.down, c.table, c.versions = false, NewTable(), NewVersions(now)
					c.reported = make(map[*simGateway]uint64)
					c.versions.Restore(now, c.disk)
					observe()
					return
				}
				down := 0
				for _, other := range instances {
					if other.down {
						down++
					}
				}
				if down < len(instances)/2 { // a majority knows each version that joins
					c.down, c.disk = true, c.versions.History(now)
				}
			},
			"restart all instances with their disks": func(*rapid.T) {
				for _, c := range instances {
					h := c.disk
					if !c.down {
						h = c.versions.History(now)
					}
					*c = *newSimInstance(now)
					c.versions.Restore(now, h)
				}
				observe()
			},
			"restart a gateway": func(t *rapid.T) {
				gateways[rapid.IntRange(0, len(gateways)-1).Draw(t, "gateway")] = &simGateway{NewJournal()}
			},
			"release": func(t *rapid.T) {
				serving = append(serving, Origin{"s", fmt.Sprint("v", len(serving)+1, now.Unix())})
				observe()
			},
			"old version leaves": func(t *rapid.T) {
				if len(serving) > 1 {
					observe()
					serving = serving[1:]
				}
			},
			"time": func(t *rapid.T) {
				for range rapid.IntRange(1, 90).Draw(t, "seconds") {
					now = now.Add(time.Second)
					observe()
				}
			},
			"take up": func(t *rapid.T) {
				if len(streams) == 0 {
					return
				}
				id := rapid.SampledFrom(streams).Draw(t, "stream")
				if now.Sub(beganAt[id]) > MinLife {
					return // the caller has given up
				}
				var answers []Answer
				for _, i := range rapid.SliceOfNDistinct(rapid.IntRange(0, len(instances)-1), 0, len(instances), rapid.ID[int]).Draw(t, "answering") {
					c := instances[i]
					if c.down {
						continue
					}
					var a Answer
					if a.Origin, a.Known = c.table.Get(now, id); !a.Known {
						a.Versions, a.Complete = c.versions.Of(now, "s")
					}
					answers = append(answers, a)
				}
				origin, verdict := Resolve("s", len(instances), answers)
				if verdict == Found && origin != began[id] {
					t.Fatalf("a stream that began at %v goes on at %v, answers %+v", began[id], origin, answers)
				}
			},
		})
	})
}
