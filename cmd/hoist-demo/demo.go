package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/protocol/api"
	"github.com/tarragonhoist/tarragonhoist/standin/caller"
	"github.com/tarragonhoist/tarragonhoist/standin/cluster"
	"github.com/tarragonhoist/tarragonhoist/standin/target"
)

// Accelerator memory of each stand-in engine.
const (
	capacityBytes = "20000000000"
	reserveBytes  = "1000000000"
)

// releaseNote is a release note that adds two models, an adapter and a plain service.
const releaseNote = `number = 1
description = "first models"

[[model]]
action = "add"
name = "net-assistant"
version = "1"
memory_bytes = 8000000000
priority = "interactive"
callers = ["crew", "reports"]
caller_priorities = { reports = "batch" }

[[model]]
action = "add"
name = "yield-report"
version = "1"
memory_bytes = 6000000000
priority = "batch"
callers = ["reports"]

[[adapter]]
action = "add"
name = "north-field"
model = "net-assistant"
version = "1"
memory_bytes = 100000000

[[service]]
action = "add"
name = "haul-desk"
callers = ["crew"]
priority = "standard"
`

// demo holds the cluster and the state that the steps share.
type demo struct {
	folder       string
	bin          string
	out          io.Writer
	cluster      *cluster.Cluster
	callerClient *caller.Client
	step         int
}

func (d *demo) run() error {
	started := time.Now()
	steps := []struct {
		title string
		run   func(context.Context) error
	}{
		{"start two data centres with four instances each", d.startInstances},
		{"targets announce themselves", d.startTargets},
		{"an operator submits a release note", d.submitNote},
		{"controllers load the models", d.waitResident},
		{"stream an answer through north-2", d.streamAnswer},
		{"answer through an adapter at south-3", d.answerThroughAdapter},
		{"book once, retry with the same idempotency key in the other data centre", d.bookTwice},
		{"refuse a model that the caller may not use and an unknown model", d.checkRefusals},
		{"partition the data centres", d.partitionDataCentres},
		{"heal the partition", d.healPartition},
		{"kill a target during a stream", d.killTarget},
		{"kill an instance", d.killInstance},
		{"print the merged timeline", d.printTimeline},
	}
	for _, s := range steps {
		d.step++
		_, _ = fmt.Fprintf(d.out, "%2d. %s\n", d.step, s.title)
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		err := s.run(ctx)
		cancel()
		if err != nil {
			return errors.Wrapf(err, "step %d, %s", d.step, s.title)
		}
	}
	_, _ = fmt.Fprintf(d.out, "%d steps in %.1f s\n", len(steps), time.Since(started).Seconds())
	return nil
}

func (d *demo) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(d.out, "      "+format+"\n", args...)
}

func (d *demo) startInstances(context.Context) error {
	d.callerClient = caller.New("crew")
	voters := map[string]bool{"north-1": true, "north-2": true, "north-3": true, "south-1": true, "south-2": true}
	var spec cluster.Spec
	for _, dc := range []string{"north", "south"} {
		for i := 1; i <= 4; i++ {
			name := fmt.Sprintf("%s-%d", dc, i)
			spec.Instances = append(spec.Instances, cluster.InstanceSpec{Name: name, DataCentre: dc, Voter: voters[name], Disk: voters[name]})
		}
	}
	spec.ExtraSettings = `drain_delay = "200ms"`
	var err error
	if d.cluster, err = cluster.New(spec, d.folder, d.bin); err != nil {
		return err
	}
	if err := d.cluster.StartAll(); err != nil {
		return err
	}
	leader, err := d.leader()
	if err != nil {
		return err
	}
	d.printf("8 instances are ready; %s is the leader of the config log, voters are north-1..3 and south-1..2", leader)
	return nil
}

func (d *demo) leader() (leader string, err error) {
	err = d.cluster.Wait("the config log has a leader", func() error {
		leader, err = d.cluster.Leader(context.Background(), "north-1", "config")
		return err
	})
	return leader, err
}

