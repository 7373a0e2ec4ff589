package fleet

import (
	"math"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// limitDescriptors lowers the soft limit of open descriptors, which the Go runtime raises to the hard one at the start. Reaching it
// fails an accept or a dial; reaching the limit of the machine may end the process.
func limitDescriptors(maxFDs int) error {
	if maxFDs == 0 {
		return nil
	}
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return errors.Wrap(err, "read the limit of descriptors")
	}
	limit.Cur = min(limit.Max, uint64(maxFDs))
	return errors.Wrap(unix.Setrlimit(unix.RLIMIT_NOFILE, &limit), "set the limit of descriptors")
}

// descriptorLimit returns the number of descriptors that the process may open, 0 if it is not known.
func descriptorLimit(maxFDs int) int {
	if maxFDs > 0 {
		return maxFDs
	}
	var limit unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) != nil || limit.Cur > math.MaxInt32 {
		return 0
	}
	return int(limit.Cur)
}
