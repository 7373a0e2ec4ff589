package rotation

import (
	"slices"
	"testing"
	"time"
)

// overload makes one gateway overloaded, and all others are on time.
func overload(d *driver, i int, lag time.Duration) *testGateway {
	d.gateways[i].lag = lag
	return d.gateways[i]
}

// Guards against gateways that are taken out although all are overloaded alike, too few of their data centre report, their lag is
// only sometimes high or not twice the median, or their data centre has fewer than four.
func TestNoneIsTakenOut(t *testing.T) {
	for name, c := range map[string]struct {
		gateways int
		prepare  func(d *driver)
		each     func(d *driver)
	}{
		"all are overloaded alike": {17, func(d *driver) {}, func(d *driver) {
			for _, g := range d.gateways {
				g.lag = time.Duration(200+d.rng.IntN(150)) * time.Millisecond
			}
		}},
		"all but a few are overloaded": {17, func(d *driver) {
			for i, g := range d.gateways {
				g.lag = 100 * time.Millisecond
				if i < 8 {
					g.lag = time.Millisecond
				}
			}
		}, nil},
		"less than twice the median": {17, func(d *driver) {
			for _, g := range d.gateways {
				g.lag = 50 * time.Millisecond
			}
			overload(d, 3, 99*time.Millisecond)
		}, nil},
		"at the threshold":  {17, func(d *driver) { overload(d, 3, overloadLag) }, nil},
		"of three gateways": {3, func(d *driver) { overload(d, 1, time.Second) }, nil},
		"sometimes on time": {17, func(d *driver) { overload(d, 3, time.Second) }, func(d *driver) {
			if d.gateways[3].lag = time.Second; d.now.Sub(begin)%(1800*time.Millisecond) < 150*time.Millisecond {
				d.gateways[3].lag = 0
			}
		}},
		"reports with gaps": {17, func(d *driver) { overload(d, 3, time.Second) }, func(d *driver) {
			if d.now.Sub(begin)%(2900*time.Millisecond) == 0 {
				d.gateways[3].cutUntil = d.now.Add(1300 * time.Millisecond)
			}
		}},
		"fewer than three quarters report": {17, func(d *driver) {
			d.run(5*time.Second, nil)
			for _, g := range d.gateways[12:] {
				g.cutUntil = d.now.Add(24 * time.Second)
			}
			overload(d, 3, time.Second)
		}, nil},
		"without a leader": {17, func(d *driver) {
			d.run(5*time.Second, nil)
			d.leader().leaseUntil = d.now
			overload(d, 3, time.Second)
		}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDriver(1)
			d.add("a", c.gateways)
			d.add("b", 20)
			c.prepare(d)
			d.run(20*time.Second, func() {
				if c.each != nil {
					c.each(d)
				}
			})
			for _, taken := range d.taken {
				t.Errorf("%s is taken out after %v", taken.gateway.name, taken.at.Sub(begin))
			}
		})
	}
}

// Guards against a gateway that is overloaded alone and stays in rotation, or is taken out too early, and against several that are
// taken out at once or beyond a tenth.
func TestOverloadedGatewaysAreTakenOut(t *testing.T) {
	d := newDriver(1)
	d.add("a", 30)
	d.run(5*time.Second, nil)
	start := d.now
	for i := range 8 {
		overload(d, i, time.Duration(100+10*i)*time.Millisecond)
	}
	most := 0
	d.run(4900*time.Millisecond, func() { most = max(most, len(d.out("a"))) })
	if len(d.taken) != 3 || most != 3 {
		t.Fatalf("%d gateways taken out, %d at a time; want 3 of 30", len(d.taken), most)
	}
	for i, taken := range d.taken {
		after := taken.at.Sub(start)
		if least := overloadTime + time.Duration(i)*takeInterval; after < least || after > least+400*time.Millisecond {
			t.Errorf("gateway %d is taken out %v after it became overloaded, want %v", i, after, least)
		}
		// All are due when the second one is taken out.
		if i > 0 && slices.ContainsFunc(d.gateways, func(g *testGateway) bool { return g.lag > taken.gateway.lag && !wasTaken(d.taken[:i], g) }) {
			t.Errorf("%s is taken out as number %d, the lag of another one is longer", taken.gateway.name, i)
		}
	}
}

