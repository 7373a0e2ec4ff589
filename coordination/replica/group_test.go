package replica

import (
	"context"
	"fmt"
	"testing"
	"time"
)

// Guards against a single voter that waits for an election or cannot restart.
func TestSingleVoter(t *testing.T) {
	inBubble(t, func(c *cluster) {
		c.start("a")
		began := time.Now()
		c.propose("a", "x")
		if waited := time.Since(began); waited > 200*time.Millisecond {
			t.Fatalf("first proposal took %v", waited)
		}
		applied := c.instances["a"].Status().Applied
		c.kill("a")
		c.start("a")
		if again := c.instances["a"].Status().Applied; again < applied {
			t.Fatalf("applied index went back from %d to %d", applied, again)
		}
		c.propose("a", "y")
		c.awaitCommands([]string{"x", "y"}, "a")
	}, "a")
}

// Guards against proposals that fail or diverge when they are made on followers and learners.
func TestProposeAnywhere(t *testing.T) {
	inBubble(t, func(c *cluster) {
		c.start("a", "b", "c", "learner")
		c.awaitLeader()
		var want []string
		for i, name := range []string{"a", "b", "c", "learner", "a"} {
			command := fmt.Sprint("command ", i)
			want = append(want, command)
			if got := c.propose(name, command); got != fmt.Sprint(i+1) {
				t.Fatalf("result %q of proposal %d", got, i+1)
			}
		}
		if err := c.instances["learner"].Barrier(context.Background()); err != nil {
			t.Fatal(err)
		}
		if got := c.instances["learner"].machine.list(); len(got) != len(want) {
			t.Fatalf("the barrier returned before the learner had applied %v; it has %v", want, got)
		}
		c.awaitCommands(want, "a", "b", "c", "learner")
	}, "a", "b", "c")
}
