package replica

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/tarragonhoist/tarragonhoist/coordination/raft"
)

// dynamicOptions sets the options of a dynamic group. If withFounders is set, a, b and c are its founders.
func dynamicOptions(withFounders bool) func(*Options) {
	return func(o *Options) {
		o.Dynamic = true
		o.UnreachableTimeouts = raft.UnreachableTimeouts{WithReplacement: 1500 * time.Millisecond, FromEvenGroup: 2500 * time.Millisecond,
			WithoutReplacement: 12 * time.Second}
		o.JoinInterval = 200 * time.Millisecond
		if withFounders {
			o.InitialVoters = []string{"c", "a", "b"}
		}
	}
}

// Guards against a first start that needs all founders to be reachable, or that bootstraps two clusters: each founder
// derives the same membership.
func TestFoundersBootstrapWithoutContact(t *testing.T) {
	runInVirtualTime(t, func(c *cluster) {
		c.adjustOptions = dynamicOptions(true)
		c.start("a", "b")
		c.awaitLeader()
		c.propose("a", "x")
		c.start("c")
		c.awaitCommands([]string{"x"}, "a", "b", "c")
	}, "a", "b", "c")
}

// Guards against a founder that lost its disk and is counted as its former member, which could lose acknowledged
// commands.
func TestFounderWithLostDiskJoinsAsNewMember(t *testing.T) {
	runInVirtualTime(t, func(c *cluster) {
		c.adjustOptions = dynamicOptions(true)
		c.start("a", "b", "c")
		c.awaitLeader()
		c.propose("a", "x")
		c.adjustOptions = dynamicOptions(false)
		c.loseDisk("b")
		c.awaitVoters("a", "b", "c")
		if id := c.instances["b"].Status().ID; id == raft.MemberID("b", founderIncarnation) {
			t.Fatalf("the new disk has the member id %s of the lost one", id)
		}
		c.awaitCommands([]string{"x"}, "b")
	}, "a", "b", "c")
}

// Guards against instances with empty disks that bootstrap a dynamic group although they are not its founders.
func TestNoBootstrapWithoutFounders(t *testing.T) {
	runInVirtualTime(t, func(c *cluster) {
		c.adjustOptions = dynamicOptions(false)
		c.start("a", "b", "c")
		time.Sleep(20 * time.Second)
		if c.leader() != nil {
			t.Fatal("a leader was elected although no founders were set")
		}
	}, "a", "b", "c")
}

// Guards against a dead voter that still counts towards the quorum size after another voter replaced it.
func TestReplacedVoterIsRemoved(t *testing.T) {
	for _, lost := range []string{"a", "b", "c"} { // one of them is the leader
		t.Run(lost, func(t *testing.T) {
			runInVirtualTime(t, func(c *cluster) {
				c.adjustOptions = dynamicOptions(true)
				c.start("a", "b", "c")
				c.awaitLeader()
				c.propose("a", "x")
				c.stop(lost)
				c.adjustOptions = dynamicOptions(false)
				time.Sleep(time.Second)
				c.start("d")
				var rest []string
				for _, name := range []string{"a", "b", "c", "d"} {
					if name != lost {
						rest = append(rest, name)
					}
				}
				c.awaitVoters(rest...)
				c.awaitCommands([]string{"x"}, "d")
			}, "a", "b", "c")
		})
	}
}

// Guards against a voter that is removed because of a partition although none was added to replace it.
func TestUnreachableVoterStaysWithoutReplacement(t *testing.T) {
	runInVirtualTime(t, func(c *cluster) {
		c.adjustOptions = dynamicOptions(true)
		c.start("a", "b", "c")
		c.awaitLeader()
		c.withLock(func() { c.isolated["b"] = true })
		time.Sleep(time.Minute)
		c.withLock(func() { c.isolated["b"] = false })
		c.awaitVoters("a", "b", "c")
	}, "a", "b", "c")
}

// Guards against an instance that is removed while it is unreachable and then waits for a leader indefinitely: it must
// be notified of its removal, and join as a new member once its folder is deleted.
func TestRemovedInstanceIsNotified(t *testing.T) {
	runInVirtualTime(t, func(c *cluster) {
		removed := make(chan struct{}, 10)
		c.adjustOptions = func(o *Options) {
			dynamicOptions(true)(o)
			if o.Self == "b" {
				o.OnRemoved = func() {
					select {
					case removed <- struct{}{}:
					default:
					}
				}
			}
		}
		c.start("a", "b", "c")
		c.awaitLeader()
		c.withLock(func() { c.isolated["b"] = true })
		c.await("a leader without b", 10*time.Second, func() bool { return c.leader() != nil })
		c.adjustOptions = dynamicOptions(false)
		c.start("d")
		c.awaitVoters("a", "c", "d")
		c.withLock(func() { c.isolated["b"] = false })
		select {
		case <-removed:
		case <-time.After(30 * time.Second):
			t.Fatal("OnRemoved of b was not called within 30 s of the end of the partition")
		}
		c.stop("b")
		if err := os.RemoveAll(filepath.Join(c.dirs["b"], "config")); err != nil {
			t.Fatal(err)
		}
		c.start("b")
		c.awaitVoters("a", "b", "c", "d")
	}, "a", "b", "c")
}

// Guards against an instance that knows that it is no member any more and asks to join under its old member id for ever:
// the leader refuses that, so the instance has to be told to start over with an empty folder.
func TestInstanceThatKnowsOfItsRemovalIsNotified(t *testing.T) {
	runInVirtualTime(t, func(c *cluster) {
		removed := make(chan string, 100)
		c.adjustOptions = func(o *Options) {
			dynamicOptions(true)(o)
			self := o.Self
			o.OnRemoved = func() { removed <- self }
		}
		c.start("a", "b", "c")
		leader := c.awaitLeader()
		name := leader.opts.Self
		if err := leader.Remove(context.Background(), name); err != nil {
			t.Fatal(err)
		}
		c.await("the leader knows that it was removed", 10*time.Second, func() bool { return !leader.Status().Voter })
		select {
		case got := <-removed:
			if got != name {
				t.Fatalf("OnRemoved of %s was called, %s was removed", got, name)
			}
		case <-time.After(30 * time.Second):
			t.Fatal("OnRemoved was not called within 30 s")
		}
	}, "a", "b", "c")
}
