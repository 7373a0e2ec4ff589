package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/tarragonhoist/tarragonhoist/coordination/crashes"
)

// crashingTargets starts targets that answer streams, and end after a partial answer when a request has the part "bad".
func (f *fixture) crashingTargets(n int, partialAnswer func(conn net.Conn, r *http.Request)) {
	for i := range n {
		f.target(fmt.Sprint("t", i), "engine", func(conn net.Conn, r *http.Request, _ string) {
			for _, part := range promptParts(r) {
				if part == "bad" {
					f.mu.Lock()
					_ = f.listeners[i].Close()
					f.mu.Unlock()
					partialAnswer(conn, r)
					_ = conn.Close()
					return
				}
			}
			writeStream(conn, r, true, event(1), event(2))
		})
	}
}

func noAnswer(net.Conn, *http.Request) {}

// unframed returns an answer without a length that ends with its connection.
func unframed(body string) func(conn net.Conn, r *http.Request) {
	return func(conn net.Conn, r *http.Request) {
		_, _ = io.WriteString(conn, responseHead(r, r.Header.Get(testHeaders.RequestID), "Content-Type: text/event-stream\r\n")+body)
	}
}

func promptParts(r *http.Request) []string {
	p, _ := readPrompt(r.Header)
	var ids []string
	for _, part := range p.Parts {
		ids = append(ids, part.ID)
	}
	return ids
}

func (f *fixture) crashed() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, l := range f.listeners {
		if conn, err := net.DialTimeout("tcp", l.Addr().String(), time.Second); err != nil {
			n++
		} else {
			_ = conn.Close()
		}
	}
	return n
}

// Guards against a request that is sent to another target although a part of its prompt was on several targets when these
// crashed, against new requests with the part that reach targets, and against sound requests that are refused with them. A
// target that ends in the middle of an answer without a length leaves one that may look complete.
func TestRequestWithCrashingPartIsNotRepeated(t *testing.T) {
	for _, c := range []struct {
		name          string
		partialAnswer func(conn net.Conn, r *http.Request)
		mayBreakOff   bool // the answer to the caller has begun and may be cut off
	}{
		{"no answer", noAnswer, false},
		{"first event of a framed answer", func(conn net.Conn, r *http.Request) { writeStream(conn, r, false, event(1)) }, true},
		{"head without length", unframed(""), true},
		{"first event without length", unframed(event(1)), true},
		{"part of an event without length", unframed("id: 1\nda"), true},
	} {
		t.Run(c.name, func(t *testing.T) { testCrashingPart(t, c.partialAnswer, c.mayBreakOff) })
	}
}

func testCrashingPart(t *testing.T, partialAnswer func(conn net.Conn, r *http.Request), mayBreakOff bool) {
	f := newFixture(t)
	f.configure()
	f.crashingTargets(8, partialAnswer)
	send := func(id, parts string) int {
		response, _, err := f.call(id, "/resumed/"+id, "Model: m", "Parts: "+parts)
		if err != nil && !mayBreakOff {
			t.Fatal(err)
		}
		if response == nil {
			return 0 // the answer broke off before its first byte
		}
		return response.StatusCode
	}
	if status := send("sound", "first s1"); status != http.StatusOK {
		t.Fatalf("status %d of a sound request", status)
	}
	// The first request is sent twice, as its route allows. Every later one is sent once at most.
	for i := range 6 {
		send(fmt.Sprint("bad", i), fmt.Sprintf("first bad b%d", i))
		time.Sleep(50 * time.Millisecond) // the crashes are not simultaneous
	}
	if n := f.crashed(); n > 4 {
		t.Errorf("%d targets crashed, want at most 4", n)
	}
	if status := send("late", "first bad b9"); status != http.StatusServiceUnavailable || f.runCount("late") != 0 {
		t.Errorf("status %d of a request with the part, which was sent %d times; want status 503 and no send", status, f.runCount("late"))
	}
	if status := send("sound2", "first s2"); status != http.StatusOK {
		t.Errorf("status %d of a sound request with the same first part, want 200", status)
	}
}