func (d *demo) startTargets(ctx context.Context) error {
	for _, dc := range []string{"north", "south"} {
		for i := 1; i <= 2; i++ {
			flags := []string{"--kind", "engine", "--capacity-bytes", capacityBytes, "--reserve-bytes", reserveBytes, "--slots", "8",
				"--token-interval", "20ms", "--load-delay", "200ms"}
			if i == 1 {
				flags = append(flags, "--checks-fencing")
			}
			if _, err := d.cluster.StartTarget(fmt.Sprintf("%s-engine-%d", dc, i), dc, flags...); err != nil {
				return err
			}
		}
		if _, err := d.cluster.StartTarget(dc+"-desk", dc, "--kind", "service", "--service", "haul-desk", "--slots", "8"); err != nil {
			return err
		}
	}
	return d.cluster.Wait("every instance lists the three targets of its data centre", func() error {
		for _, name := range d.instances() {
			status, err := d.cluster.Operator(name).Status(ctx)
			if err != nil {
				return err
			}
			if len(status.Targets) != 3 {
				return errors.Errorf("%s lists %d targets, want 3", name, len(status.Targets))
			}
		}
		return nil
	})
}

func (d *demo) instances() []string {
	return []string{"north-1", "north-2", "north-3", "north-4", "south-1", "south-2", "south-3", "south-4"}
}

func (d *demo) submitNote(ctx context.Context) error {
	file := filepath.Join(d.folder, "note-1.toml")
	if err := os.WriteFile(file, []byte(releaseNote), 0o600); err != nil {
		return errors.Wrap(err, "write release note")
	}
	verdict, err := d.cluster.Operator("south-4").Submit(ctx, file, []byte(releaseNote))
	if err != nil {
		return err
	}
	if !verdict.Accepted {
		return errors.Errorf("release note 1 was refused: %v", verdict.Findings)
	}
	resubmitted, err := d.cluster.Operator("north-4").Submit(ctx, file, []byte(releaseNote))
	if err != nil {
		return err
	}
	if resubmitted.Index != verdict.Index {
		return errors.Errorf("the second submission of release note 1 got log index %d, want %d", resubmitted.Index, verdict.Index)
	}
	d.printf("accepted at log index %d through south-4; the same verdict again through north-4", verdict.Index)
	started := time.Now()
	err = d.cluster.Wait("release note 1 is in effect on every instance", func() error {
		for _, name := range d.instances() {
			if _, err := d.cluster.Operator(name).Verdict(ctx, 1); err != nil {
				return errors.Wrap(err, name)
			}
		}
		return nil
	})
	d.printf("in effect on all instances %.1f s later", time.Since(started).Seconds())
	return err
}

func (d *demo) waitResident(ctx context.Context) error {
	started := time.Now()
	err := d.cluster.Wait("both models and the adapter are ready on two targets of each data centre", func() error {
		for _, name := range []string{"north-1", "south-1"} {
			status, err := d.cluster.Operator(name).Status(ctx)
			if err != nil {
				return err
			}
			for _, m := range status.Models {
				if m.Ready < 1 {
					return errors.Errorf("%s: %s has %d ready replicas, waiting: %v", name, m.Name, m.Ready, status.Waiting)
				}
			}
			if len(status.Models) != 3 {
				return errors.Errorf("%s lists %d models, want 3", name, len(status.Models))
			}
		}
		return nil
	})
	d.printf("all models resident after %.1f s", time.Since(started).Seconds())
	return err
}

// checkAnswer compares an answer with the tokens that the stand-in engine derives from the request id.
func checkAnswer(answer *caller.Answer, requestID string, tokens int) error {
	var want strings.Builder
	for i := range tokens {
		want.WriteString(target.Token(requestID, i))
	}
	switch {
	case answer.Outcome != api.Answered:
		return errors.Errorf("outcome %s, reason %s: %s", answer.Outcome, answer.Reason, answer.Error.Message)
	case !answer.EndMarker:
		return errors.New("the answer has no end marker")
	case answer.Text != want.String():
		return errors.Errorf("got %q, want %q", answer.Text, want.String())
	}
	return nil
}

