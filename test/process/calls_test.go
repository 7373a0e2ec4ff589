package process

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/protocol/api"
	"github.com/tarragonhoist/tarragonhoist/standin/caller"
	"github.com/tarragonhoist/tarragonhoist/standin/cluster"
	"github.com/tarragonhoist/tarragonhoist/transport/httpapi"
)

const serviceNote = `number = 1
[[service]]
action = "add"
name = "desk"
callers = ["crew"]
`

// callUntilFinal retries a service call until the answer is a success or may not be retried.
func callUntilFinal(ctx context.Context, t *testing.T, c *cluster.Cluster, instance, key, path string) *caller.Answer {
	t.Helper()
	var last *caller.Answer
	wait(t, c, "the service call with key "+key+" has a final answer", func() error {
		answer, err := caller.New("crew").CallService(ctx, c.URL(instance), "desk", path, key, `{"n":1}`)
		if err != nil {
			return err
		}
		last = answer
		if answer.Outcome != api.Answered && answer.Repeat == api.RetryAfter {
			return errors.Errorf("%s %s: %s", answer.Outcome, answer.Reason, answer.Error.Message)
		}
		return nil
	})
	return last
}

func startWithService(t *testing.T) (context.Context, *cluster.Cluster, *cluster.Target) {
	t.Helper()
	ctx, c := startCluster(t, clusterSpec(3, 3, "a"))
	desk := startService(t, c, "desk-1", "a")
	submitAccepted(ctx, t, c, "a1", serviceNote)
	for i := 1; i <= 3; i++ {
		waitTargets(ctx, t, c, fmt.Sprintf("a%d", i), 1)
		waitReleaseNote(ctx, t, c, fmt.Sprintf("a%d", i), 1)
	}
	return ctx, c, desk
}

func waitReleaseNote(ctx context.Context, t *testing.T, c *cluster.Cluster, instance string, number uint64) {
	t.Helper()
	wait(t, c, fmt.Sprintf("release note %d is in effect at %s", number, instance), func() error {
		_, err := c.Operator(instance).Verdict(ctx, number)
		return err
	})
}

// Guards against a second execution of a service call whose caller retries it through other instances, some of them at
// the same time.
func TestRetriedServiceCallRunsOnce(t *testing.T) {
	t.Parallel()
	ctx, c, desk := startWithService(t)
	var wg sync.WaitGroup
	for i := range 12 {
		wg.Go(func() { callUntilFinal(ctx, t, c, fmt.Sprintf("a%d", i%3+1), "k", "/x?delay=100ms") })
	}
	wg.Wait()
	if n := executions(ctx, t, desk)["k"]; n != 1 {
		t.Errorf("the service executed the call %d times", n)
	}
}

// Guards against a second execution, or a call that no operator sees, when the dispatching instance is killed while the
// service executes the call.
func TestInstanceKilledBetweenDispatchAndAnswer(t *testing.T) {
	t.Parallel()
	ctx, c, desk := startWithService(t)
	go func() {
		_, _ = caller.New("crew").CallService(ctx, c.URL("a2"), "desk", "/x?delay=2s", "k", `{"n":1}`)
	}()
	wait(t, c, "the service executes the call", func() error {
		if executions(ctx, t, desk)["k"] == 0 {
			return errors.New("the service has not executed the call")
		}
		return nil
	})
	c.Process("a2").Kill()
	if err := c.Start("a2"); err != nil {
		t.Fatal(err)
	}
	if err := c.WaitReady("a2"); err != nil {
		t.Fatal(err)
	}
	answer := callUntilFinal(ctx, t, c, "a1", "k", "/x?delay=2s")
	if answer.Reason != api.ReasonMayHaveRun || answer.Repeat != api.RetryNever {
		t.Errorf("the retry got answer %+v", answer)
	}
	if n := executions(ctx, t, desk)["k"]; n != 1 {
		t.Errorf("the service executed the call %d times", n)
	}
	checkUnresolved(ctx, t, c, "a1", "k")
}

