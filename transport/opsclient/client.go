// Package opsclient is the HTTP client with which the operators' command line calls an instance.
package opsclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/protocol/api"
	"github.com/tarragonhoist/tarragonhoist/protocol/tomlfile"
	"github.com/tarragonhoist/tarragonhoist/state/catalog"
	"github.com/tarragonhoist/tarragonhoist/transport/httpapi"
	"github.com/tarragonhoist/tarragonhoist/transport/upstream"
)

const (
	requestTimeout = 20 * time.Second
	maxAnswerBytes = 64 << 20
)

// Client calls one instance, usually through the load balancer of the deployment platform.
type Client struct {
	url   string
	token string
	name  string
	http  *http.Client
}

// New returns a client. If the token is empty, the client sends name as the operator's name instead, which works only in
// a deployment without operator tokens.
func New(url, token, name string) *Client {
	return &Client{url: url, token: token, name: name, http: &http.Client{
		Timeout:   requestTimeout,
		Transport: upstream.CheckingTransport{Transport: http.DefaultTransport.(*http.Transport).Clone()},
	}}
}

// StatusError is an answer with a status other than 200.
type StatusError struct {
	Status int
	Detail api.ErrorDetail
}

// Error includes the status, the reason code and the message of the instance.
func (e *StatusError) Error() string {
	return strconv.Itoa(e.Status) + " " + string(e.Detail.Code) + ": " + e.Detail.Message
}

// Submit sends a release note and returns its verdict. It is safe to retry when the answer was lost.
func (c *Client) Submit(ctx context.Context, file string, note []byte) (catalog.Verdict, error) {
	var v catalog.Verdict
	err := c.do(ctx, http.MethodPost, "/hoist/v1/notes", file, note, &v)
	return v, err
}

// Check asks for the findings of a release note without submitting it.
func (c *Client) Check(ctx context.Context, file string, note []byte) (tomlfile.Findings, error) {
	var a httpapi.CheckAnswer
	err := c.do(ctx, http.MethodPost, "/hoist/v1/notes/check", file, note, &a)
	return a.Findings, err
}

// Verdict returns the verdict of a release note.
func (c *Client) Verdict(ctx context.Context, number uint64) (catalog.Verdict, error) {
	var v catalog.Verdict
	err := c.do(ctx, http.MethodGet, "/hoist/v1/notes/"+strconv.FormatUint(number, 10), "", nil, &v)
	return v, err
}

// History lists all verdicts.
func (c *Client) History(ctx context.Context) ([]catalog.Verdict, error) {
	var list []catalog.Verdict
	err := c.do(ctx, http.MethodGet, "/hoist/v1/notes", "", nil, &list)
	return list, err
}

// Status returns the state of the system as the instance sees it.
func (c *Client) Status(ctx context.Context) (httpapi.Status, error) {
	var s httpapi.Status
	err := c.do(ctx, http.MethodGet, "/hoist/v1/status", "", nil, &s)
	return s, err
}

// Timeline returns the merged events of all instances that can be reached, or of this instance alone.
func (c *Client) Timeline(ctx context.Context, all bool) (httpapi.Timeline, error) {
	path := "/hoist/v1/timeline"
	if !all {
		path += "?scope=instance"
	}
	var t httpapi.Timeline
	err := c.do(ctx, http.MethodGet, path, "", nil, &t)
	return t, err
}

func (c *Client) do(ctx context.Context, method, path, file string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, c.url+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "create request")
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	} else if c.name != "" {
		req.Header.Set(api.HeaderCaller, c.name)
	}
	if file != "" {
		req.Header.Set(httpapi.HeaderNoteFile, file)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return errors.Wrap(err, "no answer from the instance")
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return errors.Wrap(err, "read answer of the instance")
	}
	if resp.StatusCode != http.StatusOK {
		var e api.ErrorBody
		if err := json.Unmarshal(data, &e); err != nil {
			e.Error.Message = string(data)
		}
		return &StatusError{Status: resp.StatusCode, Detail: e.Error}
	}
	return errors.Wrap(json.Unmarshal(data, out), "decode answer of the instance")
}
