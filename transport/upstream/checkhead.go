package upstream

import (
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"regexp"
	"slices"

	"github.com/pkg/errors"
)

// maxStatus is the highest status that an answer may have. net/http reads any three digits.
const maxStatus = 599

// statusLine is the beginning of an answer.
var statusLine = regexp.MustCompile(`HTTP/1\.\d \d{3}`)

// CheckHead returns an error if the head has a status that no answer to a request of this client has, or holds the status line of another
// answer. net/http reads any three digits as a status, and panics where one below 100 is relayed; 101 ends the protocol, which no request
// asks for; an answer with a status above 599 is no answer in any class that callers know. A target that stops inside a line, and then writes
// another answer on the same connection, joins both: the first answer's id and seal would come with the second one's body.
func CheckHead(r *http.Response) error {
	if r.StatusCode < http.StatusContinue || r.StatusCode == http.StatusSwitchingProtocols || r.StatusCode > maxStatus {
		return errors.Wrapf(errMalformed, "status %03d", r.StatusCode)
	}
	if r.StatusCode < http.StatusOK {
		if err := checkInformational(r.StatusCode, textproto.MIMEHeader(r.Header)); err != nil {
			return err
		}
	}
	if statusLine.MatchString(r.Status) {
		return errors.Wrap(errMalformed, "the status holds another status line")
	}
	for name, values := range r.Header {
		if slices.ContainsFunc(values, statusLine.MatchString) {
			return errors.Wrapf(errMalformed, "the header %s holds another status line", name)
		}
	}
	return nil
}

// checkInformational returns an error if an answer with an informational status announces a body. Such an answer is meant as the final one,
// and a client that waits for another gets none until its deadline.
func checkInformational(status int, header textproto.MIMEHeader) error {
	if _, ok := header["Content-Length"]; ok {
		return errors.Wrapf(errMalformed, "status %d with a body", status)
	}
	return nil
}

// CheckingTransport fails requests whose answer has a head that CheckHead refuses.
type CheckingTransport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t CheckingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	// net/http skips informational answers. Each request has a trace of its own, because WithClientTrace changes it.
	trace := &httptrace.ClientTrace{Got1xxResponse: checkInformational}
	response, err := t.Transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := CheckHead(response); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}
