// Package measure compares the policies of the coordination packages with baselines in a discrete-event simulation, with
// models of engine replicas, the weight store and callers.
package measure

import (
	"fmt"
	"time"

	"github.com/tarragonhoist/tarragonhoist/protocol/tomlfile"
)

// Settings are the parameters of the simulation. settings.toml gives the reason for each value.
type Settings struct {
	Run struct {
		Seconds       int `toml:"seconds"`
		WarmupSeconds int `toml:"warmup_seconds"`
	} `toml:"run"`
	Engine struct {
		MsPerToken            float64 `toml:"ms_per_token"`
		BatchSlowdown         float64 `toml:"batch_slowdown"`
		LongSlowdown          float64 `toml:"long_slowdown"`
		PromptTokensPerSecond float64 `toml:"prompt_tokens_per_second"`
		Slots                 int     `toml:"slots"`
		CachedPrefixes        int     `toml:"cached_prefixes"`
		ResidentAdapters      int     `toml:"resident_adapters"`
		ReportIntervalMs      int     `toml:"report_interval_ms"`
		ReportLagMs           int     `toml:"report_lag_ms"`
		CacheEventLagMs       int     `toml:"cache_event_lag_ms"`
		CacheEventLoss        float64 `toml:"cache_event_loss"`
		StepTokens            int     `toml:"step_tokens"`
	} `toml:"engine"`
	Work struct {
		Utilisation      float64 `toml:"utilisation"`
		Callers          int     `toml:"callers"`
		PopularitySkew   float64 `toml:"popularity_skew"`
		AdapterShare     float64 `toml:"adapter_share"`
		PromptTokens     float64 `toml:"prompt_tokens"`
		PrefixShare      float64 `toml:"prefix_share"`
		OutputTokens     float64 `toml:"output_tokens"`
		OutputSigma      float64 `toml:"output_sigma"`
		ShortDeadlineMs  int     `toml:"short_deadline_ms"`
		LongOutputTokens float64 `toml:"long_output_tokens"`
		LongPromptTokens float64 `toml:"long_prompt_tokens"`
		LongUtilisation  float64 `toml:"long_utilisation"`
		LongDeadlineMs   int     `toml:"long_deadline_ms"`
	} `toml:"work"`
	Swing struct {
		PeriodSeconds   int     `toml:"period_seconds"`
		RampSeconds     int     `toml:"ramp_seconds"`
		PeakSeconds     int     `toml:"peak_seconds"`
		PeakUtilisation float64 `toml:"peak_utilisation"`
		ShiftModels     int     `toml:"shift_models"`
	} `toml:"swing"`
	Burst struct {
		Factor float64 `toml:"factor"`
	} `toml:"burst"`
	Straggle struct {
		Share        float64 `toml:"share"`
		Factor       float64 `toml:"factor"`
		EverySeconds int     `toml:"every_seconds"`
		LastsSeconds int     `toml:"lasts_seconds"`
	} `toml:"straggle"`
	Loss struct {
		AtSeconds        int `toml:"at_seconds"`
		BackSeconds      int `toml:"back_seconds"`
		ConnectTimeoutMs int `toml:"connect_timeout_ms"`
		StreamBreakMs    int `toml:"stream_break_ms"`
		LeaseMs          int `toml:"lease_ms"`
	} `toml:"loss"`
	Placement struct {
		IntervalSeconds int     `toml:"interval_seconds"`
		LoadSeconds     float64 `toml:"load_seconds"`
	} `toml:"placement"`
	Deployments []Deployment `toml:"deployment"`
}

// Deployment is one of the deployments of docs/design.md.
type Deployment struct {
	Name               string   `toml:"name"`
	DataCentres        []string `toml:"data_centres"`
	Replicas           int      `toml:"replicas"`
	Models             int      `toml:"models"`
	Adapters           int      `toml:"adapters"`
	Instances          int      `toml:"instances"`
	LinkMs             float64  `toml:"link_ms"`
	CallerMs           float64  `toml:"caller_ms"`
	LoadsPerSecond     float64  `toml:"loads_per_second"`
	LoadsConcurrent    int      `toml:"loads_concurrent"`
	AdapterLoadMs      float64  `toml:"adapter_load_ms"`
	AdapterLoadsAtOnce int      `toml:"adapter_loads_at_once"`
	ModelsPerReplica   int      `toml:"models_per_replica"`
	WeightPeak         float64  `toml:"weight_peak"`
	WeightBlocking     float64  `toml:"weight_blocking"`
	WeightAttainment   float64  `toml:"weight_attainment"`
	WeightTail         float64  `toml:"weight_tail"`
}

// ReadSettings decodes and checks a settings file.
func ReadSettings(file string, data []byte) (*Settings, tomlfile.Findings) {
	s := &Settings{}
	f := tomlfile.Decode(file, data, s)
	positive := func(key string, value float64) {
		if value <= 0 {
			f.Report(key, "must be larger than 0")
		}
	}
	positive("run.seconds", float64(s.Run.Seconds-s.Run.WarmupSeconds))
	positive("engine.ms_per_token", s.Engine.MsPerToken)
	positive("engine.prompt_tokens_per_second", s.Engine.PromptTokensPerSecond)
	positive("engine.slots", float64(s.Engine.Slots))
	positive("engine.cached_prefixes", float64(s.Engine.CachedPrefixes))
	positive("engine.resident_adapters", float64(s.Engine.ResidentAdapters))
	positive("engine.report_interval_ms", float64(s.Engine.ReportIntervalMs))
	positive("engine.report_lag_ms", float64(s.Engine.ReportLagMs))
	positive("engine.step_tokens", float64(s.Engine.StepTokens))
	positive("work.utilisation", s.Work.Utilisation)
	positive("work.callers", float64(s.Work.Callers-1))
	positive("work.output_tokens", s.Work.OutputTokens)
	positive("work.long_output_tokens", s.Work.LongOutputTokens)
	positive("swing.period_seconds", float64(s.Swing.PeriodSeconds))
	positive("swing.ramp_seconds", float64(s.Swing.RampSeconds))
	positive("straggle.every_seconds", float64(s.Straggle.EverySeconds))
	positive("placement.interval_seconds", float64(s.Placement.IntervalSeconds))
	if len(s.Deployments) == 0 {
		f.Report("deployment", "at least one deployment is needed")
	}
	for i := range s.Deployments {
		d, key := &s.Deployments[i], fmt.Sprintf("deployment[%d]", i)
		positive(key+".replicas", float64(d.Replicas-len(d.DataCentres)+1))
		positive(key+".data_centres", float64(len(d.DataCentres)-1))
		positive(key+".models", float64(d.Models))
		positive(key+".instances", float64(d.Instances))
		positive(key+".loads_per_second", d.LoadsPerSecond)
		positive(key+".loads_concurrent", float64(d.LoadsConcurrent))
		positive(key+".adapter_loads_at_once", float64(d.AdapterLoadsAtOnce))
		if d.Models > 0 && d.Replicas*d.ModelsPerReplica < 2*d.Models {
			f.Report(key+".models_per_replica", "the memory of all replicas is too small for two replicas of each model")
		}
	}
	return s, f.Findings()
}

func milliseconds[T int | float64](ms T) time.Duration {
	return time.Duration(float64(ms) * float64(time.Millisecond))
}

func seconds[T int | float64](s T) time.Duration {
	return time.Duration(float64(s) * float64(time.Second))
}
