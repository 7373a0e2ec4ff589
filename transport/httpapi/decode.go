package httpapi

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/protocol/api"
	"github.com/tarragonhoist/tarragonhoist/transport/intake"
)

// Memory that one element of a JSON array holds once it is decoded: a bit more than 2.25 times the size of the Go value, since
// encoding/json holds the old array beside one that is a quarter larger while it grows.
const (
	messageBytes      = 80  // api.ChatMessage has 32 bytes
	targetRecordBytes = 200 // targetapi.Resident has 80 bytes, the largest element of messages from targets
)

// reserveDecoded counts what a JSON body holds once it is decoded: its strings, and its elements, which may need many times the bytes
// of the body.
func reserveDecoded(r *http.Request, body []byte, elementBytes int64) *api.Result {
	err := intake.ClientOf(r.Context()).Reserve(int64(len(body)) + elementBytes*elements(body))
	switch {
	case err == nil:
		return nil
	case errors.Is(err, intake.ErrTooLarge):
		return api.Refuse(api.ReasonBodyTooLarge, "the request body has too many elements")
	}
	return api.RefuseWithRetry(api.ReasonNoCapacity, time.Second, err.Error())
}

// elements returns an upper bound of the number of array elements and object fields of JSON text: the commas outside strings, and one.
func elements(body []byte) int64 {
	n, quoted := int64(1), false
	for i := 0; i < len(body); i++ {
		switch c := body[i]; {
		case quoted && c == '\\':
			i++
		case c == '"':
			quoted = !quoted
		case c == ',' && !quoted:
			n++
		}
	}
	return n
}
