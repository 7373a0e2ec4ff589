package measure

import (
	"container/heap"
	"time"
)

// origin is the start of virtual time.
var origin = time.Unix(1_800_000_000, 0)

// clock is the scheduler of a discrete-event simulation. It runs events in the order of virtual time; events of the same
// time run in the order in which they were scheduled.
type clock struct {
	now       time.Duration
	events    eventHeap
	scheduled uint64
}

type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

func (c *clock) time() time.Time { return origin.Add(c.now) }

func (c *clock) after(d time.Duration, run func()) { c.at(c.now+max(d, 0), run) }

func (c *clock) at(at time.Duration, run func()) {
	c.scheduled++
	heap.Push(&c.events, event{at: at, sequence: c.scheduled, run: run})
}

// schedulePeriodically schedules run at first and then periodically without an end.
func (c *clock) schedulePeriodically(first, interval time.Duration, run func()) {
	c.at(first, func() {
		run()
		c.schedulePeriodically(c.now+interval, interval, run)
	})
}

func (c *clock) runUntil(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= end {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
	c.now = end
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = event{}
	*h = (*h)[:last]
	return e
}
