package targetclient

import (
	"bytes"
	"context"
	"net/http"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/protocol/targetapi"
	"github.com/tarragonhoist/tarragonhoist/transport/intake"
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

// CallService sends one call on a new connection. Its answer is counted for the client of ctx, see intake.ClientOf. If err is not nil, sent tells whether any byte left this process; if
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
	size := resp.ContentLength
	if call.Method == http.MethodHead { // the length of a body that is not sent
		size = 0
	}
	body, err := intake.ReadAll(ctx, resp.Body, size, MaxServiceAnswerBytes)
	if errors.Is(err, intake.ErrTooLarge) {
		return nil, true, errors.Errorf("the answer of the service is larger than %d bytes, or than what clients may hold", MaxServiceAnswerBytes)
	}
	if err != nil {
		return nil, true, errors.Wrap(err, "read answer of the service")
	}
	return &ServiceAnswer{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, true, nil
}
