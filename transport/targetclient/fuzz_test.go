package targetclient

import (
	"bytes"
	"testing"
)

// Guards against bytes in a stream that end the process that reads it, outside of any HTTP handler, or that give events which are not in it.
func FuzzReadEvents(f *testing.F) {
	f.Add([]byte("id: 0\ndata: {}\n\ndata: [DONE]\n\n"))
	f.Add([]byte("event: error\ndata: {}\n\n"))
	f.Add([]byte("id: 99999999999999999999\ndata:\n"))
	f.Add([]byte("id:\r\ndata: x\r\n\r\n\x00"))
	f.Fuzz(func(t *testing.T, stream []byte) {
		done := false
		err := readEvents(bytes.NewReader(stream), func(e Event) error {
			if done || e.Offset < 0 && !e.Done || !bytes.Contains(stream, e.Data) {
				t.Errorf("event %+v", e)
			}
			done = e.Done
			return nil
		})
		if (err == nil) != done {
			t.Errorf("end of the stream %v, error %v", done, err)
		}
	})
}
