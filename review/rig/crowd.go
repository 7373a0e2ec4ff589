package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// crowd is a number of clients that send one request for a stream each at the same time, on connections that they have used before.
type crowd struct {
	rec             *record
	address, prefix string
	tokens, clients int
	wg              sync.WaitGroup
	begin           chan struct{}

	connected, served, refused, cut atomic.Int64

	mu         sync.Mutex
	unanswered []string
}

func newCrowd(rec *record, address, prefix string, tokens, clients int) *crowd {
	return &crowd{rec: rec, address: address, prefix: prefix, tokens: tokens, clients: clients, begin: make(chan struct{})}
}

// connect has each client read a tank level first, and keep its connection.
func (c *crowd) connect() {
	var connecting sync.WaitGroup
	for i := range c.clients {
		connecting.Add(1)
		c.wg.Go(func() {
			time.Sleep(time.Duration(i) * 7 * time.Millisecond)
			conn, reader, a := openWithReading(c.address)
			for tries := 0; conn == nil && tries < 5; tries++ {
				time.Sleep(500 * time.Millisecond)
				conn, reader, a = openWithReading(c.address)
			}
			c.rec.add("reading", "answer", a)
			connecting.Done()
			if conn == nil {
				return
			}
			defer func() { _ = conn.Close() }()
			c.connected.Add(1)
			<-c.begin
			c.request(conn, reader)
		})
	}
	connecting.Wait()
}

// send has all clients send their requests.
func (c *crowd) send() { close(c.begin) }

func (c *crowd) request(conn net.Conn, reader *bufio.Reader) {
	id := newID()
	_ = conn.SetDeadline(time.Now().Add(partsBudget + time.Second))
	_, _ = io.WriteString(conn, head(http.MethodPost, summaryPath+"1", id, partsBudget, 0, "X-Model: "+modelName,
		fmt.Sprintf("X-Token-Count: %d,80", c.tokens), "X-Prompt-Prefix: "+c.prefix)+"\r\n")
	a := readAnswer(reader, http.MethodPost)
	c.rec.add("crowd", "request", id, "answer", a)
	switch {
	case a.status == 200 && a.complete:
		c.served.Add(1)
	case a.status != 0 && a.status != 200:
		c.refused.Add(1)
	default:
		c.cut.Add(1)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.unanswered = append(c.unanswered, id)
	}
}

// watchMemory does what the platform does with a process that uses more than the memory of its machine: it kills it. It returns the highest
// memory once finished is closed or the process has ended.
func (d *deployment) watchMemory(ip string, limitKB int, finished <-chan struct{}) (highestKB int) {
	m := d.machine(ip)
	for {
		select {
		case <-finished:
			return highestKB
		case <-m.done:
			return highestKB
		case <-time.After(20 * time.Millisecond):
		}
		now, _ := m.memoryKB()
		highestKB = max(highestKB, now)
		if now > limitKB {
			d.record.say("the gateway uses more than the memory of its machine", "kb", now)
			d.signal(ip, syscall.SIGKILL)
			<-m.done
			return highestKB
		}
	}
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
