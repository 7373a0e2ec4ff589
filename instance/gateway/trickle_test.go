package gateway

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"
)

// Guards against slow but sound streams that are cut, and against stalled ones that send a byte now and then and outlive the time that
// their caller has.
func TestSlowAndStalledStreams(t *testing.T) {
	for _, path := range []string{"/stream/x", "/resumed/x"} {
		for name, row := range map[string]struct {
			list   []string // written one after the other, the last one again and again until the gateway gives up
			pause  time.Duration
			whole  bool
			within time.Duration
		}{
			"slow events":              {[]string{event(1), event(2), event(3)}, 400 * time.Millisecond, true, 1500 * time.Millisecond},
			"slow bytes":               {[]string{"id:", " 1", "\ndata: ", "x", "\n", "\n", event(2), event(3)}, 100 * time.Millisecond, true, 1500 * time.Millisecond},
			"stalled in an event":      {[]string{event(1), "id: 2\ndata: ", "x"}, 50 * time.Millisecond, false, 1100 * time.Millisecond},
			"stalled between events":   {[]string{event(1), ": x\n\n"}, 50 * time.Millisecond, false, 1100 * time.Millisecond},
			"stalled before any event": {[]string{":"}, 50 * time.Millisecond, false, 1100 * time.Millisecond},
		} {
			t.Run(path+", "+name, func(t *testing.T) {
				t.Parallel()
				f := newFixture(t)
				f.configure()
				for i := range 2 {
					f.target(fmt.Sprint("t", i), "engine", func(conn net.Conn, r *http.Request, _ string) {
						writeStream(conn, r, false)
						for i := 0; i < len(row.list) || !row.whole; i++ {
							time.Sleep(row.pause)
							if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(row.list[min(i, len(row.list)-1)]), row.list[min(i, len(row.list)-1)]); err != nil {
								return
							}
						}
						writeChunk(conn, "")
					})
				}
				timeLeft := time.Second
				if row.whole {
					timeLeft = 2 * time.Second
				}
				started := time.Now()
				_, body, err := f.call("r", path, "Model: m", fmt.Sprintf("%s: %d", testHeaders.TimeLeftMs, timeLeft.Milliseconds()))
				took := time.Since(started)
				if row.whole != (err == nil) || row.whole && body != firstEvents(3) {
					t.Errorf("body %q, error %v, want whole: %v", body, err, row.whole)
				}
				if slack := 300 * time.Millisecond; took > row.within+slack {
					t.Errorf("ended after %v, want at most %v", took, row.within+slack)
				}
			})
		}
	}
}
