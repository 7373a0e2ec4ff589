package controlinstance

import (
	"context"
	"testing"
	"time"

	"github.com/tarragonhoist/tarragonhoist/coordination/raft"
	"github.com/tarragonhoist/tarragonhoist/coordination/replica"
	"github.com/tarragonhoist/tarragonhoist/state/routes"
)

// singleMemberTransport is the transport of a group with one member: every call to another member fails as not run.
type singleMemberTransport struct{}

func (singleMemberTransport) Send(string, raft.Message) {}
func (singleMemberTransport) Propose(context.Context, string, replica.ProposeRequest) (replica.ProposeResponse, error) {
	return replica.ProposeResponse{}, replica.ErrNotRun
}
func (singleMemberTransport) Fetch(context.Context, string, replica.FetchRequest) (replica.FetchResponse, error) {
	return replica.FetchResponse{}, replica.ErrNotRun
}

// Guards against orders of a new leader while the lease of the previous leader may still be valid, against orders of a
// leader that can't renew its lease, and against orders after a stop.
func TestLeaseDelaysOrdersAndExpires(t *testing.T) {
	group, err := replica.Open(replica.Options{Name: GroupName, Self: "a", Voters: []string{"a"}, Dynamic: true, InitialVoters: []string{"a"},
		DataDir: t.TempDir(), Machine: routes.NewStore(func(routes.CompressedDocument) {}), Sender: singleMemberTransport{}, Peers: singleMemberTransport{}})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- group.Run(ctx) }()
	const exclusionPeriod = 200 * time.Millisecond
	l := newLease(group, exclusionPeriod, discardEvents("a"))
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
	isLeader := func() bool { return group.Status().Role == raft.Leader.String() }
	await("a leader", isLeader)
	elected := time.Now()
	ordersAllowed := func() bool { _, ok := l.Fence(); return ok }
	await("a lease for orders", ordersAllowed)
	if waited := time.Since(elected); waited < exclusionPeriod+leaseTime {
		t.Errorf("orders are allowed %v after the election, although the previous leader may hold a lease of %v and the exclusion period is %v", waited, leaseTime, exclusionPeriod)
	}
	if fence, _ := l.Fence(); fence != group.Status().Term {
		t.Errorf("fencing number %d in term %d, want the term", fence, group.Status().Term)
	}
	stop()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
	stoppedAt := time.Now()
	await("the end of the lease", func() bool { return !ordersAllowed() })
	if took := time.Since(stoppedAt); took > leaseTime+renewInterval {
		t.Errorf("orders were allowed for %v after the group had stopped", took)
	}
	l.stop()
	l.mu.Lock()
	l.expiresAt, l.ordersFrom = bootTime()+time.Hour, 0
	l.mu.Unlock()
	if ordersAllowed() {
		t.Error("orders are allowed after a stop")
	}
}
