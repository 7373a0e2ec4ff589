package gateway

import (
	"time"

	"github.com/tarragonhoist/tarragonhoist/coordination/roster"
)

// targetSpeed returns the speed of a target relative to the nominal one.
func (g *Gateway) targetSpeed(string) float64 { return 1 }

// observeServiceTime adds the time for which a request held a slot of a target, as if the target had the nominal speed: expectedWait
// divides by the speeds of the targets.
func (g *Gateway) observeServiceTime(q *request, target *roster.Entry, took time.Duration) {
	g.serviceTimes.Observe(target.Service, q.prompt.Model, time.Duration(float64(took)*g.targetSpeed(target.ID)))
}
