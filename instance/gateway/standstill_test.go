package gateway

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/tarragonhoist/tarragonhoist/protocol/fleetapi"
)

// Guards against a stream that goes on at another software version because its gateway was out of step, cut off or standing still, while
// a target started again under its id: what the gateway knows of the target is from before.
func TestStreamWaitsForNewsOfTargetsAfterGatewayWasOutOfStep(t *testing.T) {
	for name, outOfStep := range map[string]func(f *fixture, elapsed *time.Duration){
		"cut off":        func(*fixture, *time.Duration) {},
		"standing still": func(_ *fixture, elapsed *time.Duration) { *elapsed += 3 * time.Second },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.view.SetLeaderAndMembers("", []string{"c1"})
			f.gateway.peers = &originPeers{answers: map[string]*fleetapi.StreamAnswer{"c1": {Known: true, Service: "engine", SoftwareVersion: "v1"}}}
			var elapsed time.Duration
			f.gateway.standstill = newStandstill(func() time.Duration { return elapsed })
			f.configure()
			f.targetOf("e0", "engine", "v1", func(conn net.Conn, r *http.Request, _ string) {
				writeStream(conn, r, true, "id: 2\ndata: written by v2\n\n")
			})
			entry := f.view.Targets()[0].Target
			heard := func(at time.Time, software string) {
				entry.HeartbeatSequence++
				entry.StartedAtMs++
				entry.SoftwareVersion = software
				if _, err := f.view.ApplyHeartbeat(at, entry); err != nil {
					t.Fatal(err)
				}
			}
			if name == "cut off" {
				heard(time.Now().Add(-2*maxTargetAge), "v1")
			}
			outOfStep(f, &elapsed)
			takeUp := func(id string) (int, string) {
				response, body, err := f.call(id, "/resumed/x", "Model: m", testHeaders.LastEvent+": 1", testHeaders.Resumes+": r1")
				if err != nil {
					t.Fatal(err)
				}
				return response.StatusCode, body
			}
			if status, body := takeUp("r2"); status != http.StatusServiceUnavailable || f.runCount("r2") != 0 {
				t.Errorf("status %d, body %q after %d runs; want a refusal without any", status, body, f.runCount("r2"))
			}
			// A new stream may begin there whatever the version.
			if response, _, err := f.call("r3", "/resumed/x", "Model: m"); err != nil || response.StatusCode != 200 {
				t.Errorf("a new stream: response %v, error %v", response, err)
			}
			// It waits until the target is heard of again.
			time.AfterFunc(arrivedBefore+100*time.Millisecond, func() { heard(time.Now(), "v1") })
			if status, _ := takeUp("r4"); status != 200 {
				t.Errorf("status %d once the target was heard of, want 200", status)
			}
		})
	}
}

// Guards against a standstill that only the next tick would notice, and against short pauses of the scheduler that count as one.
func TestStandstill(t *testing.T) {
	var elapsed time.Duration
	s := newStandstill(func() time.Duration { return elapsed })
	now := time.Now()
	if !s.newsSince(now).IsZero() {
		t.Error("a process that has just started stood still")
	}
	elapsed += maxClockGap
	if !s.newsSince(now).IsZero() {
		t.Error("a short pause counts as a standstill")
	}
	elapsed += maxClockGap + time.Millisecond
	if news := now.Add(arrivedBefore); !s.newsSince(now).Equal(news) || !s.newsSince(now.Add(time.Second)).Equal(news) {
		t.Error("a standstill is not noticed, or not remembered")
	}
}

// Guards against a stream that goes on at another software version because its target ended and started again under its id, before a
// heartbeat tells of that: that the address accepts connections again says nothing about the version.
func TestStreamWaitsForNewsOfTargetThatRefusedConnection(t *testing.T) {
	f := newFixture(t)
	f.view.SetLeaderAndMembers("", []string{"c1"})
	f.gateway.peers = &originPeers{answers: map[string]*fleetapi.StreamAnswer{"c1": {Known: true, Service: "engine", SoftwareVersion: "v1"}}}
	f.configure()
	f.targetOf("e0", "engine", "v1", func(conn net.Conn, r *http.Request, _ string) {
		writeStream(conn, r, true, "id: 2\ndata: written by v2\n\n")
	})
	entry := f.view.Targets()[0].Target
	heard := func(at time.Time) {
		entry.HeartbeatSequence++
		if _, err := f.view.ApplyHeartbeat(at, entry); err != nil {
			t.Fatal(err)
		}
	}
	takeUp := func(id string) int {
		response, _, err := f.call(id, "/resumed/x", "Model: m", testHeaders.LastEvent+": 1", testHeaders.Resumes+": r1")
		if err != nil {
			t.Fatal(err)
		}
		return response.StatusCode
	}
	f.unreachable.Store(true)
	if got := takeUp("r2"); got != http.StatusServiceUnavailable {
		t.Fatalf("status %d without a target, want 503", got)
	}
	f.unreachable.Store(false)
	refused := time.Now()
	f.gateway.loadTracker.RecordProbe(time.Now(), "e0", true)
	heard(refused.Add(restartNewsDelay / 2)) // a heartbeat that the earlier start sent may arrive late
	if got := takeUp("r3"); got != http.StatusServiceUnavailable || f.runCount("r3") != 0 {
		t.Errorf("status %d after %d runs; want a refusal without any", got, f.runCount("r3"))
	}
	heard(time.Now().Add(restartNewsDelay))
	if got := takeUp("r4"); got != 200 {
		t.Errorf("status %d once the target was heard of, want 200", got)
	}
}
