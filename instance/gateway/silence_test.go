package gateway

import (
	"net"
	"net/http"
	"testing"
	"time"
)

// Guards against requests that wait for a target that is cut off until their deadline, although another one would serve them, and
// against answers of sound targets that are cut because these fall silent for a second.
func TestSilentTarget(t *testing.T) {
	const second = time.Second
	for _, c := range []struct {
		name    string
		path    string
		silence time.Duration
		// cutOff has the target respond to no connection while it is silent.
		cutOff      bool
		maxDuration time.Duration
		runs        int
	}{
		{"idempotent, silent for a second", "/safe/x", second, false, 1300 * time.Millisecond, 1},
		{"idempotent, cut off", "/safe/x", 10 * second, true, 900 * time.Millisecond, 2},
		{"non-idempotent, cut off for a second", "/once/x", second, true, 1300 * time.Millisecond, 1},
		{"stream, silent for a second in its middle", "/resumed/x", second, false, 1300 * time.Millisecond, 1},
		{"stream, cut off for a second in its middle", "/resumed/x", second, true, 1300 * time.Millisecond, 1},
		{"stream, cut off in its middle", "/resumed/x", 10 * second, true, 1900 * time.Millisecond, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			f.configure()
			go f.gateway.probeUnreachable(t.Context())
			stream := c.path == "/resumed/x"
			service, headers := "plain", []string(nil)
			if stream {
				service, headers = "engine", []string{"Model: m", testHeaders.TimeLeftMs + ": 2000"}
			}
			finish := func(conn net.Conn, r *http.Request, body string) {
				switch {
				case !stream:
					answerOK(conn, r, body)
				case r.Header.Get(testHeaders.LastEvent) != "":
					writeStream(conn, r, true, event(2))
				default:
					writeStream(conn, r, true, event(1), event(2))
				}
			}
			f.target("t0", service, func(conn net.Conn, r *http.Request, body string) {
				f.target("t1", service, finish)
				if c.cutOff {
					f.cutOff.Store(f.view.Targets()[0].Address, true)
				}
				if stream {
					writeStream(conn, r, false, event(1))
				}
				time.Sleep(c.silence)
				if !stream {
					finish(conn, r, body)
					return
				}
				writeChunk(conn, event(2))
				writeChunk(conn, "")
			})
			started := time.Now()
			response, body, err := f.call("r1", c.path, headers...)
			want := "did work"
			if stream {
				want = event(1) + event(2)
			}
			if err != nil || response.StatusCode != 200 || body != want {
				t.Errorf("response %v, body %q, error %v; want %q", response, body, err, want)
			}
			if took := time.Since(started); took > c.maxDuration {
				t.Errorf("answered after %v, want at most %v", took, c.maxDuration)
			}
			if n := f.runCount("r1"); n != c.runs {
				t.Errorf("request was sent %d times, want %d", n, c.runs)
			}
		})
	}
}
