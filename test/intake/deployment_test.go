// Package intake tests that clients which hold memory or descriptors of a gateway or a control instance neither end the process nor
// keep ordinary callers out. The processes run on loopback addresses with lowered limits.
package intake

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// Limits of the processes. The bounds of the tests are memoryMB and maxFDs themselves.
const (
	memoryMB  = 64
	maxFDs    = 512
	bodyBytes = 1 << 20
	headBytes = 16384
)

const (
	knownKey  = "key-of-crew"
	controlIP = "127.0.3.1"
	gatewayIP = "127.0.3.9"
)

// answerWait is the time for which an ordinary request is repeated until it is answered. It is below the 10 s after which the unchanged
// code closed connections without a whole head.
const answerWait = 8 * time.Second

// fleetBinary and productBinary are the commands for gateways and control instances, and for instances of the product's own interface.
var fleetBinary, productBinary string

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	folder, err := os.MkdirTemp("", "hoist-intake-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(folder) }()
	fleetBinary, productBinary = filepath.Join(folder, "tarragonhoist-fleet"), filepath.Join(folder, "tarragonhoist")
	if out, err := exec.Command("go", "build", "-o", folder, "../../cmd/tarragonhoist-fleet", "../../cmd/tarragonhoist").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// deployment is a control instance, a gateway and a target.
type deployment struct {
	t                                *testing.T
	folder                           string
	callers, ready, control, metrics string
	peerPort                         int
	gateway, controlInstance         *process
	target                           string // address
}

func freePort(t *testing.T) int {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port
}

func newDeployment(t *testing.T) *deployment {
	d := &deployment{t: t, folder: t.TempDir(), peerPort: freePort(t)}
	port := freePort(t)
	d.callers, d.ready = fmt.Sprintf("%s:%d", gatewayIP, port), fmt.Sprintf("%s:%d", gatewayIP, freePort(t))
	d.control = fmt.Sprintf("%s:%d", controlIP, freePort(t))
	d.metrics = fmt.Sprintf("%s:%d", gatewayIP, freePort(t))
	d.startTarget()
	d.restart(true)
	stopped := make(chan struct{})
	go d.sendHeartbeats(stopped)
	t.Cleanup(func() { close(stopped); d.gateway.kill(); d.controlInstance.kill() })
	d.await(answerWait*2, "configuration", func() bool {
		status, _ := do(http.MethodPost, "http://"+d.control+"/api/Config.Replace", "", configuration)
		return status == http.StatusOK
	})
	d.await(answerWait*2, "gateway", d.answers)
	return d
}

// restart starts both processes again, so that the peak of one case is not counted in the next.
func (d *deployment) restart(first bool) {
	common := fmt.Sprintf("data_centre = \"a\"\npeer_port = %d\nseeds = [%q]\nmemory_mb = %d\nmax_fds = %d\nfirst_start = %t\nlog = { level = \"warning\" }\n",
		d.peerPort, d.control, memoryMB, maxFDs, first)
	if d.gateway != nil {
		d.gateway.kill()
		d.controlInstance.kill()
	}
	d.controlInstance = d.start("control", fmt.Sprintf("name = \"c\"\naddress = %q\nlisten_control = %q\ndata_folder = %q\n", controlIP, d.control, filepath.Join(d.folder, "data"))+common)
	d.gateway = d.start("gateway", fmt.Sprintf("name = \"g\"\naddress = %q\nlisten_callers = %q\nlisten_ready = %q\nlisten_metrics = %q\n", gatewayIP, d.callers, d.ready, d.metrics)+common)
	if !first {
		d.await(answerWait*2, "restart", d.answers)
	}
}

func (d *deployment) start(role, text string) *process {
	d.t.Helper()
	path := filepath.Join(d.folder, role+".toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		d.t.Fatal(err)
	}
	p, err := startProcess(role, fleetBinary, "--settings", path, role)
	if err != nil {
		d.t.Fatal(err)
	}
	return p
}

var configuration = fmt.Sprintf(`{"version":1,"routes":[{"name":"r","host":"h.example","path_prefix":"/x/","kind":"non_idempotent",`+
	`"timeout_ms":20000,"slo_ms":500,"service":"one","max_attempts":1}],"services":[{"name":"one","health_path":"/health"}],`+
	`"tenants":[{"name":"crew","api_keys":[%q]}],`+
	`"limits":{"header_bytes":%d,"body_bytes":%d,"header_ms":3000,"idle_ms":15000}}`, knownKey, headBytes, bodyBytes)

// startTarget starts a target that answers with a small body, or with 192 KiB or 8 MiB where the path says so.
func (d *deployment) startTarget() {
	sizes := map[string]int{"/x/medium": 192 << 10, "/x/large": 8 << 20}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		d.t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		w.Header().Set("X-Response-Seal", "s")
		size := max(sizes[r.URL.Path], 2)
		w.Header().Set("Content-Length", fmt.Sprint(size))
		_, _ = io.WriteString(w, strings.Repeat("x", size))
	})}
	go func() { _ = server.Serve(listener) }()
	d.t.Cleanup(func() { _ = server.Close() })
	d.target = listener.Addr().String()
}

