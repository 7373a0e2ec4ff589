package targetapi

import (
	"github.com/cespare/xxhash/v2"

	"github.com/tarragonhoist/tarragonhoist/protocol/api"
)

// Prompts are hashed in blocks, and every hashed prefix ends at a block boundary.
const (
	PrefixBlockBytes = 256
	MaxPrefixBlocks  = 16
)

// PrefixHashes returns the hashes of the prefixes of a prompt that consist of complete blocks, from the shortest to the
// longest, at most MaxPrefixBlocks. The hashed text is the contents of the messages, each followed by a newline.
func PrefixHashes(req *api.ChatRequest) []uint64 {
	var hashes []uint64
	d := xxhash.New()
	filled := 0
	for _, m := range req.Messages {
		content := m.Content + "\n"
		for content != "" {
			n := min(PrefixBlockBytes-filled, len(content))
			_, _ = d.WriteString(content[:n])
			content, filled = content[n:], filled+n
			if filled < PrefixBlockBytes {
				continue
			}
			hashes, filled = append(hashes, d.Sum64()), 0
			if len(hashes) == MaxPrefixBlocks {
				return hashes
			}
		}
	}
	return hashes
}
