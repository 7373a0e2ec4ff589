package dispatch

import "time"

const (
	// paceWeight is the weight of a new pause. With an event of each stream every 30 ms, a target that turns slow is
	// noticed within two or three events of one stream.
	paceWeight = 0.4
	// paceFresh is the age after which an observation says nothing any more. Targets are slow for some 600 ms.
	paceFresh = 400 * time.Millisecond
	// usualDown and usualUp are the weights with which the usual pause follows shorter and longer ones, so that it stays
	// near the pause of an undisturbed target.
	usualDown = 0.1
	usualUp   = 0.003
	// maxSlowness bounds one observation.
	maxSlowness = 8.0
	// maxModels bounds the models whose usual pause is kept for a target.
	maxModels = 64
)

// pace compares the pauses between events of the streams of one target with the usual ones of the same model.
type pace struct {
	usual   map[string]float64 // by model, in ms
	current float64
	at      time.Time
}

func newPace() pace { return pace{usual: make(map[string]float64)} }

// event takes the pause before an event.
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

// slowness is the pause against the usual one, 0 when nothing was observed lately.
func (p *pace) slowness(now time.Time) float64 {
	if p.at.IsZero() || now.Sub(p.at) > paceFresh {
		return 0
	}
	return p.current
}
