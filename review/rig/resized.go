package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the case. A replica of fogline-prairie has 230,000 MB, and its models have up to 72,700 MB, loaded in 3.2 s.
const (
	resizedCapacity = 230000.0
	resizedWeights  = 72700.0
	resizedSmaller  = 36350.0
	resizedReplicas = 2
	resizedModels   = 7
	resizedLoadTime = 3200 * time.Millisecond
)

// resizedModel has a configuration give four models weights of half the size, and the control machines stopped and started in turn. Then a model is asked for
// that no replica holds.
func resizedModel(rec *record, trouble bool) (int, error) {
	d, err := newDeployment(rec, 3, 2)
	if err != nil {
		return couldNot, err
	}
	register(d)
	if err := d.startAll(); err != nil {
		return couldNot, err
	}
	var smaller atomic.Bool                                                  // the newest weights of the resized models are the smaller ones
	resized := func(i int) bool { return i%3 != 0 && i < 3*resizedReplicas } // two on each replica
	configOf := func(version uint64) *config {
		c := baseConfig(version, prairie)
		e := c.Services[0].Engine
		e.Models = nil
		for i := range resizedModels {
			m := model{Name: fmt.Sprint("m", i), WeightsMB: resizedWeights, LoadS: resizedLoadTime.Seconds(), WarmS: 0.47, DiskS: 0.64}
			if smaller.Load() && resized(i) {
				m.WeightsMB = resizedSmaller
			}
			e.Models = append(e.Models, m)
		}
		return c
	}
	newest := func(name string) weights {
		i, _ := strconv.Atoi(name[1:])
		if smaller.Load() && resized(i) {
			return weights{resizedSmaller, 2}
		}
		return weights{resizedWeights, 1}
	}
	if err := d.replaceConfig(configOf(1), 20*time.Second); err != nil {
		return couldNot, err
	}
	var holders []*holder
	for i := range resizedReplicas {
		held := make(map[string]weights)
		for j := range 3 {
			held[fmt.Sprint("m", 3*i+j)] = weights{resizedWeights, 1}
		}
		h := &holder{capacityMB: resizedCapacity, newest: newest, loadTime: resizedLoadTime, held: held, runs: make(map[string]int)}
		if _, err := newHoldingReplica(d, fmt.Sprintf("i-%d", i), fmt.Sprintf("%s%d:8080", d.base, 101+i), prairie.slots, prairie.kvToken, h); err != nil {
			return couldNot, err
		}
		holders = append(holders, h)
	}
	if err := d.awaitReady(); err != nil {
		return couldNot, err
	}
	// Clients ask for the models that are held, from the start to the end.
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var served, cut, refused atomic.Int64
	ask := func(i int) {
		for range 2 {
			wg.Go(func() {
				for {
					select {
					case <-stop:
						return
					case <-time.After(100 * time.Millisecond):
					}
					id := newID()
					address := net.JoinHostPort(d.gateways[i%len(d.gateways)], strconv.Itoa(d.ports.callers))
					a := send(address, head(http.MethodPost, summaryPath+"1", id, partsBudget, 0, fmt.Sprintf("X-Model: m%d", i), "X-Token-Count: 715,80",
						"X-Prompt-Prefix: "+ordinaryPrefix), "", partsBudget)
					rec.add("request", "model", i, "request", id, "answer", a)
					switch {
					case a.status == http.StatusOK && a.complete:
						served.Add(1)
					case a.status == http.StatusOK, a.status == http.StatusBadGateway:
						cut.Add(1) // while it ran
					default:
						refused.Add(1)
					}
				}
			})
		}
	}
	for i := range resizedModels - 1 {
		ask(i)
	}
	time.Sleep(8 * time.Second)
	smaller.Store(true)
	if err := d.replaceConfig(configOf(2), 20*time.Second); err != nil {
		return couldNot, err
	}
	time.Sleep(4 * time.Second)
	if trouble {
		for _, ip := range d.controls {
			d.restart(ip)
			time.Sleep(5 * time.Second) // longer than contact_ms and catch_up_s of the site
		}
	} else {
		time.Sleep(15 * time.Second)
	}
	time.Sleep(8 * time.Second)
	ask(resizedModels - 1) // the model that no replica holds
	fell := func() int {
		n := 0
		for _, h := range holders {
			h.mu.Lock()
			if h.fell {
				n++
			}
			h.mu.Unlock()
		}
		return n
	}
	await(25*time.Second, func() bool { return fell() > 0 })
	time.Sleep(time.Second)
	close(stop)
	wg.Wait()
	rec.say("done", "requests_served", served.Load(), "broken_off_while_they_ran", cut.Load(), "not_run", refused.Load(), "replicas_that_crashed", fell())
	if fell() > 0 {
		return broken, nil
	}
	return held, nil
}
