package replica

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// catchUpLimit is the time after the start of a successor within which the group has to bear the full number of losses
// again, and recoveryLimit the time within which it has to serve again after a loss that it bears.
const (
	catchUpLimit  = 6 * time.Second
	recoveryLimit = 15 * time.Second
)

// startMachines starts a dynamic group of n instances, three of which are its founders, and waits until it has as many
// voters as it takes.
func (c *cluster) startMachines(n int) []string {
	c.t.Helper()
	c.adjustOptions = dynamicOptions(true)
	names := []string{"a", "b", "c"}
	c.start(names...)
	c.awaitLeader()
	c.adjustOptions = dynamicOptions(false)
	for i := len(names); i < n; i++ {
		names = append(names, fmt.Sprint("m", i))
		c.start(names[i])
	}
	c.await("all places are taken", 20*time.Second, func() bool { return len(c.leader().Status().Voters) == min(n, 7) })
	return names
}

// replace stops an instance for good and starts a successor with another name and an empty disk one second later.
func (c *cluster) replace(name, successor string) {
	c.stop(name)
	time.Sleep(time.Second)
	c.setSeeds(c.runningNames())
	c.start(successor)
}

// kill ends processes at the same moment, without a transfer of leadership. Their disks are preserved.
func (c *cluster) kill(names ...string) {
	c.withLock(func() {
		for _, name := range names {
			c.isolated[name] = true
		}
	})
	for _, name := range names {
		if c.instances[name] != nil {
			c.stop(name)
		}
	}
	c.withLock(func() {
		for _, name := range names {
			delete(c.isolated, name)
		}
	})
}

// losePowerAndDisks stops all instances and starts them again, those listed with empty disks.
func (c *cluster) losePowerAndDisks(lost ...string) {
	names := c.runningNames()
	for _, name := range names {
		c.stop(name)
	}
	time.Sleep(time.Second)
	for _, name := range lost {
		c.dirs[name] = c.t.TempDir()
	}
	c.setSeeds(names)
	c.start(names...)
}

// setSeeds makes the first three of the names the seeds of instances that start from now on.
func (c *cluster) setSeeds(names []string) {
	c.adjustOptions = func(o *Options) {
		dynamicOptions(false)(o)
		o.Voters = slices.Clone(names[:min(3, len(names))])
	}
}

func (c *cluster) runningNames() []string {
	names := make([]string, 0, len(c.instances))
	for name := range c.instances {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// leaderAndFollowers returns the running voters.
func (c *cluster) leaderAndFollowers() (leader string, followers []string) {
	c.t.Helper()
	leader = c.awaitLeader().opts.Self
	for _, name := range c.runningNames() {
		if name != leader && c.instances[name].Status().Voter {
			followers = append(followers, name)
		}
	}
	return leader, followers
}

// awaitRecovery waits until a command is acknowledged and all that was acknowledged is read back.
func (c *cluster) awaitRecovery(acknowledged []string) {
	c.t.Helper()
	c.await("a leader after the losses", recoveryLimit, func() bool { return c.leader() != nil })
	leader := c.leader()
	if _, err := leader.Propose(c.t.Context(), []byte("after the losses")); err != nil {
		c.t.Fatal(err)
	}
	list := leader.machine.list()
	for _, command := range append(slices.Clone(acknowledged), "after the losses") {
		if !slices.Contains(list, command) {
			c.t.Errorf("acknowledged command %q is lost; the leader has %v", command, list)
		}
	}
}

// Guards against machines that were replaced and keep their places: a group of which every place is taken refuses their
// successors, and the next losses that it should bear leave it without a majority.
func TestSuccessorsOfTwoReplacedVotersBearTheNextLosses(t *testing.T) {
	for _, first := range []string{"leader", "follower"} {
		t.Run(first, func(t *testing.T) {
			runInVirtualTime(t, func(c *cluster) {
				c.startMachines(8)
				c.propose("a", "x")
				leader, followers := c.leaderAndFollowers()
				if first == "leader" {
					c.replace(leader, "s1")
				} else {
					c.replace(followers[0], "s1")
				}
				c.replace(followers[1], "s2")
				time.Sleep(catchUpLimit)
				_, followers = c.leaderAndFollowers()
				c.propose(followers[0], "y")
				c.losePowerAndDisks(followers[0], followers[1])
				c.awaitRecovery([]string{"x", "y"})
			}, "a", "b", "c")
		})
	}
}

// Guards against instances that lost their disks and never find the group again, because the seeds in their settings are
// instances with lost disks, too, and one that is no member.
func TestWipedSeedsFindTheGroup(t *testing.T) {
	runInVirtualTime(t, func(c *cluster) {
		c.startMachines(8)
		c.propose("a", "x")
		_, followers := c.leaderAndFollowers()
		seeds := slices.Clone(followers[:2])
		for _, name := range c.runningNames() {
			if !c.instances[name].Status().Voter {
				seeds = append(seeds, name)
			}
		}
		names := c.runningNames()
		for _, name := range names {
			c.stop(name)
		}
		for _, name := range seeds[:2] {
			c.dirs[name] = t.TempDir()
		}
		c.setSeeds(seeds)
		c.start(names...)
		c.awaitRecovery([]string{"x"})
		c.await("the wiped instances are voters", recoveryLimit, func() bool {
			return c.instances[seeds[0]].Status().Voter && c.instances[seeds[1]].Status().Voter
		})
	}, "a", "b", "c")
}
