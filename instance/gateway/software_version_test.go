package gateway

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/coordination/streamorigin"
	"github.com/tarragonhoist/tarragonhoist/protocol/fleetapi"
	"github.com/tarragonhoist/tarragonhoist/protocol/peerapi"
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
		f.targetOf("t0", "engine", "v1", func(conn net.Conn, r *http.Request, body string) {
			if r.Header.Get(testHeaders.LastEvent) != "" {
				closeConnection(conn, r, body)
				return
			}
			f.targetOf("t1", "engine", "v2", breakingStream)
			breakingStream(conn, r, body)
		})
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

// originPeers are three control instances that answer where a stream began. One without an answer does not respond.
type originPeers struct {
	answers map[string]*fleetapi.StreamAnswer
	asked   atomic.Int64
	// adapterRequests are those that the leader got.
	adapterRequests chan fleetapi.AdapterRequest
}

func (p *originPeers) Call(_ context.Context, name, method string, params, result any) error {
	switch method {
	case peerapi.MethodFleetOrigin:
	case peerapi.MethodFleetAdapter:
		p.adapterRequests <- params.(fleetapi.AdapterRequest)
		return nil
	default:
		return errors.Errorf("unexpected method %s", method)
	}
	p.asked.Add(1)
	if p.answers[name] == nil {
		return errors.New("unreachable")
	}
	data, err := json.Marshal(p.answers[name])
	if err != nil {
		return err
	}
	return json.Unmarshal(data, result)
}

// Guards against streams that go on at a version that is only guessed, against refusals that come late or without a time to
// return, and against streams that do not go on although their version is known.
func TestTakenUpStream(t *testing.T) {
	both := &fleetapi.StreamAnswer{Versions: []string{"v1", "v2"}, Complete: true}
	onlyV1 := &fleetapi.StreamAnswer{Versions: []string{"v1"}, Complete: true}
	record := func(service, version string) *fleetapi.StreamAnswer {
		return &fleetapi.StreamAnswer{Known: true, Service: service, SoftwareVersion: version}
	}
	type answers = map[string]*fleetapi.StreamAnswer
	for name, c := range map[string]struct {
		answers answers
		want    string // version of the target that goes on with the stream, empty if it is refused
	}{
		"a record at one instance":               {answers{"c1": both, "c2": record("engine", "v2"), "c3": both}, "v2"},
		"a record, the others do not answer":     {answers{"c3": record("engine", "v1")}, "v1"},
		"no record":                              {answers{"c1": both, "c2": both, "c3": both}, ""},
		"no record, one version":                 {answers{"c1": onlyV1, "c2": onlyV1}, "v1"},
		"no record, one version, no majority":    {answers{"c1": onlyV1}, ""},
		"no instance answers":                    {nil, ""},
		"a version that has left":                {answers{"c1": record("engine", "v0")}, ""},
		"a service to which no route leads":      {answers{"c1": record("plain", "v1")}, ""},
		"a service that does not exist any more": {answers{"c1": record("gone", "v1")}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.view.SetLeaderAndMembers("", []string{"c1", "c2", "c3"})
			peers := &originPeers{answers: c.answers}
			f.gateway.peers = peers
			f.configure()
			for _, version := range []string{"v1", "v2"} {
				f.targetOf("t-"+version, "engine", version, func(conn net.Conn, r *http.Request, _ string) {
					writeStream(conn, r, true, "id: 2\ndata: "+version+"\n\n")
				})
			}
			started := time.Now()
			response, body, err := f.call("r2", "/resumed/x", "Model: m", testHeaders.LastEvent+": 1", testHeaders.Resumes+": r1")
			if err != nil {
				t.Fatal(err)
			}
			if c.want != "" {
				if response.StatusCode != 200 || body != "id: 2\ndata: "+c.want+"\n\n" {
					t.Errorf("status %d, body %q; want the event of %s", response.StatusCode, body, c.want)
				}
				return
			}
			if response.StatusCode != 503 || response.Header.Get(testHeaders.RetryAfter) == "" || f.runCount("r2") != 0 {
				t.Errorf("status %d after %d runs; want a refusal without any", response.StatusCode, f.runCount("r2"))
			}
			if took := time.Since(started); took > 1200*time.Millisecond {
				t.Errorf("refused after %v, more than half of the time after which the caller abandons the stream", took)
			}
		})
	}
}

// Guards against a gateway that asks the control instances about streams that it began itself, and against one that forgets
// them before their callers give up: the route ends attempts after 2 s.
func TestGatewayKnowsItsOwnStreams(t *testing.T) {
	f := newFixture(t)
	peers := &originPeers{}
	f.gateway.peers = peers
	f.configure()
	f.targetOf("t1", "engine", "v1", func(conn net.Conn, r *http.Request, body string) {
		f.targetOf("t2", "engine", "v2", breakingStream)
		writeStream(conn, r, true, event(1), event(2))
	})
	if _, body, err := f.call("r1", "/resumed/x", "Model: m", testHeaders.TimeLeftMs+": 9000"); err != nil || body != event(1)+event(2) {
		t.Fatalf("body %q, error %v", body, err)
	}
	origin, ok := f.view.OriginOf(time.Now().Add(8*time.Second), streamorigin.IDOf("r1"))
	if want := (streamorigin.Origin{Service: "engine", SoftwareVersion: "v1"}); !ok || origin != want {
		t.Errorf("the stream began at %v, %v; want %v", origin, ok, want)
	}
	if n := peers.asked.Load(); n != 0 {
		t.Errorf("control instances were asked %d times", n)
	}
}

// Guards against an adapter that the leader has loaded at a target of another version than the one that began the stream.
func TestAdapterOfTakenUpStream(t *testing.T) {
	f := newFixture(t)
	f.view.SetLeaderAndMembers("c1", []string{"c1"})
	peers := &originPeers{adapterRequests: make(chan fleetapi.AdapterRequest, 100),
		answers: map[string]*fleetapi.StreamAnswer{"c1": {Known: true, Service: "engine", SoftwareVersion: "v2"}}}
	f.gateway.peers = peers
	f.configure()
	f.gateway.opts.ReadPrompt = readAdapterPrompt
	f.targetOf("t1", "engine", "v1", breakingStream)
	f.targetOf("t2", "engine", "v2", breakingStream)
	if response, _, err := f.call("r2", "/resumed/x", testHeaders.LastEvent+": 1", testHeaders.Resumes+": r1"); err != nil || response.StatusCode != 503 {
		t.Fatalf("response %v, error %v; want a refusal", response, err)
	}
	r := <-peers.adapterRequests
	if r.SoftwareVersion == nil || *r.SoftwareVersion != "v2" {
		t.Errorf("the leader was asked for a target of version %v, want v2", r.SoftwareVersion)
	}
}
