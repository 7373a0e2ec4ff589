package replica

import (
	"slices"
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

// Guards against members on the side of the old leader that pass for caught up long after the other side has committed a
// command: gateways that watch them have to leave them within the bound of the configuration's age.
func TestMembersBesideTheOldLeaderAreNotCaughtUpForLong(t *testing.T) {
	worst := time.Duration(-time.Hour)
	for seed := range uint64(10) {
		names := []string{"a", "b", "c", "d", "e"}
		runInVirtualTime(t, func(c *cluster) {
			c.seed = 100 * seed
			c.adjustOptions = func(o *Options) {
				o.ElectionTimeout, o.HeartbeatInterval = 700*time.Millisecond, 120*time.Millisecond
			}
			c.start(names...)
			old := c.awaitLeader().opts.Self
			c.propose(old, "before")
			time.Sleep(time.Second + time.Duration(seed)*7*time.Millisecond)
			followers := slices.DeleteFunc(slices.Clone(names), func(name string) bool { return name == old })
			minority, majority := []string{old, followers[0]}, followers[1:]
			c.withLock(func() {
				for _, name := range minority {
					c.split[name] = true
				}
			})
			// Proposals on the new leader's side, until one succeeds.
			var committedAt time.Time
			c.await("a command on the other side", 10*time.Second, func() bool {
				for _, name := range majority {
					if c.instances[name].Status().Role == "leader" {
						c.propose(name, "after")
						committedAt = time.Now()
						return true
					}
				}
				return false
			})
			time.Sleep(3 * time.Second)
			for _, name := range minority {
				after := c.instances[name].Status().CaughtUpAt.Sub(committedAt)
				worst = max(worst, after)
				if after > 300*time.Millisecond {
					t.Errorf("seed %d: %s was caught up %v after the other side had committed a command", seed, name, after)
				}
			}
		}, names...)
	}
	t.Logf("latest: %v after the other side had committed a command", worst)
}
