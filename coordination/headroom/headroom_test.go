package headroom

import (
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
)

// Guards against a request with time to spare, or one that is late already, that takes the last slots from an urgent one, and
// against a request that leaves slots free although it has to start now.
func TestShare(t *testing.T) {
	cases := []struct {
		name    string
		request Request
		share   float64
		urgent  bool
	}{
		{"urgent", Request{Objective: 400 * time.Millisecond}, 1, true},
		{"urgent, waited", Request{Objective: 400 * time.Millisecond, Age: 399 * time.Millisecond}, 1, true},
		{"late", Request{Objective: 400 * time.Millisecond, Age: 400 * time.Millisecond}, lateShare, false},
		{"time to spare", Request{Objective: 12 * time.Second}, deferrableShare, false},
		{"has to start now", Request{Objective: 12 * time.Second, Age: 10500 * time.Millisecond}, 1, true},
		{"deferrable and late", Request{Objective: 12 * time.Second, Age: 13 * time.Second}, lateShare, false},
		{"no objective", Request{Age: time.Second}, 1, false},
		{"account over its share", Request{Objective: 400 * time.Millisecond, OverShare: true}, overShareShare, true},
	}
	for _, c := range cases {
		if got := c.request.Share(); got != c.share || c.request.Urgent() != c.urgent {
			t.Errorf("%s: share %v, want %v; urgent %v, want %v", c.name, got, c.share, c.request.Urgent(), c.urgent)
		}
	}
}

// Guards against an account that crowds out others while requests wait, against one that is held back although nobody else waits or
// although it has no more than its weight, and against room that is left unused.
func TestOverShare(t *testing.T) {
	load := func(name string, running, waiting int, weight float64) AccountLoad {
		return AccountLoad{Name: name, Running: running, Waiting: waiting, Weight: weight}
	}
	cases := []struct {
		name  string
		loads []AccountLoad
		want  string
	}{
		{"nobody waits", []AccountLoad{load("a", 90, 0, 1), load("b", 10, 0, 1)}, ""},
		{"one crowds out the others", []AccountLoad{load("a", 90, 40, 1), load("b", 5, 30, 1), load("c", 5, 30, 1)}, "a"},
		{"only the large one waits", []AccountLoad{load("a", 90, 40, 1), load("b", 5, 0, 1)}, ""},
		{"the others want little", []AccountLoad{load("a", 90, 40, 1), load("b", 5, 1, 1), load("c", 5, 0, 1)}, ""},
		{"its weight is as large", []AccountLoad{load("a", 90, 40, 18), load("b", 5, 30, 1), load("c", 5, 30, 1)}, ""},
		{"two of three", []AccountLoad{load("a", 48, 20, 1), load("b", 48, 20, 1), load("c", 4, 60, 1)}, "a b"},
	}
	for _, c := range cases {
		over := OverShare(c.loads)
		slices.Sort(over)
		if got := strings.Join(over, " "); got != c.want {
			t.Errorf("%s: over their share %q, want %q", c.name, got, c.want)
		}
	}
}

// Guards against a request that is held although its wait is longer than its caller's patience, because the requests before it are not
// counted, and against urgent requests that are refused because of others.
func TestExpectedWait(t *testing.T) {
	own, others := Queue{Urgent: 2, Other: 10}, Queue{Urgent: 10, Other: 38}
	if got := ExpectedWait(own, others, true, []Copy{{12, 1}, {12, 1}}, 1500*time.Millisecond); got != 750*time.Millisecond {
		t.Errorf("urgent: %v, want 750ms", got)
	}
	if got := ExpectedWait(own, others, false, []Copy{{12, 1}, {12, 1}}, 1500*time.Millisecond); got != 3750*time.Millisecond {
		t.Errorf("other: %v, want 3.75s", got)
	}
	if got := ExpectedWait(Queue{Other: 1}, Queue{}, false, nil, time.Second); got != time.Second {
		t.Errorf("without slots: %v, want 1s", got)
	}
	if got := ExpectedWait(own, others, true, []Copy{{12, 1.5}, {12, 0.5}}, 1500*time.Millisecond); got != 750*time.Millisecond {
		t.Errorf("on a fast and a slow target: %v, want 750ms", got)
	}
	if got := ExpectedWait(own, others, true, []Copy{{12, 0.5}}, 1500*time.Millisecond); got != 3*time.Second {
		t.Errorf("on a slow target: %v, want 3s", got)
	}
}

