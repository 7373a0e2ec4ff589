package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// termWaiting sends SIGTERM to a gateway while requests for a model wait there that no replica holds. There are fewer places than
// models, and the models that are held are in use.
func termWaiting(p *play) (string, error) {
	d := p.d
	if err := d.start(3, 2, []string{"coulee-a", "ridge-b", "slough-c"}); err != nil {
		return "", err
	}
	models := []string{"m0", "m1", "m2"}
	config := engineConfig(3, 20000, models)
	route := config["routes"].([]map[string]any)[0]
	route["slo_ms"], route["gap_target_ms"] = 3000, 150
	config["services"].([]map[string]any)[0]["engine"].(map[string]any)["weights_mb"] = 80000.0
	if err := d.replaceConfig(config); err != nil {
		return "", err
	}
	sizes := map[string]float64{"m0": modelMB, "m1": modelMB, "m2": modelMB}
	for i := range 2 {
		r := &replica{d: d, service: "huvo11a", host: 100 + i, zone: d.controls[i].zone, slots: 32, weightsMB: 80000, sizes: sizes, loadTime: 3 * time.Second,
			work: 500 * time.Millisecond, stream: true, onOverload: func(*replica, string) {}}
		if err := r.start(models[i]); err != nil {
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
	send := func(g *machine, model string) result {
		return c.do(p.ctx, attempt{gateway: g, method: "POST", path: "/lohu930/2f", body: "prompt", model: model, budget: 20 * time.Second})
	}
	for i := range 20 { // steady traffic for the models that are held, through the gateway that stays
		clients.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					send(d.gateways[1], models[i%2])
				}
			}
		})
	}
	time.Sleep(6 * time.Second)
	leaving := d.gateways[0]
	var mu sync.Mutex
	var results []result
	var waiting sync.WaitGroup
	ask := func() {
		waiting.Go(func() {
			out := send(leaving, "m2")
			mu.Lock()
			defer mu.Unlock()
			results = append(results, out)
		})
	}
	ask()
	time.Sleep(800 * time.Millisecond)
	term := time.Now()
	if p.trouble {
		d.signal(leaving, syscall.SIGTERM)
	}
	time.Sleep(500 * time.Millisecond)
	ask() // the platform takes the gateway out of rotation after two failed checks, one a second
	if p.trouble {
		select {
		case <-leaving.ended:
			d.record.note("%s has ended %.3f s after SIGTERM", leaving.name, time.Since(term).Seconds())
		case <-time.After(graceTime):
			d.signal(leaving, syscall.SIGKILL)
		}
	}
	waiting.Wait()
	close(stop)
	clients.Wait()
	lost := ""
	for _, out := range results {
		held := out.doneAt.Sub(out.sentAt)
		if out.err != nil && held > lossSlack && held < 20*time.Second && out.doneAt.Sub(term) < graceTime+time.Second {
			lost += fmt.Sprintf("request %s, sent %.3f s after SIGTERM, was read and its connection ended %.3f s later without an answer; ", out.id,
				out.sentAt.Sub(term).Seconds(), held.Seconds())
		}
	}
	if lost != "" {
		return "LOST: " + lost, nil
	}
	return "", nil
}
