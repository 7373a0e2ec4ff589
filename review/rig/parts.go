package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Figures of the case. A gateway of fogline-prairie-grown has 184 MB and 4,100 descriptors.
const (
	partsMemoryMB = 184
	partsMaxFDs   = 4100
	partsClients  = 1100
	partsReplicas = 60
	partsBudget   = 12 * time.Second
	partsDesks    = 5
	// partsOrdinary is the number of ordinary clients, which book on kept connections.
	partsOrdinary = 10
)

// manyParts sends one gateway a crowd of requests of legal size whose prompt prefix has very many short parts.
func manyParts(rec *record, trouble bool) (int, error) {
	d, err := newDeployment(rec, 3, 2)
	if err != nil {
		return couldNot, err
	}
	register(d)
	d.memoryMB, d.maxFDs = partsMemoryMB, partsMaxFDs
	if err := d.startAll(); err != nil {
		return couldNot, err
	}
	if err := d.replaceConfig(baseConfig(1), 20*time.Second); err != nil {
		return couldNot, err
	}
	var engines []*replica
	for i := range partsReplicas {
		r, err := newReplica(d, fmt.Sprintf("i-%d", i), assistant, fmt.Sprintf("%s%d:8080", d.base, 101+i), replicaSlots, true)
		if err != nil {
			return couldNot, err
		}
		engines = append(engines, r)
	}
	var desks []*replica
	for i := range partsDesks {
		r, err := newReplica(d, fmt.Sprintf("d-%d", i), desk, fmt.Sprintf("%s%d:8080", d.base, 201+i), deskSlots, false)
		if err != nil {
			return couldNot, err
		}
		desks = append(desks, r)
	}
	if err := d.awaitReady(); err != nil {
		return couldNot, err
	}
	time.Sleep(6 * time.Second)
	gateway := d.gateways[0]
	address := fmt.Sprintf("%s:%d", gateway, d.ports.callers)
	prefix, tokens := "5c1e07a2:172,e4402b7d:543", 715
	if trouble {
		prefix = shortParts(headerLimit - 300)
		tokens = strings.Count(prefix, ",") + 1
	}
	ordinary := func(at string) answer {
		id := newID()
		a := send(fmt.Sprintf("%s:%d", at, d.ports.callers), head("POST", summaryPath+"1", id, partsBudget, 0, "X-Model: "+modelName, "X-Token-Count: 715,80",
			"X-Prompt-Prefix: 5c1e07a2:172,e4402b7d:543"), "", partsBudget)
		rec.add("ordinary request", "gateway", at, "request", id, "answer", a)
		return a
	}
	if a := ordinary(gateway); a.status != 200 || !a.complete {
		return couldNot, fmt.Errorf("an ordinary request before the crowd: %v", a)
	}
	before, _ := d.machine(gateway).memoryKB()
	rec.say("before the crowd", "gateway_kb", before, "limit_kb", partsMemoryMB<<10, "parts", strings.Count(prefix, ",")+1, "tokens", tokens, "prefix_bytes", len(prefix))
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
	// Each client of the crowd reads a tank level first, and keeps its connection.
	var served, refused, cut, connected atomic.Int64
	var wg, connecting sync.WaitGroup
	crowd := make(chan struct{})
	var crowdUnanswered []string
	for i := range partsClients {
		connecting.Add(1)
		wg.Go(func() {
			time.Sleep(time.Duration(i) * 8 * time.Millisecond)
			conn, reader, a := openWithReading(address)
			for tries := 0; conn == nil && tries < 5; tries++ {
				time.Sleep(500 * time.Millisecond)
				conn, reader, a = openWithReading(address)
			}
			rec.add("reading", "answer", a)
			connecting.Done()
			if conn == nil {
				return
			}
			defer func() { _ = conn.Close() }()
			connected.Add(1)
			<-crowd
			id := newID()
			_ = conn.SetDeadline(time.Now().Add(partsBudget + time.Second))
			_, _ = io.WriteString(conn, head(http.MethodPost, summaryPath+"1", id, partsBudget, 0, "X-Model: "+modelName,
				fmt.Sprintf("X-Token-Count: %d,80", tokens), "X-Prompt-Prefix: "+prefix)+"\r\n")
			a = readAnswer(reader, http.MethodPost)
			switch {
			case a.status == 200 && a.complete:
				served.Add(1)
			case a.status != 0 && a.status != 200:
				refused.Add(1)
			default:
				cut.Add(1)
				mu.Lock()
				crowdUnanswered = append(crowdUnanswered, id)
				mu.Unlock()
			}
			rec.add("crowd", "request", id, "answer", a)
		})
	}
	connecting.Wait()
	rec.say("the crowd is connected", "clients", connected.Load())
	close(crowd)
	finished := make(chan struct{})
	go func() { wg.Wait(); close(finished) }()
	// The platform kills a process that uses more than the memory of its machine.
	killed, highest := false, 0
	for running := true; running; {
		select {
		case <-finished:
			running = false
		case <-time.After(20 * time.Millisecond):
		}
		m := d.machine(gateway)
		if m.ended() {
			break
		}
		now, _ := m.memoryKB()
		highest = max(highest, now)
		if now > partsMemoryMB<<10 && !killed {
			killed = true
			rec.say("the gateway uses more than the memory of its machine", "kb", now)
			d.signal(gateway, syscall.SIGKILL)
		}
	}
	wg.Wait()
	endOrdinary()
	ordinaryClients.Wait()
	lost, crowdLost := ranOf(desks, unanswered), ranOf(engines, crowdUnanswered)
	ended := d.machine(gateway).ended()
	rec.say("after the crowd", "highest_kb", highest, "crowd_served", served.Load(), "crowd_refused", refused.Load(), "crowd_cut", cut.Load(),
		"crowd_that_ran_and_was_cut", crowdLost, "bookings_that_ran_and_were_cut", lost)
	if !ended {
		rec.say("ordinary request afterwards", "answer", ordinary(gateway))
		return held, nil
	}
	rec.say("the process has ended", "state", d.machine(gateway).state)
	if lost+crowdLost > 3 {
		return broken, nil
	}
	return held, nil
}

// openWithReading opens a connection and sends an idempotent request on it. conn is nil if that was not answered with success.
func openWithReading(address string) (conn net.Conn, reader *bufio.Reader, a answer) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, nil, answer{err: err}
	}
	reader = bufio.NewReader(conn)
	_ = conn.SetDeadline(time.Now().Add(bookingBudget))
	id := newID()
	_, _ = io.WriteString(conn, head(http.MethodGet, readingPath+id, id, bookingBudget, 0)+"\r\n")
	if a = readAnswer(reader, http.MethodGet); a.status != http.StatusOK || !a.complete {
		_ = conn.Close()
		return nil, nil, a
	}
	return conn, reader, a
}

// ranOf returns how many of the requests ran at the replicas.
func ranOf(replicas []*replica, ids []string) (n int) {
	for _, r := range replicas {
		r.mu.Lock()
		for _, id := range ids {
			n += min(r.runs[id], 1)
		}
		r.mu.Unlock()
	}
	return n
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
