package process

import (
	"fmt"
	"strings"
	"testing"

	"github.com/pkg/errors"
)

// versionNote is a release note that changes the version of model m.
func versionNote(number, version int) string {
	text := strings.Replace(twoReplicasNote, "number = 1", fmt.Sprintf("number = %d", number), 1)
	text = strings.Replace(text, `action = "add"`, `action = "change"`, 1)
	return strings.Replace(text, `version = "1"`, fmt.Sprintf("version = \"%d\"", version), 1)
}

// Guards against overcommitted memory and models without a ready replica when a controller is killed while it carries
// out a version change. Each engine has memory for two versions of the model and exits with ExitOvercommit on a third.
// One engine checks fencing numbers, the other ignores them.
func TestVersionChangesUnderControllerCrashes(t *testing.T) {
	t.Parallel()
	names := []string{"a1", "a2", "a3"}
	spec := clusterSpec(3, 3, "a")
	ctx, c := startCluster(t, spec)
	startEngine(t, c, "e1", "a", "--checks-fencing", "--load-delay=300ms")
	startEngine(t, c, "e2", "a", "--load-delay=300ms")
	for _, name := range names {
		waitTargets(ctx, t, c, name, 2)
	}
	submitAccepted(ctx, t, c, "a1", twoReplicasNote)
	waitReady(ctx, t, c, "a1", "m", 2)
	for version := 2; version <= 4; version++ {
		controller, _ := waitController(ctx, t, c, names...)
		other := without(names, controller)[0]
		submitAccepted(ctx, t, c, other, versionNote(version, version))
		wait(t, c, "the controller has open orders", func() error {
			control, err := controlStatus(ctx, c, controller)
			if err == nil && control.OpenOrders == 0 {
				return errors.New("the controller has no open orders")
			}
			return err
		})
		c.Process(controller).Kill()
		streamOK(ctx, t, c, other, fmt.Sprintf("v%d", version))
		if err := c.Start(controller); err != nil {
			t.Fatal(err)
		}
		if err := c.WaitReady(controller); err != nil {
			t.Fatal(err)
		}
		waitReady(ctx, t, c, other, "m", 2)
		streamOK(ctx, t, c, other, fmt.Sprintf("v%d-done", version))
		checkEnginesRunning(t, c, "e1", "e2")
	}
}

// Guards against a release note that is accepted although its model does not fit into memory, against a refusal that
// names no model, data centre and bytes, and against a change of the active configuration by a refused note.
func TestNoteBeyondMemoryIsRefused(t *testing.T) {
	t.Parallel()
	ctx, c := startWithModel(t, clusterSpec(1, 1, "a"))
	largeNote := strings.Replace(strings.Replace(twoReplicasNote, "number = 1", "number = 2", 1), `name = "m"`, `name = "large"`, 1)
	largeNote = strings.Replace(largeNote, "memory_bytes = 300", "memory_bytes = 950", 1)
	verdict := submitUntilVerdict(ctx, t, c, "a1", largeNote)
	if verdict.Accepted {
		t.Fatal("release note that exceeds the memory was accepted")
	}
	found := false
	for _, f := range verdict.Findings {
		found = found || strings.Contains(f.Message, "large") && strings.Contains(f.Message, `"a"`) && strings.Contains(f.Message, "bytes")
	}
	if !found {
		t.Errorf("no finding names model, data centre and bytes: %v", verdict.Findings)
	}
	streamOK(ctx, t, c, "a1", "after")
	if resubmitted := submitUntilVerdict(ctx, t, c, "a1", largeNote); resubmitted.Accepted || resubmitted.Index != verdict.Index {
		t.Errorf("the same release note got verdict %+v", resubmitted)
	}
}
