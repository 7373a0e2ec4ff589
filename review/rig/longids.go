package main

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the case.
const (
	idsClients = 1000
	idsRounds  = 22
	idBytes    = headerLimit - 400
	idsEvents  = 15
	idsGap     = 100 * time.Millisecond
)

// longIDs has clients send requests of legal size whose ids are long, one after the other on kept connections.
func longIDs(rec *record, trouble bool) (int, error) {
	d, engines, _, err := startSite(rec, prairie)
	if err != nil {
		return couldNot, err
	}
	for _, r := range engines {
		r.events, r.gap = idsEvents, idsGap
	}
	time.Sleep(6 * time.Second)
	gateway := d.gateways[0]
	address := net.JoinHostPort(gateway, strconv.Itoa(d.ports.callers))
	before, _ := d.machine(gateway).memoryKB()
	rec.say("before the requests", "gateway_kb", before, "limit_kb", prairie.memoryMB<<10)
	padding := ""
	if trouble {
		padding = strings.Repeat("0", idBytes)
	}
	var served, refused, round atomic.Int64
	var mu sync.Mutex
	var unanswered []string
	var wg sync.WaitGroup
	rounds := make([]chan struct{}, idsRounds)
	for i := range rounds {
		rounds[i] = make(chan struct{})
	}
	var inRound [idsRounds]sync.WaitGroup
	for i := range inRound {
		inRound[i].Add(idsClients)
	}
	for range idsClients {
		wg.Go(func() {
			var conn net.Conn
			var reader *bufio.Reader
			for i := range rounds {
				<-rounds[i]
				id := newID() + padding
				if conn == nil {
					c, err := net.DialTimeout("tcp", address, time.Second)
					if err != nil {
						inRound[i].Done()
						continue
					}
					conn, reader = c, bufio.NewReader(c)
				}
				_ = conn.SetDeadline(time.Now().Add(partsBudget + time.Second))
				_, _ = io.WriteString(conn, head(http.MethodPost, summaryPath+"1", id, partsBudget, 0, "X-Model: "+modelName, "X-Token-Count: 715,80",
					"X-Prompt-Prefix: "+ordinaryPrefix)+"\r\n")
				a := readAnswer(reader, http.MethodPost)
				rec.add("request", "round", i, "request", id[:16], "bytes_of_id", len(id), "answer", a)
				switch {
				case a.err != nil:
					_ = conn.Close()
					conn = nil
					mu.Lock()
					unanswered = append(unanswered, id)
					mu.Unlock()
				case a.status == http.StatusOK:
					served.Add(1)
				default:
					refused.Add(1)
				}
				inRound[i].Done()
			}
			if conn != nil {
				_ = conn.Close()
			}
		})
	}
	finished := make(chan struct{})
	go func() {
		for i := range rounds {
			round.Store(int64(i))
			close(rounds[i])
			inRound[i].Wait()
			now, _ := d.machine(gateway).memoryKB()
			rec.add("round ended", "round", i, "gateway_kb", now)
		}
		wg.Wait()
		close(finished)
	}()
	highest := d.watchMemory(gateway, prairie.memoryMB<<10, finished)
	ended := d.machine(gateway).ended()
	if ended {
		time.Sleep(2 * time.Second)
	}
	mu.Lock()
	lost := ranOf(engines, unanswered)
	mu.Unlock()
	rec.say("after the requests", "highest_kb", highest, "round", round.Load(), "served", served.Load(), "refused", refused.Load(), "that_ran_and_were_cut", lost)
	if ended {
		rec.say("the process has ended", "state", d.machine(gateway).state)
	}
	if ended && lost > 3 {
		return broken, nil
	}
	return held, nil
}
