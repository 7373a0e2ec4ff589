package replica

import (
	"testing"
	"time"
)

// Guards against members that are cut off, or start with an empty disk or behind a snapshot, and name a time at which they
// had applied all commands although they had not.
func TestStatusNamesWhenAMemberWasCaughtUp(t *testing.T) {
	runInVirtualTime(t, func(c *cluster) {
		c.adjustOptions = func(o *Options) {
			dynamicOptions(true)(o)
			o.SnapshotEvery = 5
		}
		c.start("a", "b", "c")
		c.awaitLeader()
		want := []string{"0"}
		c.propose("a", "0")
		time.Sleep(time.Second)
		const recent = 400 * time.Millisecond
		age := func(name string) time.Duration { return time.Since(c.instances[name].Status().CaughtUpAt) }
		for name := range c.instances {
			if age(name) > recent {
				t.Fatalf("%s was caught up %v ago in a connected group", name, age(name))
			}
		}
		for _, cut := range []string{c.leader().opts.Self, "c"} {
			cutAt := time.Now()
			c.withLock(func() { c.isolated[cut] = true })
			time.Sleep(3 * time.Second)
			if at := c.instances[cut].Status().CaughtUpAt; at.Sub(cutAt) > recent {
				t.Errorf("%s was caught up %v after it was cut off", cut, at.Sub(cutAt))
			}
			proposer := "a"
			if cut == "a" {
				proposer = "b"
			}
			for range 20 { // more than a snapshot
				want = append(want, "x")
				c.propose(proposer, "x")
			}
			healed := time.Now()
			c.withLock(func() { delete(c.isolated, cut) })
			c.await("contact", 10*time.Second, func() bool {
				at, applied := c.instances[cut].Status().CaughtUpAt, len(c.instances[cut].machine.list())
				if at.After(healed) && applied < len(want) {
					t.Fatalf("%s claims to be caught up %v after the cut with %d of %d commands", cut, at.Sub(healed), applied, len(want))
				}
				return at.After(healed)
			})
		}
		c.adjustOptions = dynamicOptions(false)
		c.stop("b")
		c.loseDisk("c") // without a majority, so that it can't join
		time.Sleep(2 * time.Second)
		if at := c.instances["c"].Status().CaughtUpAt; !at.IsZero() {
			t.Errorf("an instance that is no member was caught up at %v", at)
		}
	}, "a", "b", "c")
}
