package targetclient

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/protocol/targetapi"
)

// ServiceCall is one call of a plain service.
type ServiceCall struct {
	Address string
	Method  string
	// PathAndQuery is the part of the request URI after the service name.
	PathAndQuery string
	Header       http.Header
	// AttemptID is sent as a header unless it is empty.
	AttemptID string
	Body      []byte
}

// ServiceAnswer is the answer of a plain service.
type ServiceAnswer struct {
	Status      int
	ContentType string
	Body        []byte
}

// CallService sends one call on a new connection. If err is not nil, sent tells whether any byte left this process; if
// none did, the call did not run.
func (c *Client) CallService(ctx context.Context, call ServiceCall) (answer *ServiceAnswer, sent bool, err error) {
	var written atomic.Bool
	ctx = context.WithValue(ctx, writtenKey{}, &written)
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+call.Address+call.PathAndQuery, bytes.NewReader(call.Body))
	if err != nil {
		return nil, false, errors.Wrap(err, "create request for the service call")
	}
	if call.Header != nil {
		req.Header = call.Header.Clone()
	}
	if call.AttemptID != "" {
		req.Header.Set(targetapi.HeaderAttemptID, call.AttemptID)
	}
	resp, err := c.singleUse.Do(req)
	if err != nil {
		return nil, written.Load(), errors.Wrap(err, "send service call")
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxServiceAnswerBytes+1))
	if err != nil {
		return nil, true, errors.Wrap(err, "read answer of the service")
	}
	if len(body) > MaxServiceAnswerBytes {
		return nil, true, errors.Errorf("the answer of the service is larger than %d bytes", MaxServiceAnswerBytes)
	}
	return &ServiceAnswer{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, true, nil
}
