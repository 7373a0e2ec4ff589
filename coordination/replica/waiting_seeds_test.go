package replica

import (
	"context"
	"fmt"
	"testing"
	"time"
)

// Guards against an instance that waits for a place while its seeds are replaced one after another: it asks only the
// seeds that its settings named at its start, so it never joins the group any more and serves no operator.
func TestWaitingInstanceOutlivesItsSeeds(t *testing.T) {
	runInVirtualTime(t, func(c *cluster) {
		c.startMachines(8)
		c.propose("a", "x")
		for i, name := range []string{"a", "b", "c"} { // the seeds
			c.replace(name, fmt.Sprint("s", i))
			time.Sleep(16 * time.Second)
		}
		for _, name := range c.runningNames() {
			ctx, cancel := context.WithTimeout(context.Background(), recoveryLimit)
			for {
				_, err := c.instances[name].Propose(ctx, []byte("through "+name))
				if err == nil {
					break
				}
				if ctx.Err() != nil {
					t.Errorf("no change was acknowledged by %s within %v: %v; voter %v, its seeds are %v", name, recoveryLimit, err,
						c.instances[name].Status().Voter, c.instances[name].opts.Voters)
					break
				}
			}
			cancel()
		}
	}, "a", "b", "c")
}