func (d *demo) streamFrom(ctx context.Context, instance, requestID string) error {
	answer, err := d.callerClient.Stream(ctx, d.cluster.URL(instance), caller.Chat{
		Model: "net-assistant", Prompt: "state of net 7?", MaxTokens: 12, RequestID: requestID})
	if err != nil {
		return err
	}
	if err := checkAnswer(answer, requestID, 12); err != nil {
		return err
	}
	d.printf("%s streamed 12 tokens: %q", answer.Instance, answer.Text)
	return nil
}

func (d *demo) streamAnswer(ctx context.Context) error {
	return d.streamFrom(ctx, "north-2", "demo-stream")
}

func (d *demo) answerThroughAdapter(ctx context.Context) error {
	answer, err := d.callerClient.Complete(ctx, d.cluster.URL("south-3"), caller.Chat{
		Model: "net-assistant:north-field", Prompt: "summarise the inspection", MaxTokens: 8, RequestID: "demo-adapter"})
	if err != nil {
		return err
	}
	if err := checkAnswer(answer, "demo-adapter", 8); err != nil {
		return err
	}
	d.printf("%s answered through adapter north-field: %q", answer.Instance, answer.Text)
	return nil
}

func (d *demo) bookTwice(ctx context.Context) error {
	first, err := d.callerClient.CallService(ctx, d.cluster.URL("north-4"), "haul-desk", "/hauls", "haul-17", `{"tank":17}`)
	if err != nil {
		return err
	}
	second, err := d.callerClient.CallService(ctx, d.cluster.URL("south-4"), "haul-desk", "/hauls", "haul-17", `{"tank":17}`)
	if err != nil {
		return err
	}
	if first.Outcome != api.Answered || second.Outcome != api.Answered || !second.Replayed || first.Text != second.Text {
		return errors.Errorf("booking haul-17: first answer %+v, second answer %+v", first, second)
	}
	d.printf("%s booked: %s", first.Instance, strings.TrimSpace(first.Text))
	d.printf("%s returned the recorded answer; the service ran once", second.Instance)
	other, err := d.callerClient.CallService(ctx, d.cluster.URL("north-1"), "haul-desk", "/hauls", "haul-17", `{"tank":99}`)
	if err != nil {
		return err
	}
	if other.Reason != api.ReasonKeyReused {
		return errors.Errorf("booking haul-17 with another body was not refused for its reused key: %+v", other)
	}
	d.printf("the same key with another body is refused: %s", other.Error.Message)
	return nil
}

func (d *demo) checkRefusals(ctx context.Context) error {
	for _, refusal := range []struct {
		model string
		want  api.Reason
	}{{"yield-report", api.ReasonCallerNotPermitted}, {"unknown", api.ReasonUnknownModel}} {
		answer, err := d.callerClient.Stream(ctx, d.cluster.URL("north-3"), caller.Chat{Model: refusal.model, Prompt: "?"})
		if err != nil {
			return err
		}
		if answer.Outcome != api.Refused || answer.Reason != refusal.want {
			return errors.Errorf("got answer %+v, want reason %s", answer, refusal.want)
		}
		d.printf("%d %s, did not run, repeat %s: %s", answer.Status, answer.Reason, answer.Repeat, answer.Error.Message)
	}
	return nil
}

func (d *demo) partitionDataCentres(ctx context.Context) error {
	d.cluster.PartitionDataCentre("south")
	time.Sleep(2 * time.Second) // longer than a leader without a quorum takes to step down
	if err := d.streamFrom(ctx, "north-1", "demo-cut-north"); err != nil {
		return err
	}
	if err := d.streamFrom(ctx, "south-1", "demo-cut-south"); err != nil {
		return err
	}
	booked, err := d.callerClient.CallService(ctx, d.cluster.URL("north-2"), "haul-desk", "/hauls", "haul-18", `{"tank":18}`)
	if err != nil {
		return err
	}
	if booked.Outcome != api.Answered {
		return errors.Errorf("booking haul-18 on the majority side was not accepted: %+v", booked)
	}
	refused, err := d.callerClient.CallService(ctx, d.cluster.URL("south-2"), "haul-desk", "/hauls", "haul-19", `{"tank":19}`)
	if err != nil {
		return err
	}
	if refused.Outcome != api.Refused || refused.Reason != api.ReasonNoQuorum {
		return errors.Errorf("booking haul-19 on the minority side was not refused for lack of a quorum: %+v", refused)
	}
	d.printf("north accepts bookings; south refuses them without running them: %s", refused.Error.Message)
	return nil
}

