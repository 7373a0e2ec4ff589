package dispatch

import "time"

const (
	// paceWeight is the weight of a new sample in the moving average. With one event per stream every 30 ms, a slowdown
	// is detected within two or three events of one stream.
	paceWeight = 0.4
	// paceFresh is the age from which an observation is stale. A slowdown usually lasts about 600 ms.
	paceFresh = 400 * time.Millisecond
	// usualDown and usualUp are the weights with which the baseline follows shorter and longer gaps. The baseline falls
	// faster than it rises, so it stays near the gap of an undisturbed target.
	usualDown = 0.1
	usualUp   = 0.003
	// maxSlowness caps the ratio of a single gap to the baseline.
	maxSlowness = 8.0
	// maxModels is the maximum number of models with a baseline per target.
	maxModels = 64
)

// pace compares the gaps between stream events of one target with the baseline of the same model.
type pace struct {
	usual   map[string]float64 // by model, in ms
	current float64
	at      time.Time
}

func newPace() pace { return pace{usual: make(map[string]float64)} }

// event records the gap before a stream event.
func (p *pace) event(now time.Time, model string, pause time.Duration) {
	ms := max(float64(pause)/float64(time.Millisecond), 1)
	usual, ok := p.usual[model]
	switch {
	case !ok && len(p.usual) >= maxModels:
		clear(p.usual)
		usual = ms
	case !ok:
		usual = ms
	case ms < usual:
		usual += usualDown * (ms - usual)
	default:
		usual += usualUp * (ms - usual)
	}
	p.usual[model] = usual
	ratio := min(ms/usual, maxSlowness)
	if p.current == 0 || now.Sub(p.at) > paceFresh {
		p.current = 1
	}
	p.current += paceWeight * (ratio - p.current)
	p.at = now
}

// slowness returns the moving average of gap over baseline, 0 without recent observations.
func (p *pace) slowness(now time.Time) float64 {
	if p.at.IsZero() || now.Sub(p.at) > paceFresh {
		return 0
	}
	return p.current
}
