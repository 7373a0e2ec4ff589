package gateway

import (
	"time"

	"github.com/tarragonhoist/tarragonhoist/coordination/roster"
)

// observeServiceTime adds the time for which a request held a slot of a target, as if the target had the median speed: expectedWait
// divides by the speeds of the targets.
func (g *Gateway) observeServiceTime(q *request, target *roster.Entry, took time.Duration) {
	g.serviceTimes.Observe(target.Service, q.prompt.Model, time.Duration(float64(took)*g.loadTracker.SpeedOf(target.ID)))
}
