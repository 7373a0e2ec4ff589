// Package incarnation assigns a number to each start of an instance that is larger than those of its earlier starts.
package incarnation

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/state/wal"
)

const (
	fileName   = "incarnation"
	folderMode = 0o750
)

// Next returns the incarnation of this start: the time in nanoseconds, or one more than the incarnation stored in the
// data folder if the clock was set back. Without a data folder, an instance whose clock was set back is refused by its
// peers until the clock has caught up.
func Next(dataFolder string, now time.Time) (uint64, error) {
	next := uint64(now.UnixNano())
	if dataFolder == "" {
		return next, nil
	}
	if err := os.MkdirAll(dataFolder, folderMode); err != nil {
		return 0, errors.Wrap(err, "create data folder")
	}
	path := filepath.Join(dataFolder, fileName)
	text, err := os.ReadFile(path)
	if err != nil && !os.IsNotExist(err) {
		return 0, errors.Wrap(err, "read incarnation")
	}
	if err == nil {
		last, err := strconv.ParseUint(strings.TrimSpace(string(text)), 10, 64)
		if err != nil {
			return 0, errors.Wrapf(err, "parse incarnation in %s", path)
		}
		next = max(next, last+1)
	}
	return next, wal.WriteFile(path, []byte(strconv.FormatUint(next, 10)+"\n"))
}
