package intake

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/tarragonhoist/tarragonhoist/protocol/targetapi"
	"github.com/tarragonhoist/tarragonhoist/transport/httpapi"
)

// productHeadBytes is the limit of heads of the product's own interface.
const productHeadBytes = 32 << 10

// product is one instance of the product's own interface, with a target of a plain service.
type product struct {
	t          *testing.T
	folder     string
	http, peer string
	instance   *process
	target     string // address
}

func newProduct(t *testing.T) *product {
	p := &product{t: t, folder: t.TempDir()}
	p.http, p.peer = fmt.Sprintf("127.0.3.17:%d", freePort(t)), fmt.Sprintf("127.0.3.17:%d", freePort(t))
	p.startTarget()
	p.restart()
	stopped := make(chan struct{})
	go p.announce(stopped)
	t.Cleanup(func() { close(stopped); p.instance.kill() })
	const note = "number = 1\n[[service]]\naction = \"add\"\nname = \"desk\"\ncallers = [\"anonymous\"]\nnon_idempotent = [\"PATCH\"]\n"
	p.await("release note", func() bool {
		status, _ := do(http.MethodPost, "http://"+p.http+"/hoist/v1/notes", "", note)
		return status == http.StatusOK
	})
	p.await("instance", p.answers)
	return p
}

// restart starts the instance again, so that the peak of one case is not counted in the next.
func (p *product) restart() {
	p.t.Helper()
	again := p.instance != nil
	if again {
		p.instance.kill()
	}
	text := fmt.Sprintf("cluster = \"c\"\ninstance = \"i\"\ndata_centre = \"a\"\ndata_folder = %q\nlisten_http = %q\nlisten_peer = %q\nvoters = [\"i\"]\n"+
		"memory_mb = %d\nmax_fds = %d\nlog = { level = \"warning\" }\n[[peer]]\nname = \"i\"\ndata_centre = \"a\"\naddress = %q\n",
		filepath.Join(p.folder, "data"), p.http, p.peer, memoryMB, maxFDs, p.peer)
	path := filepath.Join(p.folder, "instance.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		p.t.Fatal(err)
	}
	var err error
	if p.instance, err = startProcess("instance", productBinary, "serve", "--settings", path); err != nil {
		p.t.Fatal(err)
	}
	if again {
		p.await("restart", p.answers)
	}
}

func (p *product) await(what string, done func() bool) {
	p.t.Helper()
	for deadline := time.Now().Add(2 * answerWait); !done(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			p.t.Fatalf("%s: not within %s\n%s", what, 2*answerWait, p.instance.log())
		}
	}
}

// startTarget starts a target that answers with a small body, or with 192 KiB or almost 4 MiB where the path says so.
func (p *product) startTarget() {
	sizes := map[string]int{"/medium": 192 << 10, "/large": 4<<20 - 1}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, strings.Repeat("x", max(sizes[r.URL.Path], 2)))
	}))
	p.t.Cleanup(server.Close)
	p.target = server.Listener.Addr().String()
}

func (p *product) announce(stopped chan struct{}) {
	for sequence := uint64(1); ; sequence++ {
		body, _ := json.Marshal(targetapi.Announcement{Version: targetapi.Version, Target: "desk-1", Incarnation: 1, Sequence: sequence, DataCentre: "a",
			Address: p.target, Kind: targetapi.Service, Service: "desk", Slots: 400})
		_, _ = do(http.MethodPost, "http://"+p.http+targetapi.PathAnnounce, "", string(body))
		select {
		case <-stopped:
			return
		case <-time.After(250 * time.Millisecond):
		}
	}
}

// answers sends ordinary requests and reports whether all were answered.
func (p *product) answers() bool {
	for _, r := range []struct{ method, path string }{
		{http.MethodPost, "/services/desk/small"}, {http.MethodGet, "/readyz"}, {http.MethodGet, "/v1/models"},
	} {
		if status, err := do(r.method, "http://"+p.http+r.path, "", ""); err != nil || status != http.StatusOK {
			return false
		}
	}
	return true
}

func (p *product) places() []place {
	all := []place{
		{"service", p.http, "/services/desk/", ""},
		{"chat", p.http, "/v1/chat/completions", ""},
		{"no handler", p.http, "/none/", ""},
		{"readiness", p.http, "/readyz", ""},
		{"metrics", p.http, "/metrics", ""},
		{"timeline", p.http, "/hoist/v1/timeline", ""},
		{"announcement", p.http, targetapi.PathAnnounce, ""},
		{"peers", p.peer, "/", ""},
	}
	if only := os.Getenv("INTAKE_PLACE"); only != "" {
		return slices.DeleteFunc(all, func(p place) bool { return p.name != only })
	}
	return all
}

// fullBody is one byte shorter than the limit of bodies of the product's own interface.
var fullBody = strings.Repeat("x", httpapi.MaxBodyBytes-1)

// manyElements returns a body of legal size whose array has as many elements as possible.
func manyElements(start, element, end string) string {
	return start + strings.Repeat(element+",", (httpapi.MaxBodyBytes-len(start)-len(end)-len(element))/(len(element)+1)) + element + end
}

var manyMessages = manyElements(`{"model":"m","messages":[`, "{}", "]}")

