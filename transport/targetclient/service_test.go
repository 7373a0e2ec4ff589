package targetclient

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
)

// Guards against calls with HEAD that fail, and targets that are blamed, since the length of a body that is not sent is above the limit.
func TestLengthWithoutBodyIsNotLimited(t *testing.T) {
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(MaxServiceAnswerBytes+1))
	}))
	defer target.Close()
	call := ServiceCall{Address: strings.TrimPrefix(target.URL, "http://"), Method: http.MethodHead, PathAndQuery: "/x"}
	answer, _, err := New().CallService(t.Context(), call)
	if err != nil || answer.Status != http.StatusOK || len(answer.Body) != 0 {
		t.Errorf("answer %+v, error %v", answer, err)
	}
}
