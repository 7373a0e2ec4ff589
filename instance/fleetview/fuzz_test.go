package fleetview

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/protocol/fleetapi"
	"github.com/tarragonhoist/tarragonhoist/state/routes"
)

// answeringPeers answers the first watch with a JSON text, and fails all later calls.
type answeringPeers struct {
	answer []byte
	stop   context.CancelFunc
}

func (p *answeringPeers) Call(_ context.Context, _, _ string, _, result any) error {
	answer := p.answer
	p.answer = nil
	if answer == nil {
		p.stop()
		return errors.New("no further answer")
	}
	err := json.Unmarshal(answer, result)
	if err != nil {
		p.stop()
	}
	return err
}

// Guards against the answer of a peer that ends the process which watches it, outside of any handler.
func FuzzWatchResponse(f *testing.F) {
	sample, err := json.Marshal(fleetapi.WatchResponse{Epoch: 1, Members: []string{"a", "b"}, MemberDataCentres: []string{"x"}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(sample)
	f.Add([]byte(`{"e":1,"v":2,"d":"eA==","l":"a","m":["a","b"],"mz":["x"],"z":"dc","cc":3,` +
		`"r":{"t":[{"id":"t","born":1,"s":"s","ad":"127.0.0.1:1","dc":"x","sl":4,"st":1,"b":1,"mo":[{"m":"m","a":["a1"]}],"lv":5,"si":7}],"bt":[{"id":"t","born":1,"b":2}],"p":"AQID","c":9},` +
		`"x":[{"k":"p/x","d":2,"c":[{"t":1,"a":5,"n":6,"v":{}}],"s":3,"v":[{"v":{},"a":1}]}]}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(_ *testing.T, answer []byte) {
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		v := New(func([]byte) (*routes.Document, error) { return &routes.Document{}, nil }, "dc", []string{"a"})
		w := NewWatcher(v, &answeringPeers{answer: answer, stop: stop}, "g", false, func(string, error) {})
		w.watch(ctx, "a", nil)
		v.Targets()
		v.Quarantined(time.Now(), nil)
	})
}
