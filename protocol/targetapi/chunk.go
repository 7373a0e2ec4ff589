package targetapi

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// ChunkContent returns the choices of a chunk, the part that is identical in all attempts of one request.
func ChunkContent(data []byte) ([]byte, error) {
	var chunk struct {
		Choices json.RawMessage `json:"choices"`
	}
	if err := json.Unmarshal(data, &chunk); err != nil {
		return nil, errors.Wrap(err, "decode chunk of the response")
	}
	return chunk.Choices, nil
}
