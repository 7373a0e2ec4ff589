package targetapi

import (
	"encoding/json"
	"slices"

	"github.com/pkg/errors"
)

// ChunkContent returns the choices of a chunk, the part that is identical in all attempts of one request. Data without choices or with an
// error is no chunk: some engines write an error as the data of an event, in the middle of an answer.
func ChunkContent(data []byte) ([]byte, error) {
	var chunk struct {
		Choices json.RawMessage `json:"choices"`
		Error   json.RawMessage `json:"error"`
	}
	if err := json.Unmarshal(data, &chunk); err != nil {
		return nil, errors.Wrap(err, "decode chunk of the response")
	}
	if isSet(chunk.Error) || !isSet(chunk.Choices) {
		return nil, errors.Errorf("%.512q is not a chunk of the response", data)
	}
	return chunk.Choices, nil
}

// IsLastChunk reports whether the choices of a chunk name the reason for which the answer ends.
func IsLastChunk(choices []byte) bool {
	type choice struct {
		FinishReason json.RawMessage `json:"finish_reason"`
	}
	var list []choice
	if err := json.Unmarshal(choices, &list); err != nil {
		return false
	}
	return slices.ContainsFunc(list, func(c choice) bool { return isSet(c.FinishReason) })
}

func isSet(value json.RawMessage) bool { return len(value) > 0 && string(value) != "null" }
