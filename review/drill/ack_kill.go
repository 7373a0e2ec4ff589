package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// plainConfig returns a configuration with one service of bookings.
func plainConfig(version int, kind string, maxAttempts int) map[string]any {
	return map[string]any{"version": version,
		"routes": []map[string]any{{"name": "r-1", "host": "ficu95.example", "path_prefix": "/puxa403/", "kind": kind, "timeout_ms": 1500,
			"slo_ms": 150, "priority": 2, "service": "wuno96b", "max_attempts": maxAttempts, "sticky": false, "resumable": false}},
		"services": []map[string]any{{"name": "wuno96b", "health_path": "/health", "max_conns": 96, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"header_bytes": 16384, "body_bytes": 4194304, "header_ms": 3000, "idle_ms": 15000}}
}

// ackKill kills a control instance right after it has acknowledged that a replica leaves, and starts it again. The replica goes on
// serving for some seconds.
func ackKill(p *play) (string, error) {
	const (
		maxRounds = 17
		// roundsTime is the time after which no other round begins.
		roundsTime = 95 * time.Second
		serving    = 4300 * time.Millisecond // after the acknowledgement
	)
	d := p.d
	zones := []string{"coulee-a", "ridge-b", "slough-c"}
	if err := d.start(3, 4, zones); err != nil {
		return "", err
	}
	if err := d.replaceConfig(plainConfig(3, "non_idempotent", 1)); err != nil {
		return "", err
	}
	var mu sync.Mutex
	var judgeFrom time.Time
	var leaving *replica
	late := 0
	newReplica := func(host int) *replica {
		return &replica{d: d, service: "wuno96b", host: host, zone: zones[host%3], slots: 6, work: 30 * time.Millisecond,
			onRequest: func(r *replica, id string, at time.Time) {
				mu.Lock()
				defer mu.Unlock()
				if r == leaving && !judgeFrom.IsZero() && at.After(judgeFrom) {
					late++
					d.record.note("request %s reaches the replica that has deregistered", id)
				}
			}}
	}
	for i := range 3 { // these stay
		r := newReplica(100 + i)
		if err := r.start(); err != nil {
			return "", err
		}
		defer r.end()
	}
	if err := await(p.ctx, 15*time.Second, "gateways are ready", func() bool {
		for _, g := range d.gateways {
			if !d.ready(g) {
				return false
			}
		}
		return true
	}); err != nil {
		return "", err
	}
	c := newClient(d)
	broken := 0
	rounds := 0
	for ; rounds < maxRounds && time.Since(d.record.start) < roundsTime; rounds++ {
		round := rounds
		r := newReplica(110 + round)
		if err := r.start(); err != nil {
			return "", err
		}
		time.Sleep(time.Second) // all gateways know it
		a := d.controls[round%3]
		mu.Lock()
		leaving, judgeFrom = r, time.Time{}
		mu.Unlock()
		// Its last heartbeat reaches another control instance.
		id, body := r.heartbeat()
		if status, _ := d.callControl(d.controls[(round+1)%3], "POST", "/api/Replicas.Heartbeat/"+id, body); status != 200 {
			return "", fmt.Errorf("heartbeat of %s: %d", id, status)
		}
		time.Sleep(100 * time.Millisecond)
		id, body = r.heartbeat()
		r.mu.Lock()
		r.leaving = true
		r.mu.Unlock()
		if err := deregister(d, a, id, body, p.trouble); err != nil {
			return "", err
		}
		acked := time.Now()
		d.record.note("%s acknowledged that replica %s is gone; killed: %v", a.name, id, p.trouble)
		time.Sleep(restartDelay)
		if p.trouble {
			<-a.ended
			if err := d.startMachine(a, false); err != nil {
				return "", err
			}
		}
		// All machines are in touch again contactTime after the start.
		from := time.Now().Add(contactTime + 50*time.Millisecond)
		mu.Lock()
		judgeFrom, late = from, 0
		mu.Unlock()
		time.Sleep(time.Until(from))
		var clients sync.WaitGroup
		for _, g := range d.gateways {
			clients.Go(func() {
				for time.Since(acked) < serving-100*time.Millisecond {
					c.do(p.ctx, attempt{gateway: g, method: "POST", path: "/puxa403/2f", body: "booking", budget: 1500 * time.Millisecond})
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
		clients.Wait()
		r.end()
		mu.Lock()
		d.record.note("round %d: %d requests reached replica %s later than drain_ms after the acknowledgement, from machines in touch", round+1, late, id)
		if late > 0 {
			broken++
		}
		mu.Unlock()
	}
	if broken > 0 {
		return fmt.Sprintf("DRAIN: in %d of %d rounds requests reached the replica", broken, rounds), nil
	}
	return "", nil
}

// deregister sends a deregistration to a control instance, which is killed as soon as its acknowledgement has arrived, if kill is set.
func deregister(d *deployment, m *machine, id string, fields map[string]any, kill bool) error {
	body, err := json.Marshal(fields)
	if err != nil {
		return err
	}
	conn, err := net.Dial("tcp", net.JoinHostPort(m.ip, strconv.Itoa(d.controlPort)))
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	if _, err := fmt.Fprintf(conn, "POST /api/Replicas.Deregister/%s HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		id, len(body), body); err != nil {
		return err
	}
	answer := make([]byte, 4096)
	n, err := conn.Read(answer)
	acknowledged := err == nil && bytes.HasPrefix(answer[:n], []byte("HTTP/1.1 200"))
	if acknowledged && kill {
		_ = m.process.Process.Signal(syscall.SIGKILL)
	}
	if !acknowledged {
		return fmt.Errorf("deregistration of %s at %s: %q, %w", id, m.name, answer[:n], err)
	}
	return nil
}
