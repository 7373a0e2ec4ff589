package main

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of the case.
const (
	ringRequests = 2400
	ringClients  = 8
	ringPath     = 65 << 10
	ringOrdinary = 40
)

// longPaths sends one gateway requests with long paths that no route matches, beside a few ordinary clients.
func longPaths(rec *record, trouble bool) (int, error) {
	d, engines, _, err := startSite(rec, napred)
	if err != nil {
		return couldNot, err
	}
	time.Sleep(6 * time.Second)
	gateway := d.gateways[0]
	address := net.JoinHostPort(gateway, strconv.Itoa(d.ports.callers))
	path := "/none/"
	if trouble {
		path += strings.Repeat("p", ringPath)
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var ordinary sync.WaitGroup
	var mu sync.Mutex
	var unanswered []string
	answered := 0
	for range ringOrdinary {
		ordinary.Go(func() {
			ids, n := keepStreaming(ctx, rec, address)
			mu.Lock()
			defer mu.Unlock()
			unanswered, answered = append(unanswered, ids...), answered+n
		})
	}
	time.Sleep(6 * time.Second)
	before, _ := d.machine(gateway).memoryKB()
	rec.say("before the requests without a route", "gateway_kb", before, "limit_kb", napred.memoryMB<<10)
	var wg sync.WaitGroup
	for range ringClients {
		wg.Go(func() {
			for range ringRequests / ringClients {
				id := newID()
				a := send(address, head(http.MethodGet, path, id, time.Second, 0), "", 2*time.Second)
				rec.add("without a route", "request", id, "answer", a)
			}
		})
	}
	finished := make(chan struct{})
	go func() {
		wg.Wait()
		time.Sleep(10 * time.Second) // for ordinary clients
		close(finished)
	}()
	highest := d.watchMemory(gateway, napred.memoryMB<<10, finished)
	stop()
	ordinary.Wait()
	lost, ended := ranOf(engines, unanswered), d.machine(gateway).ended()
	rec.say("after the requests without a route", "highest_kb", highest, "ordinary_answered", answered, "ordinary_that_ran_and_were_cut", lost)
	if ended {
		rec.say("the process has ended", "state", d.machine(gateway).state)
	}
	if ended && lost > 3 {
		return broken, nil
	}
	return held, nil
}

// keepStreaming sends one ordinary request for a stream after the other on a kept connection. It returns the ids of those whose connection
// was closed without a complete answer, and the number of the others.
func keepStreaming(ctx context.Context, rec *record, address string) (unanswered []string, answered int) {
	var conn net.Conn
	var reader *bufio.Reader
	for ctx.Err() == nil {
		if conn == nil {
			c, err := net.DialTimeout("tcp", address, time.Second)
			if err != nil {
				pause(ctx, 200*time.Millisecond)
				continue
			}
			conn, reader = c, bufio.NewReader(c)
		}
		id := newID()
		_ = conn.SetDeadline(time.Now().Add(partsBudget + time.Second))
		_, _ = io.WriteString(conn, head(http.MethodPost, summaryPath+"1", id, partsBudget, 0, "X-Model: "+modelName, "X-Token-Count: 715,80",
			"X-Prompt-Prefix: "+ordinaryPrefix)+"\r\n")
		a := readAnswer(reader, http.MethodPost)
		rec.add("ordinary", "request", id, "answer", a)
		if a.err == nil {
			answered++
			continue
		}
		unanswered = append(unanswered, id)
		_ = conn.Close()
		conn = nil
	}
	if conn != nil {
		_ = conn.Close()
	}
	return unanswered, answered
}
