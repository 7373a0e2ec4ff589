package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// firstPart is a part that all prompts share.
const firstPart = "5c1e07a2:172"

var lastAttempt atomic.Int64

// client keeps its connections open for many requests.
type client struct {
	d    *deployment
	http *http.Client
}

func newClient(d *deployment) *client {
	return &client{d: d, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 12 * time.Second}}}
}

// attempt is what a client sends.
type attempt struct {
	gateway            *machine
	method, path, body string
	model              string
	budget             time.Duration
	// parts are the parts of the prompt but the last; left out, there is one that all prompts share.
	parts string
	// lastEvent and resumes are set if the client takes a stream up again.
	lastEvent, resumes string
}

// result is what a client gets.
type result struct {
	id             string
	sentAt, doneAt time.Time
	status         int
	header         http.Header
	body           string
	err            error // the connection ended without a complete answer
}

// do sends one request and reads the whole answer.
func (c *client) do(ctx context.Context, a attempt) result {
	n := lastAttempt.Add(1)
	out := result{id: fmt.Sprintf("%016x", n)}
	r, err := http.NewRequestWithContext(ctx, a.method, fmt.Sprintf("http://%s:%d%s", a.gateway.ip, c.d.frontPort, a.path), strings.NewReader(a.body))
	if err != nil {
		out.err = err
		return out
	}
	r.Host = "ficu95.example"
	r.Header.Set("X-Attempt-Id", out.id)
	r.Header.Set("X-Time-Budget", fmt.Sprint(a.budget.Milliseconds()))
	r.GetBody = nil // net/http must not send a request again
	if a.model != "" {
		r.Header.Set("X-Model", a.model)
		r.Header.Set("X-Token-Count", "700,40")
		r.Header.Set("X-Prompt-Prefix", fmt.Sprintf("%s,%x:528", cmp.Or(a.parts, firstPart), 0xabc0000+n))
	}
	if a.resumes != "" {
		r.Header.Set("Last-Event-Id", a.lastEvent)
		r.Header.Set("Resumes", a.resumes)
	}
	out.sentAt = time.Now()
	sender := c.http
	if a.resumes != "" { // clients retry on new connections
		sender = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	}
	response, err := sender.Do(r)
	if err == nil {
		out.status, out.header = response.StatusCode, response.Header
		var body []byte
		body, err = io.ReadAll(response.Body)
		out.body = string(body)
		_ = response.Body.Close()
	}
	out.doneAt, out.err = time.Now(), err
	what := fmt.Sprint(out.status)
	if err != nil {
		what = "no complete answer: " + err.Error()
	}
	c.d.record.note("client: request %s %s model %q to %s, sent %.3f s before: %s", out.id, a.path, a.model, a.gateway.name,
		out.doneAt.Sub(out.sentAt).Seconds(), what)
	return out
}
