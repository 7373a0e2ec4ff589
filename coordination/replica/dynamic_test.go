package replica

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/tarragonhoist/tarragonhoist/coordination/raft"
)

// dynamic makes the instances of a test members of a dynamic group that a, b and c found.
func dynamic(found bool) func(*Options) {
	return func(o *Options) {
		o.Dynamic = true
		o.SilentVoters = raft.SilentTimeouts{Replaced: 1500 * time.Millisecond, Lost: 12 * time.Second}
		o.JoinInterval = 200 * time.Millisecond
		if found {
			o.Founders = []string{"c", "a", "b"}
		}
	}
}

// Guards against a first start that needs all founders, or that makes two groups: each derives the same membership.
func TestFoundersNeedNoMeeting(t *testing.T) {
	inBubble(t, func(c *cluster) {
		c.tune = dynamic(true)
		c.start("a", "b")
		c.awaitLeader()
		c.propose("a", "x")
		c.start("c")
		c.awaitCommands([]string{"x"}, "a", "b", "c")
	}, "a", "b", "c")
}

// Guards against a founder whose empty disk counts as the voter that it was, which could lose what was acknowledged.
func TestFounderWithoutItsDiskJoinsAsNew(t *testing.T) {
	inBubble(t, func(c *cluster) {
		c.tune = dynamic(true)
		c.start("a", "b", "c")
		c.awaitLeader()
		c.propose("a", "x")
		c.tune = dynamic(false)
		c.loseDisk("b")
		c.awaitVoters("a", "b", "c")
		if id := c.instances["b"].Status().ID; id == raft.MemberID("b", founderIncarnation) {
			t.Fatalf("the new disk has the member id %s of the lost one", id)
		}
		c.awaitCommands([]string{"x"}, "b")
	}, "a", "b", "c")
}

// Guards against an instance with an empty disk that founds a group of its own when the others cannot be reached.
func TestLateStarterFoundsNothing(t *testing.T) {
	inBubble(t, func(c *cluster) {
		c.tune = dynamic(false)
		c.start("a", "b", "c")
		time.Sleep(20 * time.Second)
		if c.leader() != nil {
			t.Fatal("a group was founded")
		}
	}, "a", "b", "c")
}

// Guards against a voter that is gone for good and counts against the majority although another one replaced it.
func TestReplacedVoterIsRemoved(t *testing.T) {
	for _, dead := range []string{"a", "b", "c"} { // one of them leads
		t.Run(dead, func(t *testing.T) {
			inBubble(t, func(c *cluster) {
				c.tune = dynamic(true)
				c.start("a", "b", "c")
				c.awaitLeader()
				c.propose("a", "x")
				c.kill(dead)
				c.tune = dynamic(false)
				time.Sleep(time.Second)
				c.start("d")
				var rest []string
				for _, name := range []string{"a", "b", "c", "d"} {
					if name != dead {
						rest = append(rest, name)
					}
				}
				c.awaitVoters(rest...)
				c.awaitCommands([]string{"x"}, "d")
			}, "a", "b", "c")
		})
	}
}

// Guards against voters that are removed because the network was cut.
func TestSilentVotersStayWithoutSuccessor(t *testing.T) {
	inBubble(t, func(c *cluster) {
		c.tune = dynamic(true)
		c.start("a", "b", "c")
		c.awaitLeader()
		c.set(func() { c.cut["b"] = true })
		time.Sleep(time.Minute)
		c.set(func() { c.cut["b"] = false })
		c.awaitVoters("a", "b", "c")
	}, "a", "b", "c")
}

// Guards against a removed instance that waits for a leader for ever: it learns of its removal, and returns as a new
// member once its folder is gone.
func TestRemovedInstanceLearnsOfIt(t *testing.T) {
	inBubble(t, func(c *cluster) {
		removed := make(chan struct{}, 10)
		c.tune = func(o *Options) {
			dynamic(true)(o)
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
		c.set(func() { c.cut["b"] = true })
		c.await("a leader without b", 10*time.Second, func() bool { return c.leader() != nil })
		c.tune = dynamic(false)
		c.start("d")
		c.awaitVoters("a", "c", "d")
		c.set(func() { c.cut["b"] = false })
		select {
		case <-removed:
		case <-time.After(30 * time.Second):
			t.Fatal("b did not learn that it was removed")
		}
		c.kill("b")
		if err := os.RemoveAll(filepath.Join(c.dirs["b"], "config")); err != nil {
			t.Fatal(err)
		}
		c.start("b")
		c.awaitVoters("a", "b", "c", "d")
	}, "a", "b", "c")
}
