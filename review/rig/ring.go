package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// Figures of the case.
const (
	ringRequests = 2400
	ringClients  = 8
	ringPath     = 65 << 10
	ringCrowd    = 1400
)

// longPaths sends one gateway requests with long paths that no route matches.
func longPaths(rec *record, trouble bool) (int, error) {
	d, engines, _, err := startGrown(rec)
	if err != nil {
		return couldNot, err
	}
	time.Sleep(6 * time.Second)
	gateway := d.gateways[0]
	address := fmt.Sprintf("%s:%d", gateway, d.ports.callers)
	path := "/none/"
	if trouble {
		path += strings.Repeat("p", ringPath)
	}
	before, _ := d.machine(gateway).memoryKB()
	rec.say("before the requests without a route", "gateway_kb", before, "limit_kb", partsMemoryMB<<10)
	var wg sync.WaitGroup
	for range ringClients {
		wg.Go(func() {
			for range ringRequests / ringClients {
				id := newID()
				a := send(address, head("GET", path, id, time.Second, 0), "", 2*time.Second)
				rec.add("without a route", "request", id, "answer", a)
			}
		})
	}
	wg.Wait()
	time.Sleep(5 * time.Second)
	after, _ := d.machine(gateway).memoryKB()
	rec.say("5 s after the last of them was answered", "gateway_kb", after)
	crowd := newCrowd(rec, address, ordinaryPrefix, 715, ringCrowd)
	crowd.connect()
	rec.say("ordinary clients are connected", "clients", crowd.connected.Load())
	crowd.send()
	finished := make(chan struct{})
	go func() { crowd.wg.Wait(); close(finished) }()
	highest := d.watchMemory(gateway, partsMemoryMB<<10, finished)
	crowd.wg.Wait()
	lost, ended := ranOf(engines, crowd.unanswered), d.machine(gateway).ended()
	rec.say("after the ordinary requests", "highest_kb", highest, "served", crowd.served.Load(), "refused", crowd.refused.Load(), "cut", crowd.cut.Load(),
		"that_ran_and_were_cut", lost)
	if ended {
		rec.say("the process has ended", "state", d.machine(gateway).state)
	}
	if ended && lost > 3 {
		return broken, nil
	}
	return held, nil
}
