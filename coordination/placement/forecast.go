package placement

import "time"

// Constants of the forecast.
const (
	// forecastHorizon is about the time of a few loads: demand that rises faster cannot be met by loading.
	forecastHorizon = 10 * time.Second
	levelTime       = 3 * time.Second
	trendTime       = 6 * time.Second
	// fallShare and fallAfter are the hysteresis: a forecast is lowered only when it has stayed below this share for
	// this long.
	fallShare = 0.7
	fallAfter = 30 * time.Second
)

// Forecaster forecasts the demand of each model from its measured rates, by level and trend.
type Forecaster struct {
	models map[string]*series
}

type series struct {
	at           time.Time
	level, trend float64
	held         float64
	lowSince     time.Time
	lowPeak      float64
}

// NewForecaster makes a forecaster without history.
func NewForecaster() *Forecaster { return &Forecaster{models: make(map[string]*series)} }

// Observe takes a model's demand in work units per second as measured up to now.
func (f *Forecaster) Observe(now time.Time, model string, rate float64) {
	s := f.models[model]
	if s == nil {
		f.models[model] = &series{at: now, level: rate, held: rate}
		return
	}
	dt := now.Sub(s.at)
	if dt <= 0 {
		return
	}
	s.at = now
	before := s.level
	s.level += weight(dt, levelTime) * (rate - s.level)
	s.trend += weight(dt, trendTime) * ((s.level-before)/dt.Seconds() - s.trend)
	s.hold(now, max(0, s.level+s.trend*forecastHorizon.Seconds()))
}

// weight is the share of a new sample that covers dt against a memory of a time constant.
func weight(dt, constant time.Duration) float64 {
	return dt.Seconds() / (dt.Seconds() + constant.Seconds())
}

func (s *series) hold(now time.Time, forecast float64) {
	switch {
	case forecast >= s.held:
		s.held, s.lowSince = forecast, time.Time{}
	case forecast >= fallShare*s.held:
		s.lowSince = time.Time{}
	case s.lowSince.IsZero():
		s.lowSince, s.lowPeak = now, forecast
	default:
		s.lowPeak = max(s.lowPeak, forecast)
		if now.Sub(s.lowSince) >= fallAfter {
			s.held, s.lowSince = s.lowPeak, time.Time{}
		}
	}
}

// Demand is the forecast with hysteresis.
func (f *Forecaster) Demand(model string) float64 {
	if s := f.models[model]; s != nil {
		return s.held
	}
	return 0
}

// Forget drops a model that is not in effect any more.
func (f *Forecaster) Forget(model string) { delete(f.models, model) }