// checkUnresolved checks that the status lists the call among those with an unknown outcome.
func checkUnresolved(ctx context.Context, t *testing.T, c *cluster.Cluster, instance, key string) {
	t.Helper()
	status, err := c.Operator(instance).Status(ctx)
	if err != nil {
		t.Fatal(err)
	}
	for _, u := range status.UnresolvedCalls {
		if u.Key == key {
			return
		}
	}
	t.Errorf("call %q is missing among the unresolved calls: %+v", key, status.UnresolvedCalls)
}

// Guards against an execution by another instance, or a call that no operator sees, when the dispatching instance is
// killed between reservation and dispatch. The service accepts no connection, so the call can't have been sent.
func TestInstanceKilledBetweenReservationAndDispatch(t *testing.T) {
	t.Parallel()
	ctx, c := startCluster(t, clusterSpec(3, 3, "a"))
	submitAccepted(ctx, t, c, "a1", serviceNote)
	waitReleaseNote(ctx, t, c, "a2", 1)
	unresponsive := listenWithFullBacklog(t)
	stop := announceService(ctx, t, c, "desk-1", unresponsive)
	waitTargets(ctx, t, c, "a2", 1)
	go func() {
		_, _ = caller.New("crew").CallService(ctx, c.URL("a2"), "desk", "/x", "k", `{"n":1}`)
	}()
	wait(t, c, "the call is reserved", func() error {
		status, err := c.Operator("a1").Status(ctx)
		if err != nil {
			return err
		}
		if len(status.UnresolvedCalls) == 0 {
			return errors.New("the status lists no unresolved call")
		}
		return nil
	})
	c.Process("a2").Kill()
	stop()
	if err := c.Start("a2"); err != nil {
		t.Fatal(err)
	}
	if err := c.WaitReady("a2"); err != nil {
		t.Fatal(err)
	}
	desk := startService(t, c, "desk-2", "a")
	waitTargetNamed(ctx, t, c, "a1", "desk-2")
	answer := callUntilFinal(ctx, t, c, "a1", "k", "/x")
	// Another instance can't know that nothing was sent, so it must not run the call.
	if answer.Reason != api.ReasonMayHaveRun {
		t.Errorf("the retry got answer %+v", answer)
	}
	if n := executions(ctx, t, desk)["k"]; n != 0 {
		t.Errorf("the service executed the call %d times", n)
	}
	checkUnresolved(ctx, t, c, "a1", "k")
}

func waitTargetNamed(ctx context.Context, t *testing.T, c *cluster.Cluster, instance, name string) {
	t.Helper()
	wait(t, c, name+" is a serving target at "+instance, func() error {
		status, err := c.Operator(instance).Status(ctx)
		if err != nil {
			return err
		}
		for _, target := range status.Targets {
			if target.Name == name && target.State == "serving" {
				return nil
			}
		}
		return errors.Errorf("status lists targets %+v", status.Targets)
	})
}

// listenWithFullBacklog fills the accept backlog of a listener that never accepts, so that further connection attempts
// time out.
func listenWithFullBacklog(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address := fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
	for {
		conn, err := net.DialTimeout("tcp", address, 200*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { _ = conn.Close() })
	}
}

// announceService announces a service at an address to all instances of data centre a until stop is called.
func announceService(ctx context.Context, t *testing.T, c *cluster.Cluster, name, address string) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for sequence := 1; ctx.Err() == nil; sequence++ {
			for _, url := range c.DataCentreURLs("a") {
				body := fmt.Sprintf(`{"version":1,"target":%q,"incarnation":1,"sequence":%d,"data_centre":"a","address":%q,`+
					`"kind":"service","service":"desk","slots":4,"load":{"measured_at_ms":%d}}`, name, sequence, address, time.Now().UnixMilli())
				resp, err := http.Post(url+"/hoist/v1/targets/announce", "application/json", strings.NewReader(body))
				if err == nil {
					_ = resp.Body.Close()
				}
			}
			time.Sleep(200 * time.Millisecond)
		}
	}()
	return func() {
		cancel()
		<-done
	}
}

