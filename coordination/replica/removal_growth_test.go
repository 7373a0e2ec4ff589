package replica

import (
	"context"
	"testing"
	"time"

	"github.com/tarragonhoist/tarragonhoist/coordination/raft"
)

// transferLeadershipTo makes a member start an election, as a leader does when it stops.
func (c *cluster) transferLeadershipTo(name string) {
	c.t.Helper()
	s := c.awaitLeader().Status()
	target := c.instances[name].Status().ID
	c.instances[name].HandleMessage(raft.Message{Type: raft.MsgTimeoutNow, From: s.ID, To: target, Term: s.Term, Cluster: s.Cluster})
	c.await(name+" leads", 5*time.Second, func() bool { return c.instances[name].Status().Role == "leader" })
}

// newestVoter waits until an instance that was no voter before is one, and returns its name.
func (c *cluster) newestVoter(before []string) (name string) {
	c.t.Helper()
	c.await("a new voter", 20*time.Second, func() bool {
		for _, id := range c.awaitLeader().Status().Voters {
			name = raft.MemberName(id)
			known := false
			for _, other := range before {
				known = known || other == id
			}
			if !known && c.instances[name] != nil && c.instances[name].Status().Voter {
				return true
			}
		}
		return false
	})
	return name
}

// Guards against a group that shrinks while it is split in halves, because its leader joined shortly before and takes
// the replay of the membership for growth: the losses of disks that the group has to bear then leave no majority.
func TestSplitWithNewLeaderKeepsTolerance(t *testing.T) {
	for _, test := range []struct {
		name           string
		machines, lost int
	}{{"three machines", 3, 1}, {"five machines", 5, 2}, {"eight machines", 8, 2}} {
		t.Run(test.name, func(t *testing.T) {
			runInVirtualTime(t, func(c *cluster) {
				c.startMachines(test.machines)
				time.Sleep(20 * time.Second)
				c.propose("a", "x")
				leader, followers := c.leaderAndFollowers()
				before := c.instances[leader].Status().Voters
				c.replace(followers[0], "s1")
				replaced := time.Now()
				newest := c.newestVoter(before)
				time.Sleep(catchUpLimit - min(catchUpLimit, time.Since(replaced)))
				c.transferLeadershipTo(newest)
				_, followers = c.leaderAndFollowers()
				// The leader's half holds a bare majority of the voters. Machines that are no voters are in the other one.
				cut := followers[:len(followers)/2]
				c.withLock(func() {
					for _, name := range c.runningNames() {
						c.split[name] = !c.instances[name].Status().Voter
					}
					for _, name := range cut {
						c.split[name] = true
					}
				})
				time.Sleep(5 * time.Second)
				c.propose(newest, "y")
				t.Logf("voters before the split: %d, during it: %v", len(followers)+1, c.instances[newest].Status().Voters)
				c.withLock(func() { clear(c.split) })
				lost := followers[len(cut):][:test.lost]
				c.losePowerAndDisks(lost...)
				for deadline := time.Now().Add(recoveryLimit); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
					for _, name := range c.runningNames() {
						ctx, cancel := context.WithTimeout(context.Background(), time.Second)
						_, err := c.instances[name].Propose(ctx, []byte("z"))
						cancel()
						if err == nil {
							c.awaitRecovery([]string{"x", "y", "z"})
							return
						}
					}
				}
				t.Fatalf("no change is acknowledged within %v of the loss of the disks of %v", recoveryLimit, lost)
			}, "a", "b", "c")
		})
	}
}