var productCrowds = []crowd{
	{name: "bodies by length", clients: 24, send: func(c net.Conn, p place) {
		write(c, p.head("POST", "small")+fmt.Sprintf(announced, httpapi.MaxBodyBytes), fullBody)
	}},
	{name: "bodies in chunks", clients: 24, send: func(c net.Conn, p place) {
		write(c, p.head("POST", "small")+"Transfer-Encoding: chunked\r\n\r\n"+fmt.Sprintf("%x\r\n", httpapi.MaxBodyBytes), fullBody)
	}},
	{name: "bodies in tiny chunks", clients: 24, send: func(c net.Conn, p place) {
		write(c, p.head("POST", "small")+"Transfer-Encoding: chunked\r\n\r\n", strings.Repeat(chunk, httpapi.MaxBodyBytes/16-1))
	}},
	{name: "announced bodies far too long", clients: 24, send: func(c net.Conn, p place) {
		write(c, p.head("POST", "small")+fmt.Sprintf(announced, 16*httpapi.MaxBodyBytes), fullBody)
	}},
	{name: "chunked bodies far too long", clients: 24, send: func(c net.Conn, p place) {
		write(c, p.head("POST", "small")+"Transfer-Encoding: chunked\r\n\r\n4000000\r\n", fullBody, fullBody)
	}},
	{name: "short fields", clients: 120, send: afterHead(fieldsUpTo(productHeadBytes, "%x:\r\n"))},
	{name: "trailers", clients: 120, send: func(c net.Conn, p place) {
		write(c, p.head("POST", "small")+"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n"+fieldsUpTo(productHeadBytes, "%x:\r\n"))
	}},
	{name: "pipelined requests", clients: 40, send: func(c net.Conn, p place) {
		readNothing(c)
		write(c, strings.Repeat(p.head("POST", "medium")+fmt.Sprintf(announced, 1)+"x", 300))
	}},
	{name: "pipelined reads", clients: 40, send: func(c net.Conn, p place) {
		readNothing(c)
		write(c, strings.Repeat(p.head("GET", "medium")+"\r\n", 300))
	}},
	{name: "unread responses", clients: 40, send: func(c net.Conn, p place) {
		readNothing(c)
		write(c, p.head("POST", "large")+fmt.Sprintf(announced, 1)+"x")
	}},
	{name: "unread short responses", clients: 300, send: func(c net.Conn, p place) {
		readNothing(c)
		write(c, p.head("POST", "medium")+fmt.Sprintf(announced, 1)+"x")
	}},
	{name: "bodies of many messages", clients: 24, only: "chat", send: func(c net.Conn, p place) {
		readNothing(c)
		write(c, p.head("POST", "")+fmt.Sprintf(announced, len(manyMessages)), manyMessages)
	}},
	{name: "frames between processes", clients: 96, only: "peers", send: func(c net.Conn, _ place) {
		write(c, "\x00\x10\x00\x00", legalBody)
	}},
	{name: "silent connections", clients: 700, once: true, send: func(net.Conn, place) {}},
	{name: "slow bodies", clients: 700, trickle: strings.Repeat("x", 200), send: func(c net.Conn, p place) {
		write(c, p.head("POST", "small")+fmt.Sprintf(announced, 4000))
	}},
}

// Guards against clients that end an instance of the product's own interface by the memory or the descriptors that they hold, or that
// keep ordinary callers out.
func TestProductCrowds(t *testing.T) {
	d := newProduct(t)
	for _, c := range productCrowds {
		t.Run(c.name, func(t *testing.T) {
			d.t = t
			for _, p := range d.places() {
				if c.once && p.name != "service" && p.name != "peers" || c.only != "" && c.only != p.name {
					continue
				}
				if problem := withCrowd(&c, p, d.answers, d.instance); problem != "" {
					t.Errorf("%s: %s", p.name, problem)
					d.restart()
				}
			}
		})
	}
	t.Run("metrics of the bounds", func(t *testing.T) {
		if os.Getenv("INTAKE_PLACE") != "" {
			t.Skip("the crowds of one place need not reach all bounds")
		}
		d.t = t
		d.await("metrics", func() bool {
			return d.boundsActed("intake.closed_for_memory", "intake.closed_for_descriptors", "events.clients-bounded")
		})
	})
}

// boundsActed reports whether all counters of the instance are above 0.
func (p *product) boundsActed(names ...string) bool {
	response, err := http.Get("http://" + p.http + "/metrics")
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	var counters map[string]struct{ Count int64 }
	if json.NewDecoder(response.Body).Decode(&counters) != nil {
		return false
	}
	return !slices.ContainsFunc(names, func(name string) bool { return counters[name].Count == 0 })
}

// Guards against a peer port whose connections are not counted.
func TestPeersOfTheProductAreCounted(t *testing.T) {
	d := newProduct(t)
	const connections = 5
	for range connections {
		c, err := net.Dial("tcp", d.peer)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
	}
	d.await("count of the connections", func() bool {
		response, err := http.Get("http://" + d.http + "/metrics")
		if err != nil {
			return false
		}
		defer func() { _ = response.Body.Close() }()
		var gauges map[string]struct{ Value int64 }
		return json.NewDecoder(response.Body).Decode(&gauges) == nil && gauges["intake.peers_held_bytes"].Value >= connections*16<<10
	})
}
