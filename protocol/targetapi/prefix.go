package targetapi

import (
	"github.com/cespare/xxhash/v2"

	"github.com/tarragonhoist/tarragonhoist/protocol/api"
)

// Blocks of a prompt. Prefixes end at block boundaries.
const (
	PrefixBlockBytes = 256
	MaxPrefixBlocks  = 16
)

// PrefixHashes are the hashes of the whole blocks of a prompt, from the shortest to the longest prefix. The prompt is
// the contents of the messages, each followed by a newline.
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
