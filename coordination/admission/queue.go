package admission

import (
	"container/heap"
	"container/list"
	"time"
)

// lane separates short from long work, so that long work does not block short work.
type lane int

const (
	shortLane lane = iota
	longLane
	lanes
)

// ranks is the number of priorities.
const ranks = 3

// waiter is a queued request.
type waiter struct {
	ticket        *Ticket
	since         time.Time
	estimatedWait time.Duration // estimate when the request was queued
	classElement  *list.Element
	queueElement  *list.Element
	queue         *callerQueue
}

// callerQueue holds the waiting requests of one caller in one class, oldest first.
type callerQueue struct {
	caller   string
	weight   float64
	orderKey float64
	index    int
	units    float64
	items    list.List
}

// class is the queue of one lane and priority. Requests start in the order of their callers' usage per weight.
type class struct {
	callers   map[string]*callerQueue
	byUsage   callerHeap
	byArrival list.List
	units     float64
	// estimatedSec and actualSec are exponentially decayed sums of waits. Their ratio corrects estimates of the wait, and
	// with them the retry times of refusals. A ratio of sums is not dominated by short waits, which are noisy.
	estimatedSec float64
	actualSec    float64
}

func (c *class) push(w *waiter, orderKeyOf func(string, float64) float64) {
	t := w.ticket
	q := c.callers[t.Request.Caller]
	if q == nil {
		q = &callerQueue{caller: t.Request.Caller, weight: t.Request.weight()}
		q.orderKey = orderKeyOf(q.caller, q.weight)
		if c.callers == nil {
			c.callers = make(map[string]*callerQueue)
		}
		c.callers[q.caller] = q
		heap.Push(&c.byUsage, q)
	}
	w.queue = q
	w.queueElement = q.items.PushBack(w)
	w.classElement = c.byArrival.PushBack(w)
	q.units += t.Estimate.Units
	c.units += t.Estimate.Units
}

// first returns the next waiter. Except for small corrections, the order key of a waiting caller only grows, so it is
// enough to refresh the key of the caller at the top of the heap until that caller stays there.
func (c *class) first(orderKeyOf func(string, float64) float64) *waiter {
	for range c.byUsage {
		top := c.byUsage[0]
		current := orderKeyOf(top.caller, top.weight)
		if current <= top.orderKey {
			break
		}
		top.orderKey = current
		heap.Fix(&c.byUsage, 0)
		if c.byUsage[0] == top {
			break
		}
	}
	return c.byUsage[0].items.Front().Value.(*waiter)
}

func (c *class) remove(w *waiter) {
	q := w.queue
	q.items.Remove(w.queueElement)
	c.byArrival.Remove(w.classElement)
	q.units -= w.ticket.Estimate.Units
	c.units -= w.ticket.Estimate.Units
	if q.items.Len() == 0 {
		heap.Remove(&c.byUsage, q.index)
		delete(c.callers, q.caller)
	}
	if c.byArrival.Len() == 0 {
		c.units = 0 // removes accumulated rounding errors
	}
}

func (c *class) oldestWait(now time.Time) time.Duration {
	if front := c.byArrival.Front(); front != nil {
		return now.Sub(front.Value.(*waiter).since)
	}
	return 0
}

const (
	// waitDecay makes the sums cover about the last 20 waits.
	waitDecay     = 0.95
	minCorrection = 0.5
	maxCorrection = 3
	// priorWaitSec is added to both sums, so that the correction stays close to 1 until enough waits have been observed.
	priorWaitSec = 10
)

func (c *class) learnWait(estimated, actual time.Duration) {
	c.estimatedSec = c.estimatedSec*waitDecay + estimated.Seconds()
	c.actualSec = c.actualSec*waitDecay + actual.Seconds()
}

func (c *class) correction() float64 {
	return min(max((c.actualSec+priorWaitSec)/(c.estimatedSec+priorWaitSec), minCorrection), maxCorrection)
}

// callerHeap orders the callers of a class; it implements heap.Interface.
type callerHeap []*callerQueue

func (h callerHeap) Len() int { return len(h) }
func (h callerHeap) Less(i, j int) bool {
	if h[i].orderKey != h[j].orderKey {
		return h[i].orderKey < h[j].orderKey
	}
	return h[i].caller < h[j].caller
}
func (h callerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *callerHeap) Push(x any) {
	q := x.(*callerQueue)
	q.index = len(*h)
	*h = append(*h, q)
}

// Pop implements heap.Interface.
func (h *callerHeap) Pop() any {
	last := len(*h) - 1
	q := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return q
}
