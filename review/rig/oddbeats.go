package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Figures of the case.
const (
	oddWriters    = 20
	oddBytes      = 60000 // of the text in each odd heartbeat
	deskReplicas  = 4
	deskSlots     = 6
	bookingBudget = 3 * time.Second
)

// oddHeartbeats lets another writer send heartbeats whose service is none that the configuration names, has the control machines stopped and
// started in turn, and then has all replicas of a service replaced.
func oddHeartbeats(rec *record, trouble bool) (int, error) {
	d, err := newDeployment(rec, 3, 2)
	if err != nil {
		return couldNot, err
	}
	register(d)
	if err := d.startAll(); err != nil {
		return couldNot, err
	}
	if err := d.replaceConfig(baseConfig(1, prairie), 20*time.Second); err != nil {
		return couldNot, err
	}
	replicas := make([]*replica, 0, 2*deskReplicas)
	add := func() error {
		i := len(replicas)
		r, err := newReplica(d, fmt.Sprintf("i-%d", i), desk, fmt.Sprintf("%s%d:8080", d.base, 101+i), deskSlots, 0)
		replicas = append(replicas, r)
		return err
	}
	for range deskReplicas {
		if err := add(); err != nil {
			return couldNot, err
		}
	}
	if err := d.awaitReady(); err != nil {
		return couldNot, err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	if trouble {
		for i := range oddWriters {
			go sendOdd(ctx, d, i)
		}
	}
	time.Sleep(3 * time.Second)
	time.Sleep(5 * time.Second)
	bookings := newBookings(d)
	bookings.start(ctx)
	time.Sleep(2 * time.Second)
	// A release: the new replica starts first, and the old one drains.
	var left sync.WaitGroup
	for i := range deskReplicas {
		if err := add(); err != nil {
			return couldNot, err
		}
		time.Sleep(2 * time.Second)
		left.Add(1)
		if !replicas[i].leave(left.Done) {
			rec.say("draining was not acknowledged", "replica", replicas[i].id)
		}
		time.Sleep(time.Second)
	}
	left.Wait()
	time.Sleep(2 * time.Second)
	bookings.stop()
	afterDrain := 0
	for _, r := range replicas {
		r.mu.Lock()
		afterDrain += r.afterDrain
		r.mu.Unlock()
	}
	rec.say("bookings", "sent", bookings.sent, "answered", bookings.answered, "refused", bookings.refused, "without_an_answer", bookings.lost, "ran_after_drain", afterDrain)
	if afterDrain > 0 {
		return broken, nil
	}
	return held, nil
}

// sendOdd sends heartbeats of another writer as often as replicas do.
func sendOdd(ctx context.Context, d *deployment, n int) {
	text := strings.Repeat("<tr><td></td></tr>", oddBytes/18)
	born := time.Now().UnixMilli()
	for sequence := 1; ctx.Err() == nil; sequence++ {
		body, err := json.Marshal(map[string]any{"service": "%", "address": fmt.Sprintf("%s%d:9", d.base, 230+n), "zone": "coulee-a", "version": "v1",
			"slots": 1, "state": "ready", "sequence": sequence, "born": born})
		if err != nil {
			return
		}
		body = bytes.Replace(body, []byte(`"%"`), []byte(`"`+text+`"`), 1)
		ip := d.controls[sequence%len(d.controls)]
		response, err := heartbeats.Post(fmt.Sprintf("http://%s:%d/api/Replicas.Heartbeat/odd-%d", ip, d.ports.control, n), "application/json", bytes.NewReader(body))
		status := 0
		if err == nil {
			status = response.StatusCode
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
		d.record.add("odd heartbeat", "writer", n, "bytes", len(body), "to", ip, "status", status)
		pause(ctx, heartbeatInterval)
	}
}

// bookings are requests that may run at most once, at both gateways.
type bookings struct {
	d    *deployment
	done chan struct{}
	wg   sync.WaitGroup

	mu                            sync.Mutex
	sent, answered, refused, lost int
}

func newBookings(d *deployment) *bookings { return &bookings{d: d, done: make(chan struct{})} }

// start sends a booking every 50 ms to each gateway.
func (b *bookings) start(ctx context.Context) {
	for _, ip := range b.d.gateways {
		b.wg.Go(func() {
			for ctx.Err() == nil {
				select {
				case <-b.done:
					return
				case <-time.After(50 * time.Millisecond):
				}
				b.wg.Go(func() { b.send(ip) })
			}
		})
	}
}

func (b *bookings) send(ip string) {
	id := newID()
	a := send(fmt.Sprintf("%s:%d", ip, b.d.ports.callers), head(http.MethodPost, bookingPath+"1", id, bookingBudget, 5), "order", bookingBudget+time.Second)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sent++
	switch {
	case a.status == http.StatusOK && a.complete:
		b.answered++
	case a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests:
		b.refused++
	default:
		b.lost++
	}
	b.d.record.add("booking", "gateway", ip, "request", id, "answer", a)
}

func (b *bookings) stop() {
	close(b.done)
	b.wg.Wait()
}