// Guards against a reaction to a long queue that refuses all requests, and against the refusal of one that can be served in time.
func TestRefuseKeepsWhatCanBeServed(t *testing.T) {
	kept := 0
	for i := range 100 {
		if Refuse(time.Second, 2*time.Second, float64(i)/100) {
			t.Fatal("a request that can be served in time is refused")
		}
		if !Refuse(4*time.Second, time.Second, float64(i)/100) {
			kept++
		}
	}
	if kept != 25 {
		t.Errorf("%d of 100 requests are kept, want the quarter that can be served", kept)
	}
}

// Guards against callers that were refused together and return together.
func TestReturnAfterIsSpread(t *testing.T) {
	if first, last := ReturnAfter(time.Second, 0), ReturnAfter(time.Second, 1); first != time.Second || last != 2*time.Second {
		t.Errorf("callers return after %v to %v, want 1s to 2s", first, last)
	}
}

// Guards against a service time that follows single requests.
func TestServiceTimes(t *testing.T) {
	s := NewServiceTimes()
	for range 200 {
		s.Observe("s", "", 2*time.Second)
	}
	s.Observe("s", "", 20*time.Second)
	if got := s.Mean("s", ""); got < 1900*time.Millisecond || got > 3*time.Second {
		t.Errorf("mean %v after many requests of 2s and one of 20s", got)
	}
	if got := s.Mean("unknown", "m"); got != initialServiceTime {
		t.Errorf("mean %v of an unknown service", got)
	}
}

// Guards against a model whose service time is that of a few requests, and against one that keeps that of its service.
func TestServiceTimesOfModels(t *testing.T) {
	s := NewServiceTimes()
	for range 200 {
		s.Observe("s", "long", 7*time.Second)
	}
	for range minModelSamples - 1 {
		s.Observe("s", "short", time.Second)
	}
	if got, want := s.Mean("s", "short"), s.Mean("s", ""); got != want {
		t.Errorf("mean %v of a model with %d samples, want %v as for its service", got, minModelSamples-1, want)
	}
	s.Observe("s", "short", time.Second)
	if got := s.Mean("s", "short"); got != time.Second {
		t.Errorf("mean %v of a model with %d samples of 1s", got, minModelSamples)
	}
	if got := s.Mean("s", "long"); got != 7*time.Second {
		t.Errorf("mean %v of a model whose requests take 7s", got)
	}
	if got, want := s.Mean("other", "short"), initialServiceTime; got != want {
		t.Errorf("mean %v of a model of the same name in another service, want %v", got, want)
	}
}

// Guards against memory that grows with the names of models, and against a limit that drops a model in use.
func TestServiceTimesAreBounded(t *testing.T) {
	s := NewServiceTimes()
	for i := range 3 * maxServiceTimeModels {
		s.Observe("s", strconv.Itoa(i), time.Minute)
		s.Observe("s", "used", 2*time.Second)
	}
	if n := s.models.Len(); n != maxServiceTimeModels {
		t.Errorf("%d models have a service time, want %d", n, maxServiceTimeModels)
	}
	if got := s.Mean("s", "used"); got < 1999*time.Millisecond || got > 2001*time.Millisecond {
		t.Errorf("mean %v of a model whose requests take 2s", got)
	}
}

// Guards against gateways whose parts add up to more than the free slots, and against urgent requests that get less because others
// wait.
func TestPart(t *testing.T) {
	own, others := Queue{Urgent: 2, Other: 3}, Queue{Urgent: 6, Other: 9}
	if got := Part(own, others, true); got != 0.25 {
		t.Errorf("part %v for urgent requests, want 0.25", got)
	}
	if got := Part(own, others, false); got != 0.25 {
		t.Errorf("part %v for other requests, want 0.25", got)
	}
	if got := Part(Queue{}, Queue{Urgent: 1}, true); got != 0.5 {
		t.Errorf("part %v for a request that does not wait yet, want 0.5", got)
	}
	if got := Part(Queue{Urgent: 1}, Queue{Other: 100}, true); got != 1 {
		t.Errorf("part %v for urgent requests while only others wait elsewhere, want 1", got)
	}
}