func wasTaken(taken []takenAt, g *testGateway) bool {
	return slices.ContainsFunc(taken, func(t takenAt) bool { return t.gateway == g })
}

// Guards against a long lag in one data centre that keeps an overloaded gateway of another one in rotation.
func TestDataCentresCountApart(t *testing.T) {
	d := newDriver(1)
	d.add("a", 4)
	d.add("b", 20)
	for _, g := range d.gateways[4:] {
		g.lag = time.Second
	}
	overload(d, 1, 100*time.Millisecond)
	d.run(4*time.Second, nil)
	if len(d.taken) != 1 || d.taken[0].gateway != d.gateways[1] || d.taken[0].Reporting != 4 {
		t.Errorf("taken out: %+v", d.taken)
	}
}

// Guards against a frozen gateway that counts as overloaded, or that is out of rotation when it resumes.
func TestFrozenGateway(t *testing.T) {
	d := newDriver(1)
	d.add("a", 17)
	d.run(5*time.Second, nil)
	frozen := d.gateways[3]
	frozen.frozenUntil = d.now.Add(4 * time.Second)
	d.run(4*time.Second, nil)
	frozen.lag = 4 * time.Second // its first report
	d.run(180*time.Millisecond, nil)
	frozen.lag = time.Millisecond
	d.run(10*time.Second, nil)
	if len(d.taken) > 0 {
		t.Fatal("a gateway that was frozen is taken out")
	}
	overload(d, 3, time.Second)
	d.run(2500*time.Millisecond, nil)
	if !frozen.member.Out(d.now) {
		t.Fatal("not taken out")
	}
	frozen.frozenUntil = d.now.Add(3 * time.Second)
	d.run(2500*time.Millisecond, nil)
	other := overload(d, 4, time.Second)
	d.run(490*time.Millisecond, nil)
	d.run(2*time.Second, func() {
		if frozen.member.Out(d.now) {
			t.Fatal("out of rotation after it resumed")
		}
	})
	if !other.member.Out(d.now) {
		t.Error("a gateway that froze while it was out keeps the others in")
	}
}

// Guards against gateways that stay out when the leader is lost, that a new leader returns or takes out beyond the bound, and against
// a cut off leader that goes on to take gateways out.
func TestLeaderIsLostWhileGatewaysAreOut(t *testing.T) {
	start := func(t *testing.T) (*driver, *testGateway) {
		d := newDriver(1)
		d.add("a", 17)
		d.run(5*time.Second, nil)
		g := overload(d, 3, time.Second)
		d.run(2500*time.Millisecond, nil)
		if !g.member.Out(d.now) {
			t.Fatal("not taken out")
		}
		overload(d, 4, 900*time.Millisecond)
		overload(d, 5, 900*time.Millisecond)
		return d, g
	}
	t.Run("lost", func(t *testing.T) {
		d, g := start(t)
		d.leader().leaseUntil = d.now
		d.run(1500*time.Millisecond, nil)
		if !g.member.Out(d.now) {
			t.Error("returned before 2 s without a leader")
		}
		d.run(600*time.Millisecond, nil)
		if g.member.Out(d.now) || d.returns[LeaderLost] != 1 {
			t.Errorf("2.1 s without a leader: out %v, returns %v", g.member.Out(d.now), d.returns)
		}
		d.run(20*time.Second, nil)
		if len(d.taken) != 1 {
			t.Errorf("%d gateways taken out without a leader", len(d.taken)-1)
		}
	})
	t.Run("replaced", func(t *testing.T) {
		d, g := start(t)
		d.replaceLeader(100*time.Millisecond, 0)
		since := d.now
		d.run(2400*time.Millisecond, func() {
			if out := d.out("a"); len(out) > 1 {
				t.Fatalf("%d gateways are out", len(out))
			}
		})
		if !g.member.Out(d.now) {
			t.Error("the new leader returned a gateway that its predecessor took out")
		}
		d.run(4*time.Second, func() {
			if out := d.out("a"); len(out) > 1 {
				t.Fatalf("%d gateways are out", len(out))
			}
		})
		if len(d.taken) != 2 || d.taken[1].at.Sub(since) < settleTime {
			t.Errorf("%d gateways taken out; want one by the new leader, after 3 s", len(d.taken))
		}
	})
	t.Run("cut off", func(t *testing.T) {
		d, _ := start(t)
		old := d.leader()
		d.replaceLeader(testElection, 20*time.Second)
		d.run(20*time.Second, func() {
			if out := d.out("a"); len(out) > 1 {
				t.Fatalf("%d gateways are out", len(out))
			}
		})
		for _, taken := range d.taken[1:] {
			if taken.leader == old {
				t.Error("the old leader takes out a gateway")
			}
		}
	})
	t.Run("old build", func(t *testing.T) {
		d, g := start(t)
		d.run(testInterval, nil)
		d.leader().leaseUntil = d.now // its answers say nothing, as those of a build before
		d.run(2100*time.Millisecond, nil)
		if g.member.Out(d.now) {
			t.Error("out of rotation at a leader whose build knows nothing of it")
		}
	})
}

