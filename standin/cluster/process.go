// Package cluster starts a whole deployment of processes on loopback for the demo and the process tests. The serving
// system does not use it.
package cluster

import (
	"bytes"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Process is one process that this package started.
type Process struct {
	Name string
	cmd  *exec.Cmd
	done chan struct{}
	err  error

	mu  sync.Mutex
	log bytes.Buffer
}

// start starts a command and collects its standard error. onOutput receives its standard output and may be nil.
func start(name, binary string, args []string, onOutput func([]byte)) (*Process, error) {
	p := &Process{Name: name, cmd: exec.Command(binary, args...), done: make(chan struct{})}
	p.cmd.Stderr = p
	p.cmd.Stdout = writerFunc(onOutput)
	// The kernel kills the child when its parent dies, so that a killed test run leaves no process behind.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, errors.Wrapf(err, "start %s", name)
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

type writerFunc func([]byte)

func (f writerFunc) Write(p []byte) (int, error) {
	if f != nil {
		f(p)
	}
	return len(p), nil
}

// Write implements io.Writer for standard error.
func (p *Process) Write(data []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.Write(data)
}

// Log returns everything that the process has written to standard error.
func (p *Process) Log() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) error {
	return errors.Wrapf(p.cmd.Process.Signal(s), "send signal to %s", p.Name)
}

// Kill sends SIGKILL and waits until the process has ended.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Wait waits until the process ends, at most for the timeout, and returns its exit code.
func (p *Process) Wait(timeout time.Duration) (int, error) {
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode(), nil
	case <-time.After(timeout):
		return 0, errors.Errorf("process of %s did not end within %s", p.Name, timeout)
	}
}

// Running reports whether the process has not ended yet.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Build compiles the commands into a folder, with the race detector when race is set.
func Build(folder string, race bool) error {
	args := []string{"build", "-o", folder + "/"}
	if race {
		args = append(args, "-race")
	}
	out, err := exec.Command("go", append(args,
		"github.com/tarragonhoist/tarragonhoist/cmd/tarragonhoist",
		"github.com/tarragonhoist/tarragonhoist/cmd/hoistctl",
		"github.com/tarragonhoist/tarragonhoist/cmd/hoist-target")...).CombinedOutput()
	if err != nil {
		return errors.Wrapf(err, "go build of the commands: %s", out)
	}
	return nil
}

func removeFolder(path string) error { return errors.Wrap(os.RemoveAll(path), "remove data folder") }

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }
