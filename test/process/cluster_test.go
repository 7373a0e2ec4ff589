// Package process tests whole deployments of real processes on loopback: killed and frozen processes, lost disks and
// network partitions.
package process

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/protocol/api"
	"github.com/tarragonhoist/tarragonhoist/standin/caller"
	"github.com/tarragonhoist/tarragonhoist/standin/cluster"
	"github.com/tarragonhoist/tarragonhoist/standin/target"
)

// binaryFolder is the folder of the commands, which TestMain builds once.
var binaryFolder string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	var err error
	if binaryFolder, err = os.MkdirTemp("", "hoist-process-"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(binaryFolder) }()
	if err := cluster.Build(binaryFolder, false); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// testLimit ends a test that hangs. No result depends on it.
const testLimit = 4 * time.Minute

// startCluster starts a deployment and prints the logs of all instances when the test fails.
func startCluster(t testing.TB, spec cluster.Spec) (context.Context, *cluster.Cluster) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	t.Cleanup(cancel)
	spec.ExtraSettings += "\ndrain_delay = \"200ms\"\n"
	c, err := cluster.New(spec, t.TempDir(), binaryFolder)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if t.Failed() {
			for _, i := range spec.Instances {
				if p := c.Process(i.Name); p != nil {
					log := p.Log()
					t.Logf("--- %s\n%s", i.Name, log[max(0, len(log)-4000):])
				}
			}
		}
		c.Close()
	})
	if err := c.StartAll(); err != nil {
		t.Fatal(err)
	}
	return ctx, c
}

// clusterSpec describes data centres with n instances each, of which the first ones are voters.
func clusterSpec(n, voters int, names ...string) cluster.Spec {
	var spec cluster.Spec
	for _, dc := range names {
		for i := 1; i <= n; i++ {
			spec.Instances = append(spec.Instances, cluster.InstanceSpec{
				Name: fmt.Sprintf("%s%d", dc, i), DataCentre: dc, Voter: i <= voters, Disk: true})
		}
	}
	return spec
}

func startEngine(t testing.TB, c *cluster.Cluster, name, dataCentre string, flags ...string) *cluster.Target {
	t.Helper()
	defaults := []string{"--capacity-bytes=1000", "--reserve-bytes=100", "--slots=8", "--token-interval=10ms", "--load-delay=100ms"}
	args := append([]string{"--kind=engine"}, flags...)
	for _, flag := range defaults {
		option, _, _ := strings.Cut(flag, "=")
		if !slices.ContainsFunc(flags, func(given string) bool { return strings.HasPrefix(given, option+"=") }) {
			args = append(args, flag)
		}
	}
	e, err := c.StartTarget(name, dataCentre, args...)
	if err != nil {
		t.Fatal(err)
	}
	return e
}

func startService(t *testing.T, c *cluster.Cluster, name, dataCentre string) *cluster.Target {
	t.Helper()
	s, err := c.StartTarget(name, dataCentre, "--kind", "service", "--service", "desk", "--slots", "16")
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// submitAccepted submits a release note until it has a verdict and checks that it is accepted.
func submitAccepted(ctx context.Context, t testing.TB, c *cluster.Cluster, instance, text string) {
	t.Helper()
	wait(t, c, "the release note is accepted", func() error {
		verdict, err := c.Operator(instance).Submit(ctx, "note.toml", []byte(text))
		if err != nil {
			return err
		}
		if !verdict.Accepted {
			t.Fatalf("release note refused: %v", verdict.Findings)
		}
		return nil
	})
}

func wait(t testing.TB, c *cluster.Cluster, description string, condition func() error) {
	t.Helper()
	if err := c.Wait(description, condition); err != nil {
		t.Fatal(err)
	}
}

// waitTargets waits until the status of an instance lists n targets.
func waitTargets(ctx context.Context, t *testing.T, c *cluster.Cluster, instance string, n int) {
	t.Helper()
	wait(t, c, fmt.Sprintf("%s lists %d targets", instance, n), func() error {
		status, err := c.Operator(instance).Status(ctx)
		if err != nil {
			return err
		}
		if len(status.Targets) != n {
			return errors.Errorf("status lists %d targets", len(status.Targets))
		}
		return nil
	})
}

// waitReady waits until a model has a number of ready replicas in the data centre of an instance.
func waitReady(ctx context.Context, t testing.TB, c *cluster.Cluster, instance, model string, replicas int) {
	t.Helper()
	wait(t, c, fmt.Sprintf("%s has %d ready replicas at %s", model, replicas, instance), func() error {
		status, err := c.Operator(instance).Status(ctx)
		if err != nil {
			return err
		}
		for _, m := range status.Models {
			if m.Name == model && m.Ready >= replicas {
				return nil
			}
		}
		return errors.Errorf("models %+v, targets %+v, control %+v", status.Models, status.Targets, status.Control)
	})
}

// checkAnswer compares a completed stream with the tokens that the stand-in engine derives from the request id.
func checkAnswer(answer *caller.Answer, requestID string, tokens int) error {
	want := ""
	for i := range tokens {
		want += target.Token(requestID, i)
	}
	if answer.Outcome != api.Answered || !answer.EndMarker || answer.Text != want {
		return errors.Errorf("outcome %s, reason %s, %s, ended %t, %d tokens: got %q, want %q",
			answer.Outcome, answer.Reason, answer.Error.Message, answer.EndMarker, len(answer.Offsets), answer.Text, want)
	}
	return nil
}

// streamOK sends one stream and checks its answer.
func streamOK(ctx context.Context, t *testing.T, c *cluster.Cluster, instance, requestID string) {
	t.Helper()
	answer, err := caller.New("crew").Stream(ctx, c.URL(instance), caller.Chat{Model: "m", Prompt: "?", MaxTokens: 5, RequestID: requestID})
	if err == nil {
		err = checkAnswer(answer, requestID, 5)
	}
	if err != nil {
		t.Fatalf("%s: %v", instance, err)
	}
}

// executions reads how often a service executed each idempotency key.
func executions(ctx context.Context, t *testing.T, s *cluster.Target) map[string]int {
	t.Helper()
	counts, err := s.Executions(ctx)
	if err != nil {
		t.Fatal(err)
	}
	return counts
}
