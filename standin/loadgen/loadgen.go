// Package loadgen is a load generator: it sends requests to instances and measures outcomes and latencies as callers
// see them. It serves measurements and the demo; the serving system does not use it.
package loadgen

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/protocol/api"
	"github.com/tarragonhoist/tarragonhoist/standin/caller"
	"github.com/tarragonhoist/tarragonhoist/standin/target"
)

// Defaults and bounds of a run.
const (
	DefaultMaxInFlight    = 256
	DefaultRequestTimeout = time.Minute
	// MaxRequests bounds every run in count, MaxDuration in time.
	MaxRequests = 10_000_000
	MaxDuration = 24 * time.Hour
	// maxRate is the highest rate that one process can keep to.
	maxRate = 100_000
)

// Config describes a run.
type Config struct {
	// URLs are base URLs of instances, used round robin.
	URLs []string
	// Callers and Models are picked uniformly at random. Service is the plain service of service calls.
	Callers []string
	Models  []string
	Service string
	// Path is the path and query of a service call.
	Path string
	// ServiceShare is the fraction of requests that are service calls, each with a new idempotency key.
	ServiceShare float64
	// StreamShare is the fraction of model calls that stream.
	StreamShare float64
	// Rate is the number of requests per second. The load is open-loop: requests are sent at even intervals, whether or
	// not earlier ones were answered.
	Rate        float64
	Duration    time.Duration
	MaxRequests int
	// MaxInFlight bounds requests in progress. Requests beyond it are dropped and counted as NotSent.
	MaxInFlight    int
	RequestTimeout time.Duration
	Deadline       time.Duration
	Priority       string
	MaxTokens      int
	PromptBytes    int
	// CheckTokens compares the text of answered model calls with the tokens that the stand-in target generates.
	CheckTokens bool
	// Token is the bearer token of every request; none is sent when it is empty.
	Token string
	// Seed makes the choice of callers, models and kinds of request reproducible.
	Seed uint64
}

func (c *Config) check() error {
	if c.MaxRequests == 0 {
		c.MaxRequests = MaxRequests
	}
	if c.MaxInFlight == 0 {
		c.MaxInFlight = DefaultMaxInFlight
	}
	if c.RequestTimeout == 0 {
		c.RequestTimeout = DefaultRequestTimeout
	}
	for _, text := range c.URLs {
		if u, err := url.Parse(text); err != nil || u.Scheme == "" || u.Host == "" {
			return errors.Errorf("%q is not a base URL such as http://127.0.0.1:8080", text)
		}
	}
	switch {
	case len(c.URLs) == 0:
		return errors.New("at least one instance URL is required")
	case len(c.Callers) == 0:
		return errors.New("at least one caller is required")
	case !(c.Rate > 0 && c.Rate <= maxRate):
		return errors.Errorf("rate is %g requests per second; it must be larger than 0 and at most %d", c.Rate, maxRate)
	case c.Duration <= 0 || c.Duration > MaxDuration:
		return errors.Errorf("duration is %s; it must be larger than 0 and at most %s", c.Duration, MaxDuration)
	case c.MaxRequests < 0 || c.MaxRequests > MaxRequests:
		return errors.Errorf("number of requests is %d; it must be from 0 to %d", c.MaxRequests, MaxRequests)
	case c.MaxInFlight < 0 || c.RequestTimeout < 0 || c.Deadline < 0 || c.MaxTokens < 0 || c.PromptBytes < 0:
		return errors.New("max in flight, request timeout, deadline, max tokens and prompt bytes must not be negative")
	case !(c.StreamShare >= 0 && c.StreamShare <= 1 && c.ServiceShare >= 0 && c.ServiceShare <= 1):
		return errors.New("stream share and service share must be from 0 to 1")
	case c.ServiceShare > 0 && c.Service == "":
		return errors.New("a service share larger than 0 requires the name of the service")
	case c.ServiceShare < 1 && len(c.Models) == 0:
		return errors.New("a service share below 1 requires at least one model")
	}
	return nil
}

// request is one planned request.
type request struct {
	url, caller, model string
	stream, service    bool
	due                time.Time
	// expectedText is the expected answer, empty when it is not checked.
	expectedText string
}

// Run sends requests until Duration or MaxRequests is reached or ctx ends. It then waits for the requests in progress,
// each at most for RequestTimeout, and returns the report.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	r := &runner{cfg: cfg, report: newReport(), prompt: strings.Repeat("x", max(1, cfg.PromptBytes))}
	r.http = &http.Client{Transport: &bearerTransport{token: cfg.Token, next: &http.Transport{
		MaxIdleConns: cfg.MaxInFlight, MaxIdleConnsPerHost: cfg.MaxInFlight, IdleConnTimeout: time.Minute,
	}}}
	defer r.http.CloseIdleConnections()
	started := time.Now()
	r.sendOnSchedule(ctx, started)
	r.running.Wait()
	r.report.ElapsedMs = time.Since(started).Milliseconds()
	return r.report, nil
}

