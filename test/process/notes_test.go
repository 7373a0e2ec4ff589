package process

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/standin/cluster"
	"github.com/tarragonhoist/tarragonhoist/state/catalog"
)

// numberedServiceNote is release note number n, which adds a service of its own.
func numberedServiceNote(n int) string {
	return fmt.Sprintf("number = %d\n[[service]]\naction = \"add\"\nname = \"desk-%d\"\ncallers = [\"crew\"]\n", n, n)
}

// submitUntilVerdict submits a release note until it has a verdict.
func submitUntilVerdict(ctx context.Context, t *testing.T, c *cluster.Cluster, instance, text string) (verdict catalog.Verdict) {
	t.Helper()
	wait(t, c, "the release note has a verdict", func() (err error) {
		verdict, err = c.Operator(instance).Submit(ctx, "note.toml", []byte(text))
		return err
	})
	return verdict
}

// Guards against release notes that are lost, reverted or decided twice when the leader is killed during a submission.
func TestLeaderKilledDuringSubmissions(t *testing.T) {
	t.Parallel()
	ctx, c := startCluster(t, clusterSpec(5, 5, "a"))
	const notes = 12
	submitted := make([]catalog.Verdict, notes+1)
	for n := 1; n <= notes; n++ {
		if n == 4 || n == 8 {
			leader := configLeader(ctx, t, c)
			var wg sync.WaitGroup
			asked := otherInstance(leader)
			wg.Go(func() { submitted[n] = submitUntilVerdict(ctx, t, c, asked, numberedServiceNote(n)) })
			c.Process(leader).Kill()
			wg.Wait()
			if err := c.Start(leader); err != nil {
				t.Fatal(err)
			}
			continue
		}
		submitted[n] = submitUntilVerdict(ctx, t, c, fmt.Sprintf("a%d", n%5+1), numberedServiceNote(n))
	}
	for n := 1; n <= notes; n++ {
		if !submitted[n].Accepted {
			t.Errorf("release note %d was refused: %v", n, submitted[n].Findings)
		}
		for i := 1; i <= 5; i++ {
			name := fmt.Sprintf("a%d", i)
			waitReleaseNote(ctx, t, c, name, uint64(n))
			if got, err := c.Operator(name).Verdict(ctx, uint64(n)); err != nil || got.Index != submitted[n].Index {
				t.Errorf("%s: release note %d has log index %d, its submitter got %d (%v)", name, n, got.Index, submitted[n].Index, err)
			}
		}
	}
}

func configLeader(ctx context.Context, t *testing.T, c *cluster.Cluster) (leader string) {
	t.Helper()
	wait(t, c, "the config log has a leader", func() error {
		for _, asked := range []string{"a1", "a2"} {
			name, err := c.Leader(ctx, asked, "config")
			if err == nil {
				leader = name
				return nil
			}
		}
		return errors.New("a1 and a2 know no leader of the config log")
	})
	return leader
}

func otherInstance(name string) string {
	if name == "a1" {
		return "a2"
	}
	return "a1"
}

// Guards against two accepted release notes with one number when operators submit them concurrently through different
// instances.
func TestConcurrentNotesWithEqualNumbers(t *testing.T) {
	t.Parallel()
	ctx, c := startCluster(t, clusterSpec(3, 3, "a"))
	verdicts := make([]catalog.Verdict, 9)
	var wg sync.WaitGroup
	for i := range verdicts {
		text := strings.Replace(numberedServiceNote(1), "desk-1", fmt.Sprintf("desk-%d", i%3), 1)
		wg.Go(func() { verdicts[i] = submitUntilVerdict(ctx, t, c, fmt.Sprintf("a%d", i%3+1), text) })
	}
	wg.Wait()
	accepted := make(map[string]int)
	for _, v := range verdicts {
		if v.Accepted {
			accepted[v.Digest]++
		} else if !strings.Contains(v.Findings[0].Message, "is held by a note of operator") {
			t.Errorf("a refusal does not name the operator of the accepted release note: %v", v.Findings)
		}
	}
	if len(accepted) != 1 {
		t.Fatalf("%d different release notes were accepted under one number", len(accepted))
	}
	for _, n := range accepted {
		if n != 3 {
			t.Errorf("the accepted release note got its verdict %d times, want 3", n)
		}
	}
}

// Guards against a learner that does not catch up in time after it was frozen during hundreds of changes.
func TestFrozenLearnerCatchesUpAfterHundredsOfChanges(t *testing.T) {
	t.Parallel()
	spec := clusterSpec(4, 3, "a")
	ctx, c := startCluster(t, spec)
	submitUntilVerdict(ctx, t, c, "a1", numberedServiceNote(1))
	waitReleaseNote(ctx, t, c, "a4", 1)
	if err := c.Process("a4").Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	const notes = 300
	for n := 2; n <= notes; n++ {
		submitUntilVerdict(ctx, t, c, "a1", numberedServiceNote(n))
	}
	if err := c.Process("a4").Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	waitReleaseNote(ctx, t, c, "a4", notes)
}

// Guards against a release note that is missing on an instance after a restart, with and without its disk.
func TestAppliedNotesSurviveRestarts(t *testing.T) {
	t.Parallel()
	ctx, c := startCluster(t, clusterSpec(4, 3, "a"))
	submitUntilVerdict(ctx, t, c, "a1", numberedServiceNote(1))
	for _, name := range []string{"a2", "a4"} {
		waitReleaseNote(ctx, t, c, name, 1)
		c.Process(name).Kill()
		if name == "a4" {
			if err := c.DeleteDataFolder(name); err != nil {
				t.Fatal(err)
			}
		}
		if err := c.Start(name); err != nil {
			t.Fatal(err)
		}
		if err := c.WaitReady(name); err != nil {
			t.Fatal(err)
		}
		if _, err := c.Operator(name).Verdict(ctx, 1); err != nil {
			t.Errorf("%s is ready without release note 1: %v", name, err)
		}
	}
}

// Guards against instances that do not get ready, or lose release notes, when they restart while their data centre is
// partitioned.
func TestInstancesRestartWhileTheirDataCentreIsPartitioned(t *testing.T) {
	t.Parallel()
	spec := clusterSpec(2, 2, "a", "b")
	spec.Instances[3].Voter = false // three voters: a1, a2 and b1
	ctx, c := startCluster(t, spec)
	submitUntilVerdict(ctx, t, c, "a1", numberedServiceNote(1))
	for _, name := range []string{"b1", "b2"} {
		waitReleaseNote(ctx, t, c, name, 1)
	}
	c.PartitionDataCentre("b")
	for _, name := range []string{"b1", "b2"} {
		c.Process(name).Kill()
	}
	for _, name := range []string{"b1", "b2"} {
		if err := c.Start(name); err != nil {
			t.Fatal(err)
		}
	}
	for _, name := range []string{"b1", "b2"} {
		if err := c.WaitReady(name); err != nil {
			t.Fatal(err)
		}
		if _, err := c.Operator(name).Verdict(ctx, 1); err != nil {
			t.Errorf("%s lost release note 1: %v", name, err)
		}
	}
}
