// Package caller is a small client of the HTTP interface for callers. The demo and the process tests use it.
package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/protocol/api"
)

// Client sends requests as one caller.
type Client struct {
	Name string
	// Token is sent instead of the name when it is not empty.
	Token string
	HTTP  *http.Client
}

// New makes a client of a deployment without tokens.
func New(name string) *Client { return &Client{Name: name, HTTP: &http.Client{}} }

// Chat describes a model call.
type Chat struct {
	Model     string
	Context   []string // messages before the prompt
	Prompt    string
	MaxTokens int
	RequestID string
	// Deadline is sent to the instance; 0 means none.
	Deadline time.Duration
	Priority string
	// OnToken is called after each token of a stream.
	OnToken func(offset int)
}

// Answer is the response to one request.
type Answer struct {
	Status   int
	Outcome  api.Outcome
	Reason   api.Reason
	Repeat   api.RetryAdvice
	Instance string
	Replayed bool
	Text     string
	// Offsets are the offsets of a stream in the order of arrival.
	Offsets []int
	// EndMarker is set once a stream delivered its end marker, or a response without streaming was read completely.
	EndMarker bool
	Error     api.ErrorDetail
}

// Stream sends a streaming model call to an instance.
func (c *Client) Stream(ctx context.Context, url string, chat Chat) (*Answer, error) {
	return c.chat(ctx, url, chat, true, func(body io.Reader, answer *Answer) error {
		return readStream(body, answer, chat.OnToken)
	})
}

// Complete sends a model call without streaming; the response is one JSON document.
func (c *Client) Complete(ctx context.Context, url string, chat Chat) (*Answer, error) {
	return c.chat(ctx, url, chat, false, func(body io.Reader, answer *Answer) error {
		var completion api.ChatCompletion
		if err := json.NewDecoder(body).Decode(&completion); err != nil {
			return errors.Wrap(err, "decode chat completion")
		}
		answer.Text, answer.EndMarker = completion.Choices[0].Message.Content, true
		return nil
	})
}

// chat sends a model call and reads the response, which is an error body unless the status is 200.
func (c *Client) chat(ctx context.Context, url string, chat Chat, stream bool, read func(io.Reader, *Answer) error) (*Answer, error) {
	resp, err := c.send(ctx, url, chat, stream)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	answer := newAnswer(resp)
	if resp.StatusCode != http.StatusOK {
		return answer, readError(resp.Body, answer)
	}
	return answer, read(resp.Body, answer)
}

func (c *Client) send(ctx context.Context, url string, chat Chat, stream bool) (*http.Response, error) {
	var messages []api.ChatMessage
	for _, content := range append(slices.Clone(chat.Context), chat.Prompt) {
		messages = append(messages, api.ChatMessage{Role: "user", Content: content})
	}
	body, err := json.Marshal(api.ChatRequest{Model: chat.Model, Stream: stream, MaxTokens: chat.MaxTokens, Messages: messages})
	if err != nil {
		return nil, errors.Wrap(err, "encode chat request")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "create chat request")
	}
	req.Header.Set("Content-Type", "application/json")
	c.identify(req)
	setOptional(req.Header, api.HeaderRequestID, chat.RequestID)
	setOptional(req.Header, api.HeaderPriority, chat.Priority)
	if chat.Deadline > 0 {
		req.Header.Set(api.HeaderDeadlineMs, strconv.FormatInt(chat.Deadline.Milliseconds(), 10))
	}
	resp, err := c.HTTP.Do(req)
	return resp, errors.Wrap(err, "send chat request")
}

func (c *Client) identify(req *http.Request) {
	if c.Token != "" {
		req.Header.Set("Authorization", "Bearer "+c.Token)
		return
	}
	req.Header.Set(api.HeaderCaller, c.Name)
}

func setOptional(h http.Header, name, value string) {
	if value != "" {
		h.Set(name, value)
	}
}

// CallService sends a non-idempotent call to a plain service.
func (c *Client) CallService(ctx context.Context, url, service, pathAndQuery, key, body string) (*Answer, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/services/"+service+pathAndQuery, strings.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "create service request")
	}
	c.identify(req)
	setOptional(req.Header, api.HeaderIdempotencyKey, key)
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "send service request")
	}
	defer func() { _ = resp.Body.Close() }()
	answer := newAnswer(resp)
	if answer.Outcome != api.Answered {
		return answer, readError(resp.Body, answer)
	}
	text, err := io.ReadAll(resp.Body)
	answer.Text = string(text)
	return answer, errors.Wrap(err, "read service response")
}

func newAnswer(resp *http.Response) *Answer {
	h := resp.Header
	return &Answer{
		Status: resp.StatusCode, Outcome: api.Outcome(h.Get(api.HeaderOutcome)), Reason: api.Reason(h.Get(api.HeaderReason)),
		Repeat: api.RetryAdvice(h.Get(api.HeaderRepeat)), Instance: h.Get(api.HeaderInstance), Replayed: h.Get(api.HeaderReplayed) != "",
	}
}

func readError(r io.Reader, answer *Answer) error {
	var body api.ErrorBody
	if err := json.NewDecoder(r).Decode(&body); err != nil {
		return errors.Wrap(err, "decode error body")
	}
	answer.Error = body.Error
	return nil
}

// readStream collects the tokens of a stream. An error event is recorded in the answer; a stream that ends without an
// end marker or an error event makes readStream return an error.
func readStream(r io.Reader, answer *Answer, onToken func(int)) error {
	scanner := bufio.NewScanner(r)
	offset, errorEvent := -1, false
	for scanner.Scan() {
		line := scanner.Text()
		switch {
		case line == "event: error":
			errorEvent = true
		case strings.HasPrefix(line, "id: "):
			var err error
			if offset, err = strconv.Atoi(strings.TrimPrefix(line, "id: ")); err != nil {
				return errors.Wrap(err, "parse stream event id")
			}
		case line == "data: [DONE]":
			answer.EndMarker = true
			return nil
		case strings.HasPrefix(line, "data: "):
			data := strings.NewReader(strings.TrimPrefix(line, "data: "))
			if errorEvent {
				answer.Outcome = api.Failed
				return readError(data, answer)
			}
			if err := addToken(data, answer, offset); err != nil {
				return err
			}
			if onToken != nil {
				onToken(offset)
			}
		}
	}
	if err := scanner.Err(); err != nil {
		return errors.Wrap(err, "read stream")
	}
	return errors.Errorf("stream ended after %d tokens without an end marker or an error event", len(answer.Offsets))
}

func addToken(r io.Reader, answer *Answer, offset int) error {
	var chunk api.ChatChunk
	if err := json.NewDecoder(r).Decode(&chunk); err != nil {
		return errors.Wrap(err, "decode stream chunk")
	}
	answer.Offsets = append(answer.Offsets, offset)
	for _, choice := range chunk.Choices {
		answer.Text += choice.Delta.Content
	}
	return nil
}