func (d *deployment) sendHeartbeats(stopped chan struct{}) {
	for sequence := 1; ; sequence++ {
		body := fmt.Sprintf(`{"service":"one","address":%q,"zone":"a","slots":400,"state":"ready","sequence":%d,"born":1}`, d.target, sequence)
		_, _ = do(http.MethodPost, "http://"+d.control+"/api/Replicas.Heartbeat/t", "", body)
		select {
		case <-stopped:
			return
		case <-time.After(250 * time.Millisecond):
		}
	}
}

// answers sends an ordinary request to each listener and reports whether all were answered.
func (d *deployment) answers() bool {
	for _, r := range []struct{ method, url, key string }{
		{http.MethodPost, "http://" + d.callers + "/x/small", knownKey},
		{http.MethodGet, "http://" + d.ready + "/api/ready", ""},
		{http.MethodGet, "http://" + d.control + "/api/Config.Read", ""},
		{http.MethodGet, "http://" + d.metrics + "/", ""},
	} {
		if status, err := do(r.method, r.url, r.key, ""); err != nil || status != http.StatusOK {
			return false
		}
	}
	return true
}

func do(method, url, key, body string) (int, error) {
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	r.Host, r.Close = "h.example", true
	r.Header.Set("X-Attempt-Id", "ordinary")
	if key != "" {
		r.Header.Set("Api-Key", key)
	}
	response, err := (&http.Client{Timeout: 3 * time.Second}).Do(r)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

func (d *deployment) await(limit time.Duration, what string, done func() bool) {
	d.t.Helper()
	for deadline := time.Now().Add(limit); !done(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			d.t.Fatalf("%s: not within %s\n%s\n%s", what, limit, d.gateway.log(), d.controlInstance.log())
		}
	}
}

// Guards against processes that keep the limit of descriptors to which the Go runtime raises it: that of the machine.
func TestProcessesLimitTheirDescriptors(t *testing.T) {
	d, p := newDeployment(t), newProduct(t)
	for _, process := range []*process{d.gateway, d.controlInstance, p.instance} {
		if limit, err := process.openFilesLimit(); err != nil || limit != maxFDs {
			t.Errorf("%s: %d descriptors are allowed, want %d, error %v", process.role, limit, maxFDs, err)
		}
	}
}

// Guards against connections of other gateways that are closed in favour of callers.
func TestConnectionsOfGatewaysStay(t *testing.T) {
	d := newDeployment(t)
	var peers []net.Conn
	for range 10 {
		c, err := net.Dial("tcp", d.places("handover")[0].address)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		peers = append(peers, c)
	}
	time.Sleep(settleTime)
	silent := crowd{clients: 300, send: func(net.Conn, place) {}}
	leave := silent.join(d.places("route")[0])
	defer leave()
	time.Sleep(settleTime)
	for _, c := range peers {
		_ = c.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
		if _, err := c.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("a connection of another gateway is closed: %v", err)
		}
	}
}
