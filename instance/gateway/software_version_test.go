package gateway

import (
	"net"
	"net/http"
	"sync"
	"testing"
)

// breakingStream breaks a stream off after its first event, and writes one that goes on to the end.
func breakingStream(conn net.Conn, r *http.Request, _ string) {
	if r.Header.Get(testHeaders.LastEvent) == "1" {
		writeStream(conn, r, true, event(2), event(3))
		return
	}
	writeStream(conn, r, false, event(1))
	_ = conn.Close()
}

// Guards against an answer that holds events of two software versions: the gateway resumes a broken stream by itself.
func TestBrokenStreamIsResumedAtItsSoftwareVersion(t *testing.T) {
	t.Run("no other target of the version", func(t *testing.T) {
		f := newFixture(t)
		f.configure()
		f.targetOf("t0", "engine", "v1", breakingStream)
		f.targetOf("t1", "engine", "v2", breakingStream)
		_, body, err := f.call("r1", "/resumed/x", "Model: m")
		if err == nil || body != event(1) {
			t.Errorf("body %q, error %v; want the first event and a broken connection", body, err)
		}
	})
	t.Run("another target of the version", func(t *testing.T) {
		f := newFixture(t)
		f.configure()
		var newer sync.Once
		startNewer := func() {
			for _, id := range []string{"t2", "t3", "t4", "t5", "t6", "t7", "t8", "t9"} {
				f.targetOf(id, "engine", "v2", func(conn net.Conn, r *http.Request, _ string) {
					writeStream(conn, r, true, "id: 2\ndata: v2\n\n", "id: 3\ndata: v2\n\n")
				})
			}
		}
		for _, id := range []string{"t0", "t1"} {
			f.targetOf(id, "engine", "v1", func(conn net.Conn, r *http.Request, body string) {
				newer.Do(startNewer)
				breakingStream(conn, r, body)
			})
		}
		_, body, err := f.call("r1", "/resumed/x", "Model: m")
		if err != nil || body != event(1)+event(2)+event(3) {
			t.Errorf("body %q, error %v; want events 1 to 3 of one version", body, err)
		}
	})
}
