package processlimit

import (
	"os"
	"testing"

	"golang.org/x/sys/unix"
)

// Guards against a process that opens as many descriptors as the machine allows, because the Go runtime has raised the limit.
func TestOpenFilesAreLimited(t *testing.T) {
	var before unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &before); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = unix.Setrlimit(unix.RLIMIT_NOFILE, &before) })
	const limit = 100
	if before.Max < 2*limit {
		t.Skipf("the hard limit is %d", before.Max)
	}
	if err := LimitOpenFiles(limit); err != nil {
		t.Fatal(err)
	}
	for opened := 0; ; opened++ {
		file, err := os.Open("/dev/null")
		if err != nil {
			break
		}
		defer func() { _ = file.Close() }()
		if opened > limit {
			t.Fatalf("%d files are open, at most %d allowed", opened, limit)
		}
	}
	if n := OpenFiles(0); n != limit {
		t.Errorf("%d descriptors are known, want the limit %d", n, limit)
	}
}