func (d *demo) healPartition(ctx context.Context) error {
	d.cluster.HealDataCentre("south")
	return d.cluster.Wait("south accepts the booking that it refused during the partition", func() error {
		answer, err := d.callerClient.CallService(ctx, d.cluster.URL("south-2"), "haul-desk", "/hauls", "haul-19", `{"tank":19}`)
		if err != nil {
			return err
		}
		if answer.Outcome != api.Answered {
			return errors.Errorf("%s: %s", answer.Reason, answer.Error.Message)
		}
		d.printf("south accepted booking haul-19: %s", strings.TrimSpace(answer.Text))
		return nil
	})
}

func (d *demo) killTarget(ctx context.Context) error {
	const tokens = 100
	// Any engine of north may run the stream, so the one with a request in flight is killed.
	killed := ""
	answer, err := d.callerClient.Stream(ctx, d.cluster.URL("north-1"), caller.Chat{
		Model: "net-assistant", Prompt: "a long inspection report", MaxTokens: tokens, RequestID: "demo-kill",
		OnToken: func(offset int) {
			if offset == 20 {
				killed = d.killBusyEngine(ctx)
			}
		}})
	if err != nil {
		return err
	}
	if killed == "" {
		return errors.New("north-1 reported no engine with a request in flight")
	}
	if err := checkAnswer(answer, "demo-kill", tokens); err != nil {
		return err
	}
	d.printf("%s was killed after token 20; all %d tokens arrived once and in order", killed, tokens)
	return nil
}

// killBusyEngine kills the engine on which north-1 has a request in flight and returns its name, or "" if there is none.
func (d *demo) killBusyEngine(ctx context.Context) string {
	status, err := d.cluster.Operator("north-1").Status(ctx)
	if err != nil {
		return ""
	}
	for _, t := range status.Targets {
		if t.InFlight > 0 {
			d.cluster.Target(t.Name).Kill()
			return t.Name
		}
	}
	return ""
}

func (d *demo) killInstance(ctx context.Context) error {
	leader, err := d.leader()
	if err != nil {
		return err
	}
	d.cluster.Process(leader).Kill()
	survivor := "south-3"
	if err := d.streamFrom(ctx, survivor, "demo-after-kill"); err != nil {
		return err
	}
	err = d.cluster.Wait("a booking is accepted under a new leader", func() error {
		answer, err := d.callerClient.CallService(ctx, d.cluster.URL(survivor), "haul-desk", "/hauls", "haul-20", `{"tank":20}`)
		if err != nil {
			return err
		}
		if answer.Outcome != api.Answered {
			return errors.Errorf("%s: %s", answer.Reason, answer.Error.Message)
		}
		return nil
	})
	d.printf("leader %s was killed; streams and bookings continue", leader)
	return err
}

func (d *demo) printTimeline(ctx context.Context) error {
	t, err := d.cluster.Operator("south-3").Timeline(ctx, true)
	if err != nil {
		return err
	}
	if len(t.Events) == 0 || len(t.Unreachable) != 1 {
		return errors.Errorf("timeline has %d events and unreachable instances %v, want events and one unreachable instance", len(t.Events), t.Unreachable)
	}
	for _, e := range t.Events {
		_, _ = fmt.Fprintf(d.out, "      %s %-8s %d %s %v\n", time.UnixMicro(e.AtUs).UTC().Format("15:04:05.000"), e.Instance, e.Number, e.Name, e.Fields)
	}
	d.printf("unreachable: %v", t.Unreachable)
	return nil
}

func (d *demo) printLogs() {
	if d.cluster == nil {
		return
	}
	for _, name := range d.instances() {
		if p := d.cluster.Process(name); p != nil {
			log := p.Log()
			fmt.Fprintf(os.Stderr, "--- %s\n%s\n", name, log[max(0, len(log)-2000):])
		}
	}
}

// close ends every process of the cluster.
func (d *demo) close() {
	if d.cluster != nil {
		d.cluster.Close()
	}
}
