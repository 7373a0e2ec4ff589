package httpapi

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"testing"
	"unsafe"

	"pgregory.net/rapid"

	"github.com/tarragonhoist/tarragonhoist/protocol/api"
	"github.com/tarragonhoist/tarragonhoist/protocol/targetapi"
	"github.com/tarragonhoist/tarragonhoist/settings"
	"github.com/tarragonhoist/tarragonhoist/transport/intake"
)

// Guards against arrays with more elements than were counted, and against constants that fall behind the types.
func TestElementsIsAnUpperBound(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		texts := rapid.SliceOf(rapid.StringMatching(`[,"\\\[{a]*`)).Draw(r, "texts")
		data, err := json.Marshal(texts)
		if err != nil {
			r.Fatal(err)
		}
		if n := elements(data); n != int64(max(len(texts), 1)) {
			r.Errorf("%d elements are counted in %s, want %d", n, data, len(texts))
		}
	})
	if size := unsafe.Sizeof(api.ChatMessage{}); size*9/4 > messageBytes {
		t.Errorf("a message has %d bytes", size)
	}
	for _, size := range []uintptr{unsafe.Sizeof(targetapi.Resident{}), unsafe.Sizeof(targetapi.OrderStatus{}), unsafe.Sizeof(targetapi.CacheEvent{})} {
		if size*9/4 > targetRecordBytes {
			t.Errorf("an element of a message from a target has %d bytes", size)
		}
	}
}

// Guards against small bodies whose decoded form fills the memory of the process.
func TestBodyWithTooManyElementsIsRefused(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() {
		ended <- New(&settings.Settings{Instance: "a1"}, struct{ Backend }{}, intake.New(intake.Options{MemoryMB: 64})).Serve(ctx, l)
	}()
	for path, n := range map[string]int{"/v1/chat/completions": 200_000, targetapi.PathAnnounce: 80_000} {
		body := `{"model":"m","messages":[` + strings.Repeat("{},", n) + `{}]}`
		response, err := http.Post("http://"+l.Addr().String()+path, "", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusRequestEntityTooLarge {
			t.Errorf("%s: status %d, want 413", path, response.StatusCode)
		}
	}
	http.DefaultClient.CloseIdleConnections()
	stop()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
