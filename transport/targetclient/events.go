package targetclient

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

// maxLineBytes bounds one line of a stream.
const maxLineBytes = 1 << 20

var (
	doneMarker     = []byte("[DONE]")
	errorEventLine = []byte("event: error")
)

// readEvents parses server-sent events and calls onEvent for each. A stream that ends without the end marker is broken.
func readEvents(r io.Reader, onEvent func(Event) error) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 4096), maxLineBytes)
	scanner.Split(completeLines)
	offset, inErrorEvent := -1, false
	for scanner.Scan() {
		line := scanner.Bytes()
		switch {
		case bytes.HasPrefix(line, []byte("id:")):
			id, err := strconv.Atoi(string(bytes.TrimSpace(line[len("id:"):])))
			if err != nil || id < 0 {
				return &IncompleteError{Cause: errors.Errorf("event id %q is not an offset", line)}
			}
			offset = id
		case bytes.Equal(line, errorEventLine):
			inErrorEvent = true
		case bytes.HasPrefix(line, []byte("data:")):
			data := bytes.TrimSpace(line[len("data:"):])
			if inErrorEvent {
				return &IncompleteError{Cause: errors.Errorf("error event: %.512s", data)}
			}
			if bytes.Equal(data, doneMarker) {
				return onEvent(Event{Offset: offset, Done: true})
			}
			if offset < 0 {
				return &IncompleteError{Cause: errors.New("event has no id with its offset")}
			}
			if err := onEvent(Event{Offset: offset, Data: data}); err != nil {
				return err
			}
		}
	}
	if err := scanner.Err(); err != nil {
		return &IncompleteError{Cause: err}
	}
	return &IncompleteError{Cause: io.ErrUnexpectedEOF}
}

// completeLines splits into lines like bufio.ScanLines, but drops a last line without an end, which bufio.ScanLines returns even after a read
// error: the target broke off inside it.
func completeLines(data []byte, _ bool) (advance int, line []byte, err error) {
	end := bytes.IndexByte(data, '\n')
	if end < 0 {
		return 0, nil, nil
	}
	return end + 1, bytes.TrimSuffix(data[:end], []byte("\r")), nil
}