// Guards against gateways that stay out while others are lost or become overloaded as well.
func TestGatewaysAreCalledBack(t *testing.T) {
	for name, change := range map[string]func(d *driver){
		"others lost": func(d *driver) {
			for _, g := range d.gateways[10:] {
				g.downUntil = d.now.Add(time.Hour)
			}
		},
		"fewer than ten for each": func(d *driver) {
			for _, g := range d.gateways[15:] {
				g.downUntil = d.now.Add(time.Hour)
			}
		},
		"all overloaded": func(d *driver) {
			for _, g := range d.gateways {
				g.lag = time.Second
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDriver(1)
			d.add("a", 20)
			d.run(5*time.Second, nil)
			overload(d, 0, time.Second)
			overload(d, 1, time.Second)
			d.run(3500*time.Millisecond, nil)
			if len(d.out("a")) != 2 {
				t.Fatalf("%d gateways out, want 2 of 20", len(d.out("a")))
			}
			change(d)
			d.run(1300*time.Millisecond, nil)
			if d.returns[CalledBack] == 0 || len(d.out("a")) > 1 {
				t.Errorf("%d gateways are out, returns %v", len(d.out("a")), d.returns)
			}
		})
	}
}

// Guards against an order that is never received and keeps others in rotation, or that counts as a time out of rotation.
func TestOrderThatIsNotReceived(t *testing.T) {
	p := NewPlanner(at(0))
	report := func(ms int, name string, lag time.Duration) Answer {
		a, _ := p.Report(at(ms), testTimeout, Report{Gateway: name, DataCentre: "a", Lag: lag})
		return a
	}
	others := func(ms int) {
		for _, name := range []string{"1", "2", "3", "4"} {
			report(ms, name, 0)
		}
	}
	taken := 0
	for ms := 0; ms <= 12_000; ms += 100 {
		others(ms)
		if a := report(ms, "0", time.Second); a.Out {
			taken = ms
			break
		}
	}
	if taken != 3000 {
		t.Fatalf("taken out after %d ms", taken)
	}
	if a := report(taken+100, "0", time.Second); !a.Out {
		t.Error("the order is not repeated")
	}
	if a := report(taken+200, "0", 0); a.Decided {
		t.Error("the order is repeated although the gateway is not overloaded")
	}
	if out := p.Out(at(taken + 200)); len(out) != 1 || out[0] != "0" {
		t.Errorf("out: %v; it may have received the order", out)
	}
	if out := p.Out(at(taken + 2400)); len(out) != 0 {
		t.Errorf("out: %v; an order ends 2 s after it was sent", out)
	}
}

// Guards against a gateway that is cut off while it is out, and does not count as out although it may not have returned yet.
func TestGatewayIsCutOffWhileOut(t *testing.T) {
	d := newDriver(1)
	d.add("a", 17)
	d.run(5*time.Second, nil)
	overload(d, 3, time.Second)
	overload(d, 4, 900*time.Millisecond)
	d.run(2500*time.Millisecond, nil)
	if len(d.out("a")) != 1 {
		t.Fatalf("%d gateways out", len(d.out("a")))
	}
	first := d.out("a")[0]
	first.cutUntil = d.now.Add(10 * time.Second)
	cut := d.now
	d.run(5*time.Second, func() {
		if out := d.out("a"); len(out) > 1 {
			t.Fatalf("%d gateways are out %v after %s was cut off", len(out), d.now.Sub(cut), first.name)
		}
	})
	if len(d.taken) != 2 || d.taken[1].at.Sub(cut) > holdTime+testInterval {
		t.Errorf("%d gateways taken out; want the other one after %v", len(d.taken), holdTime)
	}
}

