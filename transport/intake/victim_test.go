package intake

import (
	"testing"
	"time"
)

// Guards against closing clients that make progress, or whose requests may run, in place of those that hold memory without any.
func TestVictim(t *testing.T) {
	now := time.Unix(1000, 0)
	ago := func(s float64) time.Time { return now.Add(-time.Duration(s * float64(time.Second))) }
	steady := Claim{State: Receiving, Held: 4 << 20, Since: ago(17), Recent: 250_000}
	stopped := Claim{State: Receiving, Held: 1 << 20, Since: ago(3)}
	fresh := Claim{State: Receiving, Held: 1 << 20, Since: ago(0.3), Recent: 900_000}
	running := Claim{State: Running, Held: 4 << 20, Since: ago(60)}
	waiting := Claim{State: Receiving, Held: 2 << 20, Since: ago(5), Waiting: true}
	trickling := Claim{State: Receiving, Held: 1 << 20, Since: ago(10), Recent: 10}
	slowHead := Claim{State: Receiving, Held: 20 << 10, Since: ago(2), Recent: 10}
	unread := Claim{State: Unread, Held: 256 << 10, Since: ago(4)}
	justWritten := Claim{State: Unread, Held: 256 << 10, Since: ago(0.2)}
	idle := Claim{State: Idle, Held: 16 << 10, Since: ago(2)}
	longIdle := Claim{State: Idle, Held: 16 << 10, Since: ago(14)}
	for _, row := range []struct {
		name   string
		claims []Claim
		force  bool
		want   int // where memory is scarce
	}{
		{"nobody", nil, true, -1},
		{"bodies that stopped beside a steady one", []Claim{steady, stopped, fresh}, false, 1},
		{"burst of bodies that still arrive", []Claim{fresh, fresh, steady}, false, -1},
		{"clients that wait for room", []Claim{waiting, waiting}, false, -1},
		{"a client that has just got room", []Claim{{State: Receiving, Held: 2 << 20, Since: ago(9), Resumed: ago(0.5)}}, false, -1},
		{"clients that wait for room for long", []Claim{fresh, waiting}, true, 1},
		{"the senior of those that wait for room", []Claim{fresh, {State: Receiving, Held: 2 << 20, Since: ago(9), Waiting: true, Senior: true}}, true, 0},
		{"a senior that stopped", []Claim{fresh, {State: Receiving, Held: 2 << 20, Since: ago(9), Senior: true}}, false, 1},
		{"a steady one beside one that waits", []Claim{steady, waiting}, true, 1},
		{"all requests run", []Claim{running, running}, true, -1},
		{"a byte now and then", []Claim{steady, trickling, slowHead}, false, 1},
		{"slow heads only", []Claim{running, slowHead, fresh}, false, 1},
		{"responses that are not read", []Claim{running, unread, justWritten}, false, 1},
		{"a response that was just written", []Claim{running, justWritten}, true, -1},
		{"the oldest idle connection", []Claim{running, idle, longIdle}, false, 2},
		{"idle connections that hold little", []Claim{idle, stopped, longIdle}, false, 1},
		{"other processes beside a stopped client", []Claim{{State: Receiving, Held: 4 << 20, Since: ago(9), Exempt: true}, stopped}, false, 1},
		{"other processes only", []Claim{{State: Receiving, Held: 4 << 20, Since: ago(9), Exempt: true}, {State: Idle, Since: ago(14), Exempt: true}}, true, -1},
		{"the one that holds most", []Claim{slowHead, stopped, slowHead}, false, 1},
		{"the one that stopped first", []Claim{stopped, {State: Receiving, Held: 1 << 20, Since: ago(9)}}, false, 1},
		{"a newest client is not preferred", []Claim{stopped, {State: Receiving, Held: 1 << 20, Since: ago(1)}}, true, 0},
	} {
		if got := Victim(now, row.claims, Memory, row.force); got != row.want {
			t.Errorf("%s: client %d is closed, want %d", row.name, got, row.want)
		}
	}
	if got := Senior([]Claim{steady, fresh, waiting, {State: Receiving, Since: ago(2), Waiting: true}}); got != 2 {
		t.Errorf("client %d is the senior, want the one that waits and began first", got)
	}
	if got := Victim(now, []Claim{stopped, idle, longIdle, unread}, Descriptors, false); got != 2 {
		t.Errorf("descriptors: client %d is closed, want the connection that is idle for longest", got)
	}
}
