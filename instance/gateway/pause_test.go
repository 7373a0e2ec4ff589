package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"
)

// Guards against requests to a target that asked to be left alone for a time, and against refusals that do not tell callers when it
// ends.
func TestTargetIsLeftAloneForTheTimeThatItNames(t *testing.T) {
	const pause = 1200 * time.Millisecond
	wantsPause := func(conn net.Conn, r *http.Request, _ string) {
		respond(conn, r, 503, "", "Not-Run: 1", testHeaders.RetryAfter+": "+strconv.FormatFloat(pause.Seconds(), 'f', -1, 64))
	}
	t.Run("another target", func(t *testing.T) {
		f := newFixture(t)
		f.configure()
		f.target("t0", "plain", wantsPause)
		f.target("t1", "plain", answerOK)
		sent := 0
		for i, end := 0, time.Now().Add(pause); time.Now().Before(end); i++ {
			id := fmt.Sprint("r", i)
			if response, _, err := f.call(id, "/safe/x"); err != nil || response.StatusCode != 200 {
				t.Fatalf("response %v, error %v", response, err)
			}
			sent += f.runCount(id) - 1 // one run is that of the other target
			time.Sleep(5 * time.Millisecond)
		}
		if sent > 1 {
			t.Errorf("the target got %d requests within the time, want at most 1", sent)
		}
	})
	t.Run("no other target", func(t *testing.T) {
		f := newFixture(t)
		f.configure()
		f.target("t0", "plain", wantsPause)
		started := time.Now()
		for i := range 10 {
			id := fmt.Sprint("r", i)
			response, _, err := f.call(id, "/safe/x")
			if err != nil || response.StatusCode != 503 {
				t.Fatalf("response %v, error %v", response, err)
			}
			seconds, err := strconv.ParseFloat(response.Header.Get(testHeaders.RetryAfter), 64)
			left := pause - time.Since(started)
			if err != nil || seconds < left.Seconds() || seconds > left.Seconds()+1 {
				t.Errorf("Retry-After %q, want %v or a little more", response.Header.Get(testHeaders.RetryAfter), left)
			}
			if n := f.runCount(id); n > 1 || i > 0 && n > 0 {
				t.Errorf("request %d was sent %d times", i, n)
			}
		}
		if took := time.Since(started); took > pause/2 {
			t.Errorf("refused after %v in all, although it was known that the target takes nothing", took)
		}
	})
	t.Run("until the time is over", func(t *testing.T) {
		f := newFixture(t)
		f.configure()
		first := true
		f.target("t0", "plain", func(conn net.Conn, r *http.Request, body string) {
			if first {
				first = false
				respond(conn, r, 503, "", "Not-Run: 1", testHeaders.RetryAfter+": 0.3")
				return
			}
			answerOK(conn, r, body)
		})
		started := time.Now()
		response, body, err := f.call("r1", "/safe/x")
		if err != nil || response.StatusCode != 200 || body != "did work" {
			t.Fatalf("response %v, body %q, error %v", response, body, err)
		}
		if took := time.Since(started); took < 300*time.Millisecond || took > 600*time.Millisecond {
			t.Errorf("answered after %v, want 300 ms or a little more", took)
		}
	})
}
