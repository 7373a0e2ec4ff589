package placement

import "time"

const (
	// forecastHorizon is about the duration of a few loads; loads can't follow demand that rises faster than this.
	forecastHorizon   = 10 * time.Second
	levelTimeConstant = 3 * time.Second
	trendTimeConstant = 6 * time.Second
	// fallShare and fallAfter are the hysteresis: the demand is lowered only after the forecast has stayed below this
	// share of it for this long.
	fallShare = 0.7
	fallAfter = 30 * time.Second
)

// Forecaster forecasts the demand of each model from its measured rates by double exponential smoothing (level and
// trend).
type Forecaster struct {
	models map[string]*series
}

// series is the state of the forecast for one model.
type series struct {
	at           time.Time
	level, trend float64
	// damped is the forecast after hysteresis.
	damped float64
	// lowSince is when the forecast fell below fallShare of held, zero if it is not below; lowPeak is its highest value
	// since then.
	lowSince time.Time
	lowPeak  float64
}

// NewForecaster returns a forecaster without observations.
func NewForecaster() *Forecaster { return &Forecaster{models: make(map[string]*series)} }

// Observe records the measured demand of a model, in work units per second, for the time since the last call.
func (f *Forecaster) Observe(now time.Time, model string, rate float64) {
	s := f.models[model]
	if s == nil {
		f.models[model] = &series{at: now, level: rate, damped: rate}
		return
	}
	dt := now.Sub(s.at)
	if dt <= 0 {
		return
	}
	s.at = now
	before := s.level
	s.level += smoothingFactor(dt, levelTimeConstant) * (rate - s.level)
	s.trend += smoothingFactor(dt, trendTimeConstant) * ((s.level-before)/dt.Seconds() - s.trend)
	s.applyHysteresis(now, max(0, s.level+s.trend*forecastHorizon.Seconds()))
}

// smoothingFactor is the smoothing factor for a sample that covers dt.
func smoothingFactor(dt, constant time.Duration) float64 {
	return dt.Seconds() / (dt.Seconds() + constant.Seconds())
}

// applyHysteresis applies the hysteresis to a new forecast.
func (s *series) applyHysteresis(now time.Time, forecast float64) {
	switch {
	case forecast >= s.damped:
		s.damped, s.lowSince = forecast, time.Time{}
	case forecast >= fallShare*s.damped:
		s.lowSince = time.Time{}
	case s.lowSince.IsZero():
		s.lowSince, s.lowPeak = now, forecast
	default:
		s.lowPeak = max(s.lowPeak, forecast)
		if now.Sub(s.lowSince) >= fallAfter {
			s.damped, s.lowSince = s.lowPeak, time.Time{}
		}
	}
}

// Demand returns the forecast of a model after hysteresis, in work units per second.
func (f *Forecaster) Demand(model string) float64 {
	if s := f.models[model]; s != nil {
		return s.damped
	}
	return 0
}

// Forget drops the state of a model that is no longer in effect.
func (f *Forecaster) Forget(model string) { delete(f.models, model) }
