package main

import (
	"fmt"
	"regexp"
	"strconv"
	"sync"
	"syscall"
	"time"
)

var eventID = regexp.MustCompile(`(?m)^id: (\d+)\ndata: .*\n\n`)

// lastEvent returns the id of the last complete event of a stream, 0 if it has none.
func lastEvent(body string) int {
	found := eventID.FindAllStringSubmatch(body, -1)
	if len(found) == 0 {
		return 0
	}
	n, err := strconv.Atoi(found[len(found)-1][1])
	if err != nil {
		return 0
	}
	return n
}

// originLost kills the processes of the core and of one gateway at the same moment. They are back within a second. The clients whose
// streams broke take them up at the gateways that stayed. All replicas run one software version.
func originLost(p *play) (string, error) {
	const budget = 15 * time.Second
	d := p.d
	zones := []string{"coulee-a", "ridge-b", "slough-c"}
	if err := d.start(3, 5, zones); err != nil {
		return "", err
	}
	config := engineConfig(3, 15000, []string{"m0"})
	config["routes"].([]map[string]any)[0]["slo_ms"] = 2500
	if err := d.replaceConfig(config); err != nil {
		return "", err
	}
	for i := range 3 {
		r := &replica{d: d, service: "huvo11a", host: 100 + i, zone: zones[i], slots: 32, weightsMB: 230000, sizes: map[string]float64{"m0": modelMB},
			loadTime: 3 * time.Second, work: 4 * time.Second, stream: true, onOverload: func(*replica, string) {}}
		if err := r.start("m0"); err != nil {
			return "", err
		}
		defer r.end()
	}
	if err := await(p.ctx, 15*time.Second, "gateways are ready", func() bool {
		for _, g := range d.gateways {
			if !d.ready(g) {
				return false
			}
		}
		return true
	}); err != nil {
		return "", err
	}
	c := newClient(d)
	killed, stayed := d.gateways[0], d.gateways[1:]
	var mu sync.Mutex
	var inTouchFrom time.Time
	inTouch := func(at time.Time) bool {
		mu.Lock()
		defer mu.Unlock()
		return !inTouchFrom.IsZero() && at.After(inTouchFrom)
	}
	takenUp, wentOn := make(map[string]bool), make(map[string]bool)
	began, newStreams := 0, 0
	send := func(g *machine, left time.Duration, last int, resumes string) result {
		a := attempt{gateway: g, method: "POST", path: "/lohu930/2f", body: "prompt", model: "m0", budget: left, resumes: resumes}
		if resumes != "" {
			a.lastEvent = strconv.Itoa(last)
		}
		return c.do(p.ctx, a)
	}
	// takeUp has a client take up a stream that broke off, as often as its deadline allows.
	takeUp := func(first result, n int) {
		last := lastEvent(first.body)
		if last == 0 || last == streamEvents {
			return
		}
		for try := range 6 {
			left := budget - time.Since(first.sentAt)
			if left < time.Second {
				return
			}
			out := send(stayed[(n+try)%len(stayed)], left, last, first.id)
			goesOn := out.err == nil && out.status == 200 && lastEvent(out.body) == streamEvents
			if inTouch(out.sentAt) {
				mu.Lock()
				takenUp[first.id] = true
				wentOn[first.id] = wentOn[first.id] || goesOn
				mu.Unlock()
			}
			if goesOn {
				return
			}
			pause := 200 * time.Millisecond
			if seconds, err := strconv.ParseFloat(out.header.Get("Retry-After"), 64); err == nil {
				pause = min(time.Duration(seconds*float64(time.Second)), (budget-time.Since(first.sentAt))/3)
			}
			time.Sleep(pause)
		}
	}
	var clients sync.WaitGroup
	stop := make(chan struct{})
	for i := range 40 { // 30 at the gateway that is killed, 10 at those that stay
		clients.Go(func() {
			time.Sleep(time.Duration(i) * 100 * time.Millisecond)
			for n := i; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				g := stayed[n%len(stayed)]
				if i < 30 {
					g = killed
				}
				out := send(g, budget, 0, "")
				if i >= 30 && inTouch(out.sentAt) {
					mu.Lock()
					newStreams++
					if out.err == nil && out.status == 200 {
						began++
					}
					mu.Unlock()
				}
				if i < 30 && out.err != nil {
					takeUp(out, n)
					return
				}
			}
		})
	}
	time.Sleep(9 * time.Second)
	lost := append([]*machine{killed}, d.controls...)
	if p.trouble {
		for _, m := range lost {
			d.signal(m, syscall.SIGKILL)
		}
		time.Sleep(restartDelay)
		for _, m := range lost {
			<-m.ended
			if err := d.startMachine(m, false); err != nil {
				return "", err
			}
		}
	}
	mu.Lock()
	inTouchFrom = time.Now().Add(contactTime + 50*time.Millisecond)
	mu.Unlock()
	time.Sleep(14 * time.Second)
	close(stop)
	clients.Wait()
	goOn := 0
	for _, ok := range wentOn {
		if ok {
			goOn++
		}
	}
	d.record.note("machines in touch: %d streams were taken up, %d of them went on; %d of %d new streams began", len(takenUp), goOn, began, newStreams)
	if began == 0 {
		return "", fmt.Errorf("no new stream began")
	}
	if len(takenUp) >= 12 && float64(goOn)/float64(len(takenUp)) < 0.5*float64(began)/float64(newStreams) {
		return fmt.Sprintf("LOST: %d of %d streams that clients took up went on, and %d of %d new streams began", goOn, len(takenUp), began, newStreams), nil
	}
	return "", nil
}
