package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"
)

// Figures of the case.
const (
	partsClients = 1100
	partsBudget  = 12 * time.Second
	partsDesks   = 5
	// partsOrdinary is the number of ordinary clients, which book on kept connections.
	partsOrdinary = 10
	// ordinaryPrefix are the parts of an ordinary prompt of 715 tokens.
	ordinaryPrefix = "5c1e07a2:172,e4402b7d:543"
)

// manyParts sends one gateway a crowd of requests of legal size whose prompt prefix has very many short parts.
func manyParts(rec *record, trouble bool) (int, error) {
	d, engines, desks, err := startSite(rec, prairie)
	if err != nil {
		return couldNot, err
	}
	time.Sleep(6 * time.Second)
	gateway := d.gateways[0]
	address := fmt.Sprintf("%s:%d", gateway, d.ports.callers)
	prefix, tokens := ordinaryPrefix, 715
	if trouble {
		prefix = shortParts(headerLimit - 300)
		tokens = strings.Count(prefix, ",") + 1
	}
	if a := d.ordinary(gateway); a.status != 200 || !a.complete {
		return couldNot, fmt.Errorf("an ordinary request before the crowd: %v", a)
	}
	before, _ := d.machine(gateway).memoryKB()
	rec.say("before the crowd", "gateway_kb", before, "limit_kb", prairie.memoryMB<<10, "parts", strings.Count(prefix, ",")+1, "tokens", tokens, "prefix_bytes", len(prefix))
	ordinaryCtx, endOrdinary := context.WithCancel(context.Background())
	defer endOrdinary()
	var ordinaryClients sync.WaitGroup
	var mu sync.Mutex
	var unanswered []string
	for range partsOrdinary {
		ordinaryClients.Go(func() {
			ids := keepBooking(ordinaryCtx, rec, address, bookingBudget)
			mu.Lock()
			defer mu.Unlock()
			unanswered = append(unanswered, ids...)
		})
	}
	time.Sleep(time.Second)
	crowd := newCrowd(rec, address, prefix, tokens, partsClients)
	crowd.connect()
	rec.say("the crowd is connected", "clients", crowd.connected.Load())
	crowd.send()
	finished := make(chan struct{})
	go func() { crowd.wg.Wait(); close(finished) }()
	highest := d.watchMemory(gateway, prairie.memoryMB<<10, finished)
	crowd.wg.Wait()
	endOrdinary()
	ordinaryClients.Wait()
	lost, crowdLost := ranOf(desks, unanswered), ranOf(engines, crowd.unanswered)
	ended := d.machine(gateway).ended()
	rec.say("after the crowd", "highest_kb", highest, "crowd_served", crowd.served.Load(), "crowd_refused", crowd.refused.Load(), "crowd_cut", crowd.cut.Load(),
		"crowd_that_ran_and_was_cut", crowdLost, "bookings_that_ran_and_were_cut", lost)
	if !ended {
		rec.say("ordinary request afterwards", "answer", d.ordinary(gateway))
		return held, nil
	}
	rec.say("the process has ended", "state", d.machine(gateway).state)
	if lost+crowdLost > 3 {
		return broken, nil
	}
	return held, nil
}

// startSite starts a small deployment with machines, replicas and services like those of a site.
func startSite(rec *record, p profile) (d *deployment, engines, desks []*replica, err error) {
	if d, err = newDeployment(rec, 3, 2); err != nil {
		return nil, nil, nil, err
	}
	register(d)
	d.memoryMB, d.maxFDs = p.memoryMB, p.maxFDs
	if err := d.startAll(); err != nil {
		return nil, nil, nil, err
	}
	if err := d.replaceConfig(baseConfig(1, p), 20*time.Second); err != nil {
		return nil, nil, nil, err
	}
	for i := range p.replicas {
		r, err := newReplica(d, fmt.Sprintf("i-%d", i), assistant, fmt.Sprintf("%s%d:8080", d.base, 101+i), p.slots, p.kvToken)
		if err != nil {
			return nil, nil, nil, err
		}
		engines = append(engines, r)
	}
	for i := range partsDesks {
		r, err := newReplica(d, fmt.Sprintf("d-%d", i), desk, fmt.Sprintf("%s%d:8080", d.base, 201+i), deskSlots, 0)
		if err != nil {
			return nil, nil, nil, err
		}
		desks = append(desks, r)
	}
	return d, engines, desks, d.awaitReady()
}

// ordinary sends an ordinary request for a stream to a gateway.
func (d *deployment) ordinary(at string) answer {
	id := newID()
	a := send(fmt.Sprintf("%s:%d", at, d.ports.callers), head("POST", summaryPath+"1", id, partsBudget, 0, "X-Model: "+modelName, "X-Token-Count: 715,80",
		"X-Prompt-Prefix: "+ordinaryPrefix), "", partsBudget)
	d.record.add("ordinary request", "gateway", at, "request", id, "answer", a)
	return a
}

// shortParts returns a prefix of many parts of one token each, of a number of bytes at most.
func shortParts(size int) string {
	var b strings.Builder
	for i := 1; b.Len() < size; i++ {
		if b.Len() > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, "%x:1", i%4096)
	}
	s := b.String()
	if len(s) > size {
		s = s[:strings.LastIndexByte(s[:size], ',')]
	}
	return s
}