// Guards against a refusal that invites the caller to return while its request is still quarantined.
func TestQuarantinedRequestIsToldWhenToReturn(t *testing.T) {
	f := newFixture(t)
	f.configure()
	f.crashingTargets(1, noAnswer)
	now := time.Now()
	for i := range 3 {
		at := now.Add(-time.Duration(i+1) * time.Second)
		f.view.RecordCrash(now, crashes.Occurrence{At: at}, uint64(i+1), []crashes.Suspect{{Key: crashes.PartKey("bad"), Depth: 2}})
	}
	response, _, err := f.call("q", "/stream/q", "Model: m", "Parts: first bad b1")
	if err != nil {
		t.Fatal(err)
	}
	var seconds float64
	if _, err := fmt.Sscan(response.Header.Get(testHeaders.RetryAfter), &seconds); err != nil || seconds < 500 || response.StatusCode != 503 {
		t.Errorf("status %d and Retry-After %q for a request that is quarantined for ten minutes", response.StatusCode, response.Header.Get(testHeaders.RetryAfter))
	}
}

// Guards against a partition from all targets that is taken for crashes of them: their connections break one after the other, and
// none accepts a new one. What was running would be refused by all gateways.
func TestPartitionIsNotTakenForCrashes(t *testing.T) {
	f := newFixture(t)
	f.configure()
	const targets = 6
	partitioned := make(chan struct{})
	for i := range targets {
		f.target(fmt.Sprint("t", i), "engine", func(conn net.Conn, r *http.Request, _ string) {
			writeStream(conn, r, false)
			<-partitioned
			time.Sleep(time.Duration(i) * 60 * time.Millisecond)
			_ = conn.Close()
		})
	}
	var calls sync.WaitGroup
	for i := range 3 * targets {
		calls.Go(func() {
			_, _, _ = f.call(fmt.Sprint("r", i), "/stream/x", "Model: m", "Parts: first second own"+fmt.Sprint(i))
		})
	}
	time.Sleep(300 * time.Millisecond) // until all streams have begun
	f.unreachable.Store(true)
	close(partitioned)
	calls.Wait()
	time.Sleep(200 * time.Millisecond)
	if evidence := f.view.QuarantineEvidence(time.Now()); len(evidence) > 0 {
		t.Errorf("%d parts of prompts are quarantined after a partition", len(evidence))
	}
}

// Guards against a part that crashes all targets and is never blamed, because no other target is reachable when one has crashed: their
// restarts show that it was no partition.
func TestCrashesOfAllTargetsAreRecorded(t *testing.T) {
	f := newFixture(t)
	f.configure()
	f.crashingTargets(3, noAnswer)
	for i := range 3 {
		if response, _, err := f.call(fmt.Sprint("bad", i), fmt.Sprint("/stream/", i), "Model: m", fmt.Sprint("Parts: first bad own", i)); err != nil || response.StatusCode != 502 {
			t.Fatalf("response %v, error %v", response, err)
		}
		time.Sleep(100 * time.Millisecond)
	}
	quarantined := func() bool {
		_, _, found := f.view.Quarantined(time.Now(), []crashes.Suspect{{Key: crashes.PartKey("bad"), Depth: 2}})
		return found
	}
	f.gateway.confirmCrashes(time.Now())
	if quarantined() {
		t.Fatal("the part is quarantined although the last target may only be unreachable")
	}
	for _, entry := range f.view.Targets() {
		restarted := entry.Target
		restarted.StartedAtMs++
		if _, err := f.view.ApplyHeartbeat(time.Now(), restarted); err != nil {
			t.Fatal(err)
		}
	}
	f.gateway.confirmCrashes(time.Now())
	if !quarantined() {
		t.Error("the part is not quarantined after three targets have crashed under it")
	}
}

// Guards against an answer of one software version that excuses crashes of another one.
func TestAnswerExcusesItsSoftwareVersion(t *testing.T) {
	for crashed, want := range map[string]bool{"v1": false, "v2": true} {
		t.Run(crashed, func(t *testing.T) {
			f := newFixture(t)
			f.configure()
			f.targetOf("t1", "engine", "v1", func(conn net.Conn, r *http.Request, _ string) { writeStream(conn, r, true, event(1), event(2)) })
			if response, _, err := f.call("sound", "/stream/sound", "Model: m", "Parts: first bad own"); err != nil || response.StatusCode != http.StatusOK {
				t.Fatalf("response %v, error %v", response, err)
			}
			now := time.Now()
			for i := range 3 {
				at := now.Add(time.Duration(i+1) * 100 * time.Millisecond)
				f.view.RecordCrash(at, crashes.Occurrence{Version: crashes.VersionOf(crashed), At: at}, uint64(i+1),
					[]crashes.Suspect{{Key: crashes.PartKey("bad"), Depth: 2}})
			}
			if _, _, found := f.view.Quarantined(now.Add(time.Second), []crashes.Suspect{{Key: crashes.PartKey("bad"), Depth: 2}}); found != want {
				t.Errorf("the part is quarantined: %v, want %v", found, want)
			}
		})
	}
}
