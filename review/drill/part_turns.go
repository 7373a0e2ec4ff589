package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// partTurns has a part of prompts, which was answered until then, crash each replica that begins to write an answer on it.
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
	turned := false
	var crashes, reached []time.Time // reached are the requests with the part since it crashes replicas
	crashesOn := func(parts string) bool {
		mu.Lock()
		defer mu.Unlock()
		if !turned || !strings.Contains(parts, badPart) {
			return false
		}
		crashes = append(crashes, time.Now())
		return true
	}
	for i := range replicas {
		r := &replica{d: d, service: "huvo11a", host: 100 + i, zone: zones[i%3], slots: 32, weightsMB: 230000, sizes: map[string]float64{"m0": modelMB},
			loadTime: 3 * time.Second, work: 300 * time.Millisecond, stream: true, crashesOn: crashesOn, onOverload: func(*replica, string) {},
			onParts: func(parts string) {
				mu.Lock()
				defer mu.Unlock()
				if turned && strings.Contains(parts, badPart) {
					reached = append(reached, time.Now())
				}
			}}
		if err := r.start("m0"); err != nil {
			return "", err
		}
		defer r.end()
	}
	if err := await(p.ctx, 15*time.Second, "gateways are ready", func() bool { return d.ready(d.gateways[0]) && d.ready(d.gateways[1]) }); err != nil {
		return "", err
	}
	c := newClient(d)
	var clients sync.WaitGroup
	stop := make(chan struct{})
	served := 0
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
				out := c.do(p.ctx, attempt{gateway: d.gateways[(i+n)%2], method: "POST", path: "/lohu930/2f", body: "prompt", model: "m0", parts: parts,
					budget: 4 * time.Second})
				mu.Lock()
				if out.err == nil && out.status == 200 {
					served++
				}
				mu.Unlock()
			}
		})
	}
	time.Sleep(8 * time.Second) // the first leader may give orders after 4 s
	mu.Lock()
	turned = p.trouble
	mu.Unlock()
	time.Sleep(45 * time.Second)
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
	d.record.note("%d requests served; %d crashes; %d requests with the part reached replicas later than contact_ms after the fifth", served, len(crashes), late)
	if served == 0 {
		return "", fmt.Errorf("no request was served")
	}
	if late > 3 {
		return fmt.Sprintf("BUDGET: %d requests with the part reached replicas later than contact_ms after the fifth crash, %d crashes in all", late, len(crashes)), nil
	}
	return "", nil
}
