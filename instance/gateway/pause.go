package gateway

import (
	"net/http"
	"strconv"
	"time"

	"github.com/tarragonhoist/tarragonhoist/coordination/roster"
)

// maxPause bounds the time for which a target may ask to be left alone.
const maxPause = 10 * time.Minute

// observeRetryAfter leaves a target alone that turned a request away and named a time for it.
func (g *Gateway) observeRetryAfter(target *roster.Entry, response *http.Response) {
	if response.StatusCode != http.StatusServiceUnavailable {
		return
	}
	seconds, err := strconv.ParseFloat(response.Header.Get(g.opts.Headers.RetryAfter), 64)
	if err != nil || !(seconds > 0) { // also not a number
		return
	}
	pause := min(time.Duration(min(seconds, maxPause.Seconds())*float64(time.Second)), maxPause)
	g.loadTracker.LeaveAlone(target.ID, time.Now().Add(pause))
}

// nextReturn returns when the first of the targets takes a request again that asked to be left alone.
func (g *Gateway) nextReturn(now time.Time, q *request) (at time.Time, ok bool) {
	return g.loadTracker.NextReturn(now, g.view.TargetIndex().Holding(q.service.Name, q.prompt.Model), q.mayRunAt)
}
