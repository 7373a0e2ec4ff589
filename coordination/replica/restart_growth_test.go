package replica

import (
	"fmt"
	"testing"
	"time"
)

// Guards against leaders that forget in a restart that the group has grown: the replaced voter then keeps its place for
// longer than the successor needs to catch up, and the loss of one disk leaves two voters of four.
func TestRestartAfterReplacementKeepsTolerance(t *testing.T) {
	const catchUp = 4 * time.Second // the shortest in force, on the deployment with three control instances
	for _, after := range []time.Duration{1200, 1300, 1400, 1500, 1600} {
		t.Run(fmt.Sprint(after*time.Millisecond), func(t *testing.T) {
			runInVirtualTime(t, func(c *cluster) {
				c.startMachines(3)
				c.electLikeTheDaemon()
				c.losePowerAndDisks()
				time.Sleep(30 * time.Second)
				c.propose("a", "x")
				_, followers := c.leaderAndFollowers()
				c.stop(followers[0])
				time.Sleep(time.Second)
				c.setSeeds(c.runningNames())
				c.electLikeTheDaemon()
				c.start("s1")
				time.Sleep(after*time.Millisecond - time.Second)
				names := c.runningNames()
				c.kill(names...)
				time.Sleep(500 * time.Millisecond)
				c.setSeeds(names)
				c.electLikeTheDaemon()
				c.start(names...)
				time.Sleep(catchUp)
				c.propose(followers[1], "y")
				c.losePowerAndDisks(followers[1])
				c.awaitRecovery([]string{"x", "y"})
			}, "a", "b", "c")
		})
	}
}

// electLikeTheDaemon gives instances that start from now on the election timeouts of the control instances.
func (c *cluster) electLikeTheDaemon() {
	adjust := c.adjustOptions
	c.adjustOptions = func(o *Options) {
		adjust(o)
		o.ElectionTimeout, o.HeartbeatInterval = 700*time.Millisecond, 120*time.Millisecond
	}
}

// Guards against replaced voters that keep their places for good, because all instances restarted between the replacements
// and forgot that the group had grown: no rule applies to two unreachable voters of an odd number.
func TestReplacedVotersLosePlacesAfterRestart(t *testing.T) {
	for _, test := range []struct {
		machines, before, after, lost int // before and after: machines that are replaced before and after the restart
		catchUp                       time.Duration
	}{{3, 1, 1, 1, 4 * time.Second}, {4, 1, 1, 1, 4 * time.Second}, {5, 2, 1, 2, catchUpLimit}, {6, 2, 2, 2, catchUpLimit}, {8, 2, 2, 2, catchUpLimit}} {
		t.Run(fmt.Sprint(test.machines, " machines"), func(t *testing.T) {
			runInVirtualTime(t, func(c *cluster) {
				c.startMachines(test.machines)
				c.electLikeTheDaemon()
				c.losePowerAndDisks()
				time.Sleep(30 * time.Second)
				c.propose("a", "x")
				replaced := 0
				replace := func(count int) { // in planned work, the successor starts first
					_, followers := c.leaderAndFollowers()
					for i := range count {
						c.setSeeds(c.runningNames())
						c.electLikeTheDaemon()
						replaced++
						c.start(fmt.Sprint("s", replaced))
						time.Sleep(time.Second)
						c.stop(followers[i])
					}
				}
				replace(test.before)
				time.Sleep(200 * time.Millisecond)
				names := c.runningNames()
				c.kill(names...)
				time.Sleep(500 * time.Millisecond)
				c.setSeeds(names)
				c.electLikeTheDaemon()
				c.start(names...)
				time.Sleep(test.catchUp)
				replace(test.after)
				time.Sleep(30 * time.Second)
				t.Logf("30 s after the last replacement, the group has %d voters", len(c.awaitLeader().Status().Voters))
				_, followers := c.leaderAndFollowers()
				c.propose(followers[0], "y")
				c.losePowerAndDisks(followers[:test.lost]...)
				c.awaitRecovery([]string{"x", "y"})
			}, "a", "b", "c")
		})
	}
}
