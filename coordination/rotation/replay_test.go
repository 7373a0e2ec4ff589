package rotation

import (
	"testing"
	"time"
)

// The load of a data centre of the second deployment: 17 gateways of 0.144 of a core, and 85 callers, assigned by hash. The hash gives
// one gateway 2.5 times the mean.
const (
	replayGateways    = 17
	replayCallers     = 85
	callerConnections = 4
	replayCore        = 0.144
	// meanShare is the share of its CPU that a gateway needs with the mean number of callers. At 2.5 times the mean it needs 1.25.
	meanShare = 0.5
	// replayObjective is the objective of the most urgent streams, and replayPatience the time after which callers leave.
	replayObjective = 300 * time.Millisecond
	replayPatience  = 2 * time.Second
)

// replay plays callers, their connections and the CPU of the gateways on top of a driver.
type replay struct {
	*driver
	cpus []*cpu
	// owners is the gateway of each caller by hash.
	owners         [replayCallers]int
	requests, late float64
	closed         int
	reconnected    map[int]int // connections that were opened again, by gateway
}

// cpu is that of one gateway.
type cpu struct {
	*testGateway
	conns   []*conn       // in the order in which they were opened
	backlog time.Duration // work that waits
	failed  int           // failed readiness checks since the last successful one
}

type conn struct{ caller int }

func newReplay(overloaded, leads bool, load float64) *replay {
	r := &replay{driver: newDriver(1), reconnected: make(map[int]int)}
	if !leads {
		r.leader().leaseUntil = begin
	}
	r.add("a", replayGateways)
	for _, g := range r.gateways {
		r.cpus = append(r.cpus, &cpu{testGateway: g})
	}
	for caller := range replayCallers {
		r.owners[caller] = caller % replayGateways
	}
	if overloaded {
		// 12.5 callers of gateway 0 are 2.5 times the mean: it gets eight of others.
		for caller := 1; caller <= 8; caller++ {
			r.owners[caller] = 0
		}
	}
	for caller := range replayCallers {
		for range callerConnections {
			c := r.cpus[r.owners[caller]]
			c.conns = append(c.conns, &conn{caller})
		}
	}
	for _, c := range r.cpus {
		r.follow(c)
	}
	r.play(load)
	return r
}

// follow counts readiness checks, once a second at another time for each gateway.
func (r *replay) follow(c *cpu) {
	var check func()
	check = func() {
		if c.failed++; !c.member.Out(r.now) {
			c.failed = 0
		}
		r.after(time.Second, check)
	}
	r.after(r.random(time.Second), check)
}

// connect opens a connection of a caller at a gateway that is in rotation: the one of its hash, or the next one by another hash.
func (r *replay) connect(caller int) {
	for i := range replayGateways {
		at := r.owners[caller]
		if i > 0 {
			at = (caller*7 + i*5) % replayGateways
		}
		if c := r.cpus[at]; c.failed < 2 {
			c.conns = append(c.conns, &conn{caller})
			r.reconnected[at]++
			return
		}
	}
}

// play runs for 30 s. Each connection has the same rate of requests. load is the demand in parts of the usual one.
func (r *replay) play(load float64) {
	perConn := load * meanShare * replayGateways / (replayCallers * callerConnections) // of the CPU of one gateway
	r.run(30*time.Second, func() {
		for i, c := range r.cpus {
			n := len(c.conns)
			c.connections = n
			used := float64(n) * perConn * (0.6 + 0.8*r.rng.Float64())
			c.backlog = min(max(c.backlog+time.Duration((used-1)*float64(tick)), 0), replayPatience)
			c.lag = c.backlog + time.Duration(r.rng.IntN(3000))*time.Microsecond
			r.requests += float64(n)
			if c.backlog > replayObjective {
				r.late += float64(n)
			}
			if r.rng.Float64() < 0.3 { // a response on the newest connection
				r.respond(i, c)
			}
		}
	})
}

// respond closes the newest connection if the gateway is out, new connections go elsewhere, and it has more than the mean.
func (r *replay) respond(i int, c *cpu) {
	total := 0
	for _, other := range r.cpus {
		total += len(other.conns)
	}
	mean := (total + replayGateways - 1) / replayGateways
	if !c.member.Out(r.now) || c.failed < 2 || len(c.conns) <= mean {
		return
	}
	last := c.conns[len(c.conns)-1]
	c.conns = c.conns[:len(c.conns)-1]
	r.closed++
	r.connect(last.caller)
}

// Guards against callers of an overloaded gateway that stay with it while 16 others have capacity to spare, and against one that gives
// up its callers while all are overloaded.
func TestOverloadedGatewayGivesUpCallers(t *testing.T) {
	r := newReplay(true, true, 1)
	if len(r.taken) != 1 || r.taken[0].gateway != r.gateways[0] {
		t.Fatalf("taken out: %+v; want gateway 0 once", r.taken)
	}
	share := r.late / r.requests
	t.Logf("%.4f of the requests late, %d connections closed, %d left at the overloaded gateway, reconnected %v", share, r.closed, len(r.cpus[0].conns), r.reconnected)
	if n := len(r.cpus[0].conns); n > 24 || n < 20 {
		t.Errorf("%d connections left at the overloaded gateway, the mean is 20", n)
	}
	if r.reconnected[0] > 0 {
		t.Errorf("%d callers reconnected to it while it was out of rotation", r.reconnected[0])
	}
	without := newReplay(true, false, 1)
	if left := without.late / without.requests; share > left/3 {
		t.Errorf("%.4f of the requests are late, %.4f without this part", share, left)
	}
	for i, c := range r.cpus[1:] {
		if c.backlog > replayObjective {
			t.Errorf("gateway %d became overloaded", i+1)
		}
	}
	if r := newReplay(false, true, 2.6); len(r.taken) > 0 || r.closed > 0 || r.late == 0 {
		t.Errorf("all overloaded alike: %d gateways taken out, %d connections closed, %.0f late", len(r.taken), r.closed, r.late)
	}
	if r := newReplay(false, true, 1); len(r.taken) > 0 || r.late > 0 {
		t.Errorf("even load: %d gateways taken out, %.0f late", len(r.taken), r.late)
	}
}
