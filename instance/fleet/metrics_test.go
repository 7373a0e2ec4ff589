package fleet

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	metrics "github.com/rcrowley/go-metrics"
)

// Guards against metrics that end early and look complete, for a client that closes its sending side at once.
func TestMetricsAreWholeOrCut(t *testing.T) {
	const counters = 2000
	registry := metrics.NewRegistry()
	for i := range counters {
		metrics.GetOrRegisterCounter(fmt.Sprintf("counter %04d", i), registry).Inc(1)
	}
	p := &process{registry: registry}
	server := httptest.NewServer(http.HandlerFunc(p.serveMetrics))
	defer server.Close()
	for range 20 {
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(conn, "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n")
		_ = conn.(*net.TCPConn).CloseWrite()
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err == nil {
			var body []byte
			if body, err = io.ReadAll(response.Body); err == nil && strings.Count(string(body), "count:") != counters {
				t.Errorf("status %d with %d bytes of metrics looks complete", response.StatusCode, len(body))
			}
		}
		_ = conn.Close()
	}
}
