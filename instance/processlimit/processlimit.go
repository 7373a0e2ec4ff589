// Package processlimit sets the limits of the operating system and of the Go runtime on the memory and the open files of the process.
package processlimit

import (
	"math"
	"runtime/debug"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// memoryShare is the soft memory limit of the Go runtime as a share of the memory limit of the process.
	memoryShare = 0.6
	// gcPercent is the GC percentage. It trades processor time for memory, which costs more on the machines of processes with a limit.
	gcPercent = 50
)

// Memory sets the GC percentage and, if the memory of the process is configured, a soft memory limit well below it.
func Memory(memoryMB int) {
	debug.SetGCPercent(gcPercent)
	if memoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(memoryMB) * (1 << 20)))
	}
}

// LimitOpenFiles lowers the soft limit of open descriptors, which the Go runtime raises to the hard one at the start. Reaching it
// fails an accept or a dial; reaching the limit of the machine may end the process.
func LimitOpenFiles(maxFDs int) error {
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

// OpenFiles returns the number of descriptors that the process may open, 0 if it is not known.
func OpenFiles(maxFDs int) int {
	if maxFDs > 0 {
		return maxFDs
	}
	var limit unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) != nil || limit.Cur > math.MaxInt32 {
		return 0
	}
	return int(limit.Cur)
}
