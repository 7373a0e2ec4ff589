package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// partTurns replaces the replicas of a service by those of another software version. One part of prompts, which the earlier version
// answered, crashes each replica of the new one that begins to write an answer on it.
func partTurns(p *play) (string, error) {
	const (
		badPart  = "91bd3f06:80"
		replicas = 6
	)
	d := p.d
	zones := []string{"coulee-a", "ridge-b", "slough-c"}
	if err := d.start(3, 2, zones); err != nil {
		return "", err
	}
	if err := d.replaceConfig(engineConfig(3, 12000, []string{"m0"})); err != nil {
		return "", err
	}
	var mu sync.Mutex
	bad := p.trouble
	var crashes, reached []time.Time // reached are the requests with the part since it crashes replicas
	crashesOn := func(parts string) bool {
		mu.Lock()
		defer mu.Unlock()
		if !bad || !strings.Contains(parts, badPart) {
			return false
		}
		crashes = append(crashes, time.Now())
		return true
	}
	newReplica := func(host int, version string) *replica {
		r := &replica{d: d, service: "huvo11a", host: host, zone: zones[host%3], slots: 32, weightsMB: 230000, sizes: map[string]float64{"m0": modelMB},
			loadTime: 3 * time.Second, work: 300 * time.Millisecond, stream: true, version: version, onOverload: func(*replica, string) {}}
		if version == "v2" {
			r.crashesOn = crashesOn
			r.onParts = func(parts string) {
				mu.Lock()
				defer mu.Unlock()
				if strings.Contains(parts, badPart) {
					reached = append(reached, time.Now())
				}
			}
		}
		return r
	}
	var earlier []*replica
	for i := range replicas {
		r := newReplica(100+i, "v1")
		if err := r.start("m0"); err != nil {
			return "", err
		}
		earlier = append(earlier, r)
		defer r.end()
	}
	if err := await(p.ctx, 15*time.Second, "gateways are ready", func() bool { return d.ready(d.gateways[0]) && d.ready(d.gateways[1]) }); err != nil {
		return "", err
	}
	c := newClient(d)
	var clients sync.WaitGroup
	stop := make(chan struct{})
	served, sound, soundServed := 0, 0, 0
	judging := false   // sound requests
	for i := range 8 { // two of them send prompts with the part
		clients.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(300 * time.Millisecond):
				}
				parts := firstPart + ",e4402b7d:80"
				if i < 2 {
					parts = firstPart + "," + badPart
				}
				out := c.do(p.ctx, attempt{gateway: d.gateways[(i+n)%2], method: "POST", path: "/lohu930/2f", body: fmt.Sprint("prompt ", i, " ", n), model: "m0", parts: parts,
					budget: 4 * time.Second})
				mu.Lock()
				ok := out.err == nil && out.status == 200
				if ok {
					served++
				}
				if judging && i >= 2 {
					sound++
					if ok {
						soundServed++
					}
				}
				mu.Unlock()
			}
		})
	}
	time.Sleep(6 * time.Second)
	// The new replicas start first, empty, and are ordered to load the model. Then the earlier ones drain.
	for i := range replicas {
		r := newReplica(110+i, "v2")
		if err := r.start(); err != nil {
			return "", err
		}
		defer r.end()
	}
	time.Sleep(2 * time.Second)
	for _, r := range earlier {
		r.mu.Lock()
		r.state, r.leaves = "draining", true
		r.mu.Unlock()
	}
	time.Sleep(8 * time.Second)
	for _, r := range earlier {
		id, body := r.heartbeat()
		d.callControl(d.controls[0], "POST", "/api/Replicas.Deregister/"+id, body)
		r.end()
	}
	mu.Lock()
	judging = true
	mu.Unlock()
	time.Sleep(35 * time.Second)
	close(stop)
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	late := 0
	for _, at := range reached {
		if len(crashes) >= 5 && at.After(crashes[4].Add(contactTime)) {
			late++
		}
	}
	d.record.note("%d requests served; %d crashes; %d requests with the part reached replicas later than contact_ms after the fifth; since the release %d of %d requests without the part were served",
		served, len(crashes), late, soundServed, sound)
	if served == 0 {
		return "", fmt.Errorf("no request was served")
	}
	if late > 3 {
		return fmt.Sprintf("BUDGET: %d requests with the part reached replicas later than contact_ms after the fifth crash, %d crashes in all; %d of %d requests without the part were served", late,
			len(crashes), soundServed, sound), nil
	}
	return "", nil
}
