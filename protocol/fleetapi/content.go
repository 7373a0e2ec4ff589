package fleetapi

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"sync"

	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/coordination/crashes"
	"github.com/tarragonhoist/tarragonhoist/coordination/roster"
)

// WatchContent is what a watch tells of targets and crashes. It is packed once for all gateways that wait for the same changes.
type WatchContent struct {
	Roster      roster.Delta       `json:"r"`
	Crashes     []crashes.Evidence `json:"x,omitempty"`
	CrashChange uint64             `json:"cc,omitempty"`
}

// maxContentBytes bounds the unpacked content, above that of the largest delta with the evidence of one message.
const maxContentBytes = 8 << 20

// compressors holds flate writers, which take half a megabyte each.
var compressors = sync.Pool{New: func() any {
	w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is valid
	}
	return w
}}

// Pack encodes and compresses the content.
func (c *WatchContent) Pack() ([]byte, error) {
	data, err := json.Marshal(c)
	if err != nil {
		return nil, errors.Wrap(err, "encode the content of a watch")
	}
	var packed bytes.Buffer
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	w.Reset(&packed)
	if _, err = w.Write(data); err == nil {
		err = w.Close()
	}
	return packed.Bytes(), errors.Wrap(err, "compress the content of a watch")
}

// UnpackContent decodes packed content.
func UnpackContent(packed []byte) (*WatchContent, error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxContentBytes+1))
	if err == nil && len(data) > maxContentBytes {
		err = errors.Errorf("it has more than %d bytes", maxContentBytes)
	}
	if err != nil {
		return nil, errors.Wrap(err, "unpack the content of a watch")
	}
	var c WatchContent
	return &c, errors.Wrap(json.Unmarshal(data, &c), "decode the content of a watch")
}