// Guards against a lost record of a completed call when a voter loses its disk and a second voter is killed right after
// the first has rejoined.
func TestServiceCallSurvivesLostDiskAndSecondLostVoter(t *testing.T) {
	t.Parallel()
	ctx, c, desk := startWithService(t)
	if answer := callUntilFinal(ctx, t, c, "a3", "k", "/x"); answer.Outcome != api.Answered {
		t.Fatalf("first call got answer %+v", answer)
	}
	before, err := c.Operator("a3").Status(ctx)
	if err != nil {
		t.Fatal(err)
	}
	c.Process("a1").Kill()
	if err := c.DeleteDataFolder("a1"); err != nil {
		t.Fatal(err)
	}
	if err := c.Start("a1"); err != nil {
		t.Fatal(err)
	}
	waitVoter(ctx, t, c, "a3", "a1", before)
	c.Process("a2").Kill()
	answer := callUntilFinal(ctx, t, c, "a1", "k", "/x")
	if answer.Outcome != api.Answered || !answer.Replayed {
		t.Errorf("the retry got answer %+v", answer)
	}
	if n := executions(ctx, t, desk)["k"]; n != 1 {
		t.Errorf("the service executed the call %d times", n)
	}
}

// waitVoter waits until an instance is a voter of both logs under a new member id.
func waitVoter(ctx context.Context, t *testing.T, c *cluster.Cluster, asked, name string, before httpapi.Status) {
	t.Helper()
	oldMembers := make(map[string]bool)
	for _, log := range before.Logs {
		for _, voter := range log.Voters {
			oldMembers[log.Group+voter] = true
		}
	}
	wait(t, c, name+" is a voter again under a new member id", func() error {
		status, err := c.Operator(asked).Status(ctx)
		if err != nil {
			return err
		}
		for _, log := range status.Logs {
			joined := slices.ContainsFunc(log.Voters, func(voter string) bool {
				return strings.HasPrefix(voter, name+"@") && !oldMembers[log.Group+voter]
			})
			if !joined || len(log.Voters) != len(before.Logs[0].Voters) {
				return errors.Errorf("%s has voters %v", log.Group, log.Voters)
			}
		}
		return nil
	})
}

// Guards against a partitioned data centre that accepts service calls it can't record, or still refuses them after the
// heal.
func TestPartitionedDataCentreRefusesServiceCalls(t *testing.T) {
	t.Parallel()
	spec := clusterSpec(2, 2, "a", "b")
	spec.Instances[3].Voter = false // three voters: a1, a2 and b1
	ctx, c := startCluster(t, spec)
	deskA, deskB := startService(t, c, "desk-a", "a"), startService(t, c, "desk-b", "b")
	submitAccepted(ctx, t, c, "b2", serviceNote)
	for _, i := range spec.Instances {
		waitReleaseNote(ctx, t, c, i.Name, 1)
		waitTargets(ctx, t, c, i.Name, 1)
	}
	c.PartitionDataCentre("b")
	wait(t, c, "data centre b refuses service calls", func() error {
		answer, err := caller.New("crew").CallService(ctx, c.URL("b2"), "desk", "/x", "cut", `{"n":1}`)
		if err != nil {
			return err
		}
		if answer.Outcome == api.Answered {
			t.Fatal("data centre b answered a service call without a majority")
		}
		if answer.Outcome != api.Refused || answer.Reason != api.ReasonNoQuorum {
			return errors.Errorf("data centre b gave answer %+v", answer)
		}
		return nil
	})
	if answer := callUntilFinal(ctx, t, c, "a1", "other", "/x"); answer.Outcome != api.Answered {
		t.Errorf("the majority side gave answer %+v", answer)
	}
	c.HealDataCentre("b")
	if answer := callUntilFinal(ctx, t, c, "b2", "cut", "/x"); answer.Outcome != api.Answered {
		t.Errorf("data centre b gave answer %+v after the heal", answer)
	}
	if n := executions(ctx, t, deskA)["cut"] + executions(ctx, t, deskB)["cut"]; n != 1 {
		t.Errorf("the services executed the call, refused at first, %d times", n)
	}
}
