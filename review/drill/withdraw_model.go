package main

import (
	"fmt"
	"sync"
	"time"
)

const modelMB = 72700.0

// engineConfig returns a configuration with one service of models.
func engineConfig(version, timeoutMs int, models []string) map[string]any {
	list := []map[string]any{}
	for _, m := range models {
		list = append(list, map[string]any{"name": m, "weights_mb": modelMB, "load_s": 3.0, "adapters": 0, "adapter_mb": 12.0, "warm_s": 0.4, "disk_s": 0.7})
	}
	return map[string]any{"version": version,
		"routes": []map[string]any{{"name": "r-1", "host": "ficu95.example", "path_prefix": "/lohu930/", "kind": "stream", "timeout_ms": timeoutMs,
			"slo_ms": 400, "priority": 1, "service": "huvo11a", "max_attempts": 2, "sticky": true, "resumable": true, "gap_target_ms": 200}},
		"services": []map[string]any{{"name": "huvo11a", "health_path": "/health", "max_conns": 230, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 32, "kv_tokens": 90149, "kv_bytes": 163840, "models": list, "weights_mb": 230000.0, "adapter_slots": 8, "loads_per_s": 3.1}}},
		"limits": map[string]any{"header_bytes": 16384, "body_bytes": 4194304, "header_ms": 3000, "idle_ms": 15000}}
}

// withdrawModel has the operator replace one model of the configuration by another. Each replica holds three models and has no
// room for a fourth.
func withdrawModel(p *play) (string, error) {
	d := p.d
	if err := d.start(3, 2, []string{"coulee-a", "ridge-b", "slough-c"}); err != nil {
		return "", err
	}
	models := []string{"m0", "m1", "m2", "m3", "m4", "m5", "m6", "m7", "m8"}
	if err := d.replaceConfig(engineConfig(3, 12000, models)); err != nil {
		return "", err
	}
	sizes := make(map[string]float64)
	for _, m := range append(models, "m9") {
		sizes[m] = modelMB
	}
	var mu sync.Mutex
	overloads := ""
	for i := range 3 {
		r := &replica{d: d, service: "huvo11a", host: 100 + i, zone: d.controls[i].zone, slots: 32, weightsMB: 230000, sizes: sizes, loadTime: 3 * time.Second,
			work: 300 * time.Millisecond, stream: true, onOverload: func(_ *replica, what string) {
				mu.Lock()
				defer mu.Unlock()
				overloads += what + "; "
			}}
		if err := r.start(models[3*i : 3*i+3]...); err != nil {
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
	served, lost := 0, 0
	for i := range 8 { // m8 gets no requests
		clients.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(200 * time.Millisecond):
				}
				out := c.do(p.ctx, attempt{gateway: d.gateways[n%2], method: "POST", path: "/lohu930/2f", body: "prompt", model: models[i], budget: 12 * time.Second})
				mu.Lock()
				if out.err == nil && out.status == 200 {
					served++
				} else {
					lost++
				}
				mu.Unlock()
			}
		})
	}
	time.Sleep(12 * time.Second) // the first leader may give orders after 4 s
	next := engineConfig(7, 11000, models)
	if p.trouble {
		next = engineConfig(7, 12000, append(append([]string{}, models[:8]...), "m9"))
	}
	if err := d.replaceConfig(next); err != nil {
		return "", err
	}
	time.Sleep(20 * time.Second)
	close(stop)
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	d.record.note("%d requests served, %d not", served, lost)
	if served == 0 {
		return "", fmt.Errorf("no request was served")
	}
	if overloads != "" {
		return "LIMIT: " + overloads, nil
	}
	return "", nil
}
