package admissionqueue

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/tarragonhoist/tarragonhoist/coordination/admission"
	"github.com/tarragonhoist/tarragonhoist/coordination/membership"
	"github.com/tarragonhoist/tarragonhoist/protocol/api"
	"github.com/tarragonhoist/tarragonhoist/protocol/releasenote"
	"github.com/tarragonhoist/tarragonhoist/protocol/targetapi"
)

const model = "net-assistant"

// singleTarget implements Targets for a data centre with one target.
type singleTarget targetapi.Announcement

func (r singleTarget) All() []*membership.Entry {
	return []*membership.Entry{{Announcement: targetapi.Announcement(r), ExpiresAt: time.Now().Add(time.Hour)}}
}

func newWaiter(kind targetapi.Kind, slots int) *Waiter {
	controller := admission.New(time.Now(), admission.Options{Instance: "a1", Incarnation: 1})
	w := New(controller, singleTarget{Target: "t1", Kind: kind, Service: model, Slots: slots,
		Residents: []targetapi.Resident{{Model: model, State: targetapi.Ready}}}, 1, time.Now)
	w.Refresh()
	return w
}

// runInBackground runs the waiter until the end of the test.
func runInBackground(t *testing.T, w *Waiter) {
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { w.Run(ctx) })
	t.Cleanup(func() { cancel(); wg.Wait() })
}

func request(caller string, p releasenote.Priority, timeout time.Duration) admission.Request {
	return admission.Request{ID: caller, Caller: caller, Weight: 1, Model: model, Priority: p, PromptTokens: 1, TokenLimit: 1,
		Deadline: time.Now().Add(timeout)}
}

func acquire(t *testing.T, w *Waiter, caller string, p releasenote.Priority) *Permit {
	t.Helper()
	permit, refusal := w.Acquire(t.Context(), request(caller, p, time.Hour))
	if refusal != nil {
		t.Fatal(refusal)
	}
	return permit
}

// checkNoLeaks fails the test if a slot is still taken or a request is still queued.
func checkNoLeaks(t *testing.T, w *Waiter) {
	t.Helper()
	if demand := w.controller.Demand()[model]; demand != (admission.ModelDemand{}) {
		t.Errorf("the controller still counts %+v, want no demand", demand)
	}
	if n := w.waiting.Load(); n != 0 {
		t.Errorf("%d requests still wait for a grant", n)
	}
}

// Guards against a queued request that gets a freed slot only at the next tick of Run, and against a slot that leaks
// when a queued request is cancelled or refused.
func TestFreedSlotStartsNextRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWaiter(targetapi.Engine, 1) // Run is not started, so only Release can grant
		first := acquire(t, w, "a", releasenote.Standard)
		ctx, cancel := context.WithCancel(t.Context())
		var cancelled, next *api.Result
		var permit *Permit
		var wg sync.WaitGroup
		wg.Go(func() { _, cancelled = w.Acquire(ctx, request("b", releasenote.Standard, time.Hour)) })
		synctest.Wait()
		wg.Go(func() { permit, next = w.Acquire(t.Context(), request("c", releasenote.Standard, time.Hour)) })
		synctest.Wait()
		cancel()
		synctest.Wait()
		if permit != nil {
			t.Fatal("the only slot was granted twice")
		}
		freed := time.Now()
		first.Release(admission.Completion{})
		wg.Wait()
		if cancelled == nil || next != nil || time.Since(freed) != 0 {
			t.Fatalf("cancelled request: result %v, want a refusal; next request: result %v after %v, want a grant at once", cancelled, next, time.Since(freed))
		}
		permit.Release(admission.Completion{})
		checkNoLeaks(t, w)
	})
}

// Guards against a slot that leaks when a request is cancelled at the moment of its grant.
func TestGrantRacesWithCancellation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWaiter(targetapi.Engine, 3)
		runInBackground(t, w)
		var wg sync.WaitGroup
		for i := range 200 {
			wg.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(i%7+1)*20*time.Millisecond)
				defer cancel()
				permit, refusal := w.Acquire(ctx, request(string(rune('a'+i%5)), releasenote.Standard, time.Minute))
				if refusal == nil {
					time.Sleep(20 * time.Millisecond)
					permit.Release(admission.Completion{Answered: true, OutputTokens: 1, ServiceTime: 20 * time.Millisecond})
				}
			})
		}
		wg.Wait()
		checkNoLeaks(t, w)
	})
}

// Guards against a grant timer that each new request resets: requests that arrive more often than its interval kept it
// from firing, so that no queued request was refused at its deadline and no batch request was interrupted. Also guards
// against the interruption of a service call, which can't stop: its slot would be granted a second time.
func TestBatchRequestIsInterruptedUnderLoad(t *testing.T) {
	for kind, want := range map[targetapi.Kind]bool{targetapi.Engine: true, targetapi.Service: false} {
		synctest.Test(t, func(t *testing.T) {
			w := newWaiter(kind, 1)
			batch, urgent := acquire(t, w, "batch", releasenote.Batch), acquire(t, w, "a", releasenote.Interactive)
			runInBackground(t, w)
			var wg sync.WaitGroup
			ctx, cancel := context.WithCancel(t.Context())
			for range 300 {
				wg.Go(func() {
					if permit, refusal := w.Acquire(ctx, request("a", releasenote.Interactive, time.Hour)); refusal == nil {
						permit.Release(admission.Completion{})
					}
				})
				time.Sleep(grantInterval / 2)
			}
			select {
			case <-batch.Interrupted():
				if !want {
					t.Errorf("kind %s: the batch request was interrupted", kind)
				}
			default:
				if want {
					t.Errorf("kind %s: the batch request was not interrupted within 3 s", kind)
				}
			}
			cancel()
			wg.Wait()
			urgent.Release(admission.Completion{})
			batch.Release(admission.Completion{})
			checkNoLeaks(t, w)
		})
	}
}

// Guards against a panic or a blocked Run when a request is interrupted and granted again before it noticed the
// interruption, and against a request that resumes with a grant from before the interruption.
func TestInterruptionsOverlapGrants(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWaiter(targetapi.Engine, 1)
		p := acquire(t, w, "batch", releasenote.Batch)
		for range 3 { // like a service call, which never receives its grants
			p.interrupt()
			p.interrupt()
			p.grant(admission.QueueResult{Ticket: p.ticket})
			p.grant(admission.QueueResult{Ticket: p.ticket})
		}
		select {
		case <-p.Interrupted():
			t.Error("a request is still interrupted after a new grant")
		default:
		}
		p.interrupt()
		resumed := make(chan *api.Result, 1)
		go func() { resumed <- p.Resume(t.Context()) }()
		synctest.Wait()
		if len(resumed) != 0 {
			t.Fatal("the request resumed with a grant from before its interruption")
		}
		p.grant(admission.QueueResult{Ticket: p.ticket})
		if refusal := <-resumed; refusal != nil {
			t.Fatal(refusal)
		}
		p.Release(admission.Completion{})
		checkNoLeaks(t, w)
	})
}