// Guards against a gateway that restarts while it is out, so that it knows nothing of it, and is taken out again at once.
func TestRestartWhileOut(t *testing.T) {
	d := newDriver(1)
	d.add("a", 17)
	d.run(5*time.Second, nil)
	g := overload(d, 3, time.Second)
	d.run(2500*time.Millisecond, nil)
	if !g.member.Out(d.now) {
		t.Fatal("not taken out")
	}
	g.member, g.call, g.downUntil = &Member{}, nil, d.now.Add(500*time.Millisecond)
	restarted := d.now
	d.run(30*time.Second, func() {
		if g.member.Out(d.now) && d.now.Sub(restarted) < RestTime {
			t.Fatalf("out again %v after its restart", d.now.Sub(restarted))
		}
	})
	if len(d.taken) != 2 {
		t.Errorf("taken out %d times in all, want 2", len(d.taken))
	}
}

// Guards against a mean that includes gateways of other data centres, or is rounded down, so that connections are closed at a gateway
// with the mean.
func TestMeanConnections(t *testing.T) {
	p := NewPlanner(at(0))
	var a Answer
	for ms := 0; ms <= 4000 && !a.Out; ms += 100 {
		for i, name := range []string{"1", "2", "3", "4"} {
			p.Report(at(ms), testTimeout, Report{Gateway: name, DataCentre: "a", Connections: 2 + i})
			p.Report(at(ms), testTimeout, Report{Gateway: "b" + name, DataCentre: "b", Connections: 100})
		}
		a, _ = p.Report(at(ms), testTimeout, Report{Gateway: "0", DataCentre: "a", Connections: 7, Lag: time.Second})
	}
	if a.MeanConnections != 5 {
		t.Errorf("answer %+v, want a mean of 5 (21 connections of 5 gateways)", a)
	}
}

// BenchmarkReport measures a report at the leader of 77 and 1,000 gateways of three data centres.
func BenchmarkReport(b *testing.B) {
	for name, lag := range map[string]time.Duration{"low": time.Millisecond, "all_overloaded": time.Second} {
		for _, n := range []int{77, 1000} {
			b.Run(name+"/"+map[int]string{77: "77", 1000: "1000"}[n], func(b *testing.B) {
				p, now, interval := NewPlanner(begin), begin, max(testInterval, time.Duration(n)*1500*time.Microsecond)/time.Duration(n)
				names, centres := make([]string, n), []string{"a", "b", "c"}
				for i := range names {
					names[i] = string(rune('a'+i%26)) + string(rune('a'+i/26%26)) + string(rune('a'+i/676))
				}
				b.ReportAllocs()
				for i := range b.N {
					now = now.Add(interval)
					p.Report(now, 3*interval*time.Duration(n), Report{Gateway: names[i%n], DataCentre: centres[i%n%3], Lag: lag})
				}
			})
		}
	}
}

// Guards against an overloaded gateway that stays in rotation because another one has a longer lag which may not be taken out: that
// returned under an earlier leader, so the new one knows of its rest only from its reports.
func TestRestingGatewayKeepsNoOtherInRotation(t *testing.T) {
	now := begin
	p := NewPlanner(now)
	for range 60 {
		now = now.Add(100 * time.Millisecond)
		for i := range 17 {
			r := Report{Gateway: string(rune('a' + i)), DataCentre: "z", Lag: time.Millisecond}
			switch i {
			case 3:
				r.Lag, r.State = 2*time.Second, Resting
			case 5:
				r.Lag = time.Second
			}
			if _, taken := p.Report(now, time.Second, r); taken != nil {
				if i != 5 {
					t.Errorf("gateway %d is taken out", i)
				}
				return
			}
		}
	}
	t.Error("no gateway is taken out within 6 s")
}
