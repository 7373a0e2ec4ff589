package gateway

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/tarragonhoist/tarragonhoist/coordination/roster"
)

// Guards against requests to a target that says in its answers that it leaves, while its heartbeats still say that it is ready, and
// against a restarted target that gets none.
func TestTargetThatSaysThatItLeavesGetsNoNewRequests(t *testing.T) {
	leaving := func(conn net.Conn, r *http.Request, body string) {
		respond(conn, r, 200, "leaving", sealHeader, testHeaders.Leaving+": 1")
	}
	for name, first := range map[string]func(conn net.Conn, r *http.Request, body string){
		"answer": leaving,
		"refusal": func(conn net.Conn, r *http.Request, _ string) {
			respond(conn, r, 503, "", "Not-Run: 1", testHeaders.Leaving+": 1")
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.configure()
			f.target("t0", "plain", first)
			f.target("t1", "plain", answerOK)
			entry := f.view.Targets()[0].Target
			for i := range 30 {
				if _, body, err := f.call(fmt.Sprint("first", i), "/safe/x"); err != nil || f.view.Targets()[0].State == roster.Draining {
					break
				} else if body == "leaving" {
					t.Fatal("the target counts as ready after its answer")
				}
			}
			entry.HeartbeatSequence++ // still ready
			if _, err := f.view.ApplyHeartbeat(time.Now(), entry); err != nil {
				t.Fatal(err)
			}
			for i := range 30 {
				if _, body, err := f.call(fmt.Sprint("r", i), "/safe/x"); err != nil || body != "did work" {
					t.Fatalf("body %q, error %v; want the answer of the other target", body, err)
				}
			}
			entry.StartedAtMs++
			if _, err := f.view.ApplyHeartbeat(time.Now(), entry); err != nil {
				t.Fatal(err)
			}
			if state := f.view.Targets()[0].State; state != roster.Ready {
				t.Errorf("state %v of the restarted target, want ready", state)
			}
		})
	}
}

// Guards against a sound target that gets no requests because another one at its address leaves.
func TestAnswerOfAnotherTargetThatLeaves(t *testing.T) {
	f := newFixture(t)
	f.configure()
	f.target("t0", "plain", func(conn net.Conn, r *http.Request, _ string) {
		respond(conn, r, 421, "", testHeaders.TargetID+": other", testHeaders.Leaving+": 1")
	})
	if response, _, err := f.call("r1", "/safe/x"); err != nil || response.StatusCode != 503 {
		t.Fatalf("response %v, error %v", response, err)
	}
	if state := f.view.Targets()[0].State; state != roster.Ready {
		t.Errorf("state %v, want ready", state)
	}
}
