package hub

import (
	"context"
	"testing"
	"time"

	"github.com/tarragonhoist/tarragonhoist/coordination/raft"
	"github.com/tarragonhoist/tarragonhoist/coordination/replica"
	"github.com/tarragonhoist/tarragonhoist/state/routes"
)

// alone is the transport of a group with one member: every call to another member fails as not sent.
type alone struct{}

func (alone) Send(string, raft.Message) {}
func (alone) Propose(context.Context, string, replica.ProposeRequest) (replica.ProposeResponse, error) {
	return replica.ProposeResponse{}, replica.ErrNotSent
}
func (alone) Fetch(context.Context, string, replica.FetchRequest) (replica.FetchResponse, error) {
	return replica.FetchResponse{}, replica.ErrNotSent
}

// Guards against orders of a new leader while the lease of the previous leader may still be valid, against orders of a
// leader that can't renew its lease, and against orders after a stop.
func TestLeaseWaitsAndEnds(t *testing.T) {
	group, err := replica.Open(replica.Options{Name: GroupName, Self: "a", Voters: []string{"a"}, Dynamic: true, Founders: []string{"a"},
		DataDir: t.TempDir(), Machine: routes.NewStore(func(routes.Packed) {}), Sender: alone{}, Caller: alone{}})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- group.Run(ctx) }()
	const period = 200 * time.Millisecond
	l := newLease(group, period, discardEvents("a"))
	leaseCtx, stopLease := context.WithCancel(context.Background())
	defer stopLease()
	go l.run(leaseCtx)
	await := func(what string, done func() bool) {
		t.Helper()
		for deadline := time.Now().Add(10 * time.Second); !done(); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("%s: not within 10 s", what)
			}
		}
	}
	leads := func() bool { return group.Status().Role == raft.Leader.String() }
	await("a leader", leads)
	elected := time.Now()
	allowed := func() bool { _, ok := l.Fence(); return ok }
	await("a lease for orders", allowed)
	if waited := time.Since(elected); waited < period+leaseTime {
		t.Errorf("orders are allowed %v after the election, although the previous leader may hold a lease of %v and the exclusion period is %v", waited, leaseTime, period)
	}
	if fence, _ := l.Fence(); fence != group.Status().Term {
		t.Errorf("fencing number %d in term %d, want the term", fence, group.Status().Term)
	}
	stop()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
	lost := time.Now()
	await("the end of the lease", func() bool { return !allowed() })
	if took := time.Since(lost); took > leaseTime+renewInterval {
		t.Errorf("orders were allowed for %v after the group had stopped", took)
	}
	l.stop()
	l.mu.Lock()
	l.until, l.firstFrom = bootTime()+time.Hour, 0
	l.mu.Unlock()
	if allowed() {
		t.Error("orders are allowed after a stop")
	}
}
