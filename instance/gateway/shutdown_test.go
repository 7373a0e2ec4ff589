package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// runGateway runs the gateway of a fixture as a process does, and returns the address for callers and a function that sends the stop
// signal. The function that it returns then waits for the end.
func (f *fixture) runGateway() (url string, stop func() (wait func())) {
	f.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	f.t.Cleanup(cancel)
	done := f.startGateway(ctx)
	url = "http://" + f.gateway.opts.CallerAddress
	return url, func() func() {
		cancel()
		return func() {
			if err := <-done; err != nil {
				f.t.Error(err)
			}
		}
	}
}

// startGateway runs the gateway at free addresses until ctx ends. Another test may take an address before the gateway listens there;
// then it is started again at others.
func (f *fixture) startGateway(ctx context.Context) (done chan error) {
	f.t.Helper()
	for {
		f.gateway.opts.CallerAddress, f.gateway.opts.ReadinessAddress = freeAddress(f.t), freeAddress(f.t)
		done = make(chan error, 1)
		go func() { done <- f.gateway.Run(ctx) }()
		var failure error
		waitFor(f.t, func() bool {
			select {
			case failure = <-done:
				return true
			default:
				return status("http://"+f.gateway.opts.CallerAddress+"/none/x") != 0
			}
		})
		if !errors.Is(failure, syscall.EADDRINUSE) {
			if failure != nil {
				f.t.Fatal(failure)
			}
			return done
		}
	}
}

// ending is how a request ended.
type ending struct {
	status     int
	retryAfter string
	err        error
	at         time.Time
}

// send sends a request on a connection of its own.
func send(url, id, path string, headers ...string) ending {
	r, err := http.NewRequest(http.MethodPost, url+path, strings.NewReader("work"))
	if err != nil {
		return ending{err: err}
	}
	r.Host = "h"
	r.Header.Set(testHeaders.RequestID, id)
	r.Header.Set(testHeaders.TimeLeftMs, "20000")
	for _, h := range headers {
		name, value, _ := strings.Cut(h, ": ")
		r.Header.Set(name, value)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(r)
	if err != nil {
		return ending{err: err, at: time.Now()}
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return ending{response.StatusCode, response.Header.Get(testHeaders.RetryAfter), err, time.Now()}
}

// Guards against requests that a shutdown cuts without an answer: those that wait at the gateway for a model, for a target with room, for
// the first configuration or for the origin of a stream, and those that a target still works on at the end, among them some that may
// not be repeated. What has not run is refused as such, early enough for its caller to go elsewhere.
func TestShutdownAnswersEveryRequest(t *testing.T) {
	type want struct {
		status int
		// within is the time after the stop signal.
		within time.Duration
	}
	waiting := want{http.StatusServiceUnavailable, refuseAfter + 300*time.Millisecond}
	running := want{http.StatusBadGateway, 5*time.Second - exitMargin}
	for name, c := range map[string]struct {
		path    string
		headers []string
		prepare func(f *fixture)
		want    want
	}{
		"waits for a model": {"/long-stream/x", []string{"Model: other"}, func(f *fixture) {
			f.configure()
			f.target("e0", "engine", answerOK)
		}, waiting},
		"waits for any target": {"/long-once/x", nil, func(f *fixture) { f.configure() }, waiting},
		"waits for a target that rejects": {"/long-safe/x", nil, func(f *fixture) {
			f.configure()
			f.target("t0", "plain", rejectFull)
		}, waiting},
		"waits for a configuration":        {"/long-once/x", nil, func(*fixture) {}, waiting},
		"waits for the origin of a stream": {"/long-stream/x", []string{"Model: m", "Last-Event: 3", "Resumes: r0"}, func(f *fixture) { f.configure() }, waiting},
		"runs and may not be repeated": {"/long-once/x", nil, func(f *fixture) {
			f.configure()
			f.target("t0", "plain", func(net.Conn, *http.Request, string) { time.Sleep(7 * time.Second) })
		}, running},
		"runs and may be repeated": {"/long-safe/x", nil, func(f *fixture) {
			f.configure()
			for i := range 3 {
				f.target(fmt.Sprint("t", i), "plain", func(net.Conn, *http.Request, string) { time.Sleep(7 * time.Second) })
			}
		}, running},
		"runs and has no event yet": {"/long-stream/x", []string{"Model: m"}, func(f *fixture) {
			f.configure()
			f.target("e0", "engine", func(net.Conn, *http.Request, string) { time.Sleep(7 * time.Second) })
		}, running},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			c.prepare(f)
			url, stop := f.runGateway()
			var requests sync.WaitGroup
			endings := make([]ending, 2)
			requests.Go(func() { endings[0] = send(url, "before", c.path, c.headers...) })
			time.Sleep(100 * time.Millisecond)
			stoppedAt := time.Now()
			wait := stop()
			time.Sleep(500 * time.Millisecond)
			requests.Go(func() { endings[1] = send(url, "after", c.path, c.headers...) })
			requests.Wait()
			wait()
			exitedAt := time.Now()
			for i, got := range endings {
				after := got.at.Sub(stoppedAt)
				switch {
				case got.err != nil:
					t.Errorf("request %d: %v, %v after the signal", i, got.err, after)
				case got.status != c.want.status && !(got.status == http.StatusServiceUnavailable && c.want == waiting):
					t.Errorf("request %d: status %d, want %d", i, got.status, c.want.status)
				case after > c.want.within:
					t.Errorf("request %d is answered %v after the signal, want %v at most", i, after, c.want.within)
				case got.status == http.StatusServiceUnavailable && got.retryAfter == "":
					t.Errorf("request %d: refused without a time to return", i)
				}
			}
			if took := exitedAt.Sub(stoppedAt); took > 5*time.Second {
				t.Errorf("the process ends %v after the signal, 5 s allowed", took)
			}
		})
	}
}

// Guards against answers that end early because the process exits while a request arrives: each one that the gateway has read is
// answered, and none reaches a target without.
func TestRequestsThatArriveAtTheExitAreAnswered(t *testing.T) {
	f := newFixture(t)
	f.configure()
	f.target("t0", "plain", answerOK)
	url, stop := f.runGateway()
	wait := stop()
	var mu sync.Mutex
	cut := map[string]error{}
	exited := make(chan struct{})
	var callers sync.WaitGroup
	for i := range 8 {
		callers.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-exited:
					return
				default:
				}
				id := fmt.Sprintf("c%d-%d", i, n)
				if got := send(url, id, "/once/x", "Time-Left: 200"); got.err != nil {
					mu.Lock()
					cut[id] = got.err
					mu.Unlock()
				}
			}
		})
	}
	wait()
	close(exited)
	callers.Wait()
	for id, err := range cut {
		if f.runCount(id) > 0 {
			t.Errorf("%s ran at a target and got no answer: %v", id, err)
		}
	}
}
