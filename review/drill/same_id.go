package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// sameID has a replica crash and start again, some seconds later, under the id that it had but with another version of its software.
// Its first heartbeat arrives seconds late. The service has no models: replicas with models start again empty, and reject what they get
// before they are known again.
func sameID(p *play) (string, error) {
	d := p.d
	zones := []string{"coulee-a", "ridge-b", "slough-c"}
	if err := d.start(3, 2, zones); err != nil {
		return "", err
	}
	config := plainConfig(3, "stream", 2)
	route := config["routes"].([]map[string]any)[0]
	route["timeout_ms"], route["slo_ms"], route["gap_target_ms"], route["resumable"] = 15000, 2500, 200, true
	if err := d.replaceConfig(config); err != nil {
		return "", err
	}
	var replicas []*replica
	for i, version := range []string{"v1", "v2", "v2", "v2", "v2", "v2"} {
		r := &replica{d: d, service: "wuno96b", host: 100 + i, zone: zones[i%3], slots: 32, work: 4 * time.Second, stream: true, version: version, keepID: true}
		if err := r.start(); err != nil {
			return "", err
		}
		replicas = append(replicas, r)
	}
	defer func() {
		for _, r := range replicas {
			r.end()
		}
	}()
	if err := await(p.ctx, 15*time.Second, "gateways are ready", func() bool { return d.ready(d.gateways[0]) && d.ready(d.gateways[1]) }); err != nil {
		return "", err
	}
	c := newClient(d)
	var mu sync.Mutex
	var results []result
	var clients sync.WaitGroup
	stop := make(chan struct{})
	for i := range 72 {
		clients.Go(func() {
			time.Sleep(time.Duration(i) * 55 * time.Millisecond)
			for {
				select {
				case <-stop:
					return
				default:
				}
				out := c.do(p.ctx, attempt{gateway: d.gateways[i%2], method: "POST", path: "/puxa403/2f", body: "prompt", budget: 15 * time.Second})
				mu.Lock()
				results = append(results, out)
				mu.Unlock()
				if out.err != nil || out.status != 200 {
					time.Sleep(time.Second)
				}
			}
		})
	}
	time.Sleep(8 * time.Second)
	if p.trouble {
		r := replicas[0]
		d.record.note("replica %s crashes", r.currentID())
		r.end()
		time.Sleep(2 * time.Second)
		r.version, r.firstHeartbeat = "v2", 2*time.Second
		if err := r.start(); err != nil {
			return "", err
		}
	}
	time.Sleep(8 * time.Second)
	close(stop)
	clients.Wait()
	complete, joined, example := 0, 0, ""
	for _, out := range results {
		if out.err == nil && out.status == 200 {
			complete++
		}
		if strings.Contains(out.body, " at v1\n") && strings.Contains(out.body, " at v2\n") {
			joined++
			example = out.id
		}
	}
	d.record.note("%d of %d streams complete, %d hold events of two versions", complete, len(results), joined)
	if joined > 2 {
		return fmt.Sprintf("ORDER: %d streams hold events of two software versions, the last is %s", joined, example), nil
	}
	if complete == 0 {
		return "", fmt.Errorf("no stream was served")
	}
	return "", nil
}