type runner struct {
	cfg     Config
	http    *http.Client
	prompt  string
	report  *Report
	running sync.WaitGroup
}

// sendOnSchedule starts requests at the times that Rate gives.
func (r *runner) sendOnSchedule(ctx context.Context, started time.Time) {
	random := rand.New(rand.NewPCG(r.cfg.Seed, 0))
	slots := make(chan struct{}, r.cfg.MaxInFlight)
	for i := 0; i < r.cfg.MaxRequests; i++ {
		// Computed from the index, since summing a rounded interval would drift from the rate.
		due := started.Add(time.Duration(float64(i) * float64(time.Second) / r.cfg.Rate))
		if due.Sub(started) >= r.cfg.Duration {
			return
		}
		if wait := time.Until(due); wait > 0 {
			timer := time.NewTimer(wait)
			select {
			case <-timer.C:
			case <-ctx.Done():
				timer.Stop()
				return
			}
		} else if ctx.Err() != nil {
			return
		}
		req := r.newRequest(random, i, due)
		select {
		case slots <- struct{}{}:
		default:
			r.report.recordNotSent()
			continue
		}
		r.running.Go(func() {
			defer func() { <-slots }()
			r.sendRequest(ctx, req)
		})
	}
}

func (r *runner) newRequest(random *rand.Rand, i int, due time.Time) request {
	req := request{
		url: strings.TrimSuffix(r.cfg.URLs[i%len(r.cfg.URLs)], "/"), due: due,
		caller:  r.cfg.Callers[random.IntN(len(r.cfg.Callers))],
		service: random.Float64() < r.cfg.ServiceShare,
		stream:  random.Float64() < r.cfg.StreamShare,
	}
	if !req.service {
		req.model = r.cfg.Models[random.IntN(len(r.cfg.Models))]
	}
	return req
}

// sendRequest sends a request and records its result. Latencies count from the time at which the request was due, which
// avoids coordinated omission: a generator that falls behind does not make answers look faster.
func (r *runner) sendRequest(ctx context.Context, req request) {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.RequestTimeout)
	defer cancel()
	client := &caller.Client{Name: req.caller, HTTP: r.http}
	firstToken := time.Duration(0)
	chat := caller.Chat{
		Model: req.model, Prompt: r.prompt, MaxTokens: r.cfg.MaxTokens, RequestID: uuid.NewString(),
		Deadline: r.cfg.Deadline, Priority: r.cfg.Priority,
		OnToken: func(int) {
			if firstToken == 0 {
				firstToken = time.Since(req.due)
			}
		},
	}
	if r.cfg.CheckTokens && !req.service {
		req.expectedText = expectedText(chat.RequestID, r.cfg.MaxTokens)
	}
	var answer *caller.Answer
	var err error
	switch {
	case req.service:
		answer, err = client.CallService(ctx, req.url, r.cfg.Service, r.cfg.Path, uuid.NewString(), "{}")
	case req.stream:
		answer, err = client.Stream(ctx, req.url, chat)
	default:
		answer, err = client.Complete(ctx, req.url, chat)
	}
	r.report.record(req, answer, err, ctx.Err(), firstToken, time.Since(req.due))
}

// expectedText returns the text that the stand-in target generates for a request.
func expectedText(requestID string, maxTokens int) string {
	if maxTokens == 0 {
		maxTokens = target.DefaultMaxTokens
	}
	var text strings.Builder
	for offset := range maxTokens {
		text.WriteString(target.Token(requestID, offset))
	}
	return text.String()
}

// bearerTransport adds the bearer token to every request.
type bearerTransport struct {
	token string
	next  *http.Transport
}

// RoundTrip implements http.RoundTripper.
func (b *bearerTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	if b.token != "" {
		req = req.Clone(req.Context())
		req.Header.Set("Authorization", "Bearer "+b.token)
	}
	return b.next.RoundTrip(req)
}

// CloseIdleConnections is called by http.Client.CloseIdleConnections.
func (b *bearerTransport) CloseIdleConnections() { b.next.CloseIdleConnections() }

// offsetsConsecutive reports whether the offsets of a stream count up from 0 without a gap or repeat.
func offsetsConsecutive(offsets []int) bool {
	for i, offset := range offsets {
		if offset != i {
			return false
		}
	}
	return true
}

// Outcomes that the generator adds to those of package api.
const (
	// NoAnswer means that the request got no response, or an incomplete one.
	NoAnswer api.Outcome = "no_answer"
	// WrongAnswer means that the response has no outcome header, has gaps or repeats, or is not the one expected for its
	// request.
	WrongAnswer api.Outcome = "wrong_answer"
	// NotSent means that MaxInFlight requests were in progress when the request was due.
	NotSent api.Outcome = "not_sent"
)
