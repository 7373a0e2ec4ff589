package intake

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// process is a process of the system under test, whose descriptors are counted while it runs.
type process struct {
	role    string
	command *exec.Cmd
	output  output
	ended   chan struct{}
	peakFDs atomic.Int64
}

// output keeps the last part of what a process writes.
type output struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (o *output) Write(b []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.text.Len() > 1<<20 {
		o.text.Reset()
	}
	return o.text.Write(b)
}

func startProcess(role, path string, args ...string) (*process, error) {
	p := &process{role: role, command: exec.Command(path, args...), ended: make(chan struct{})}
	p.command.Stdout, p.command.Stderr = &p.output, &p.output
	if err := p.command.Start(); err != nil {
		return nil, err
	}
	go func() { _ = p.command.Wait(); close(p.ended) }()
	go p.countDescriptors()
	return p, nil
}

func (p *process) log() string {
	p.output.mu.Lock()
	defer p.output.mu.Unlock()
	text := p.output.text.String()
	return p.role + ": " + text[max(0, len(text)-1500):]
}

func (p *process) lives() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

func (p *process) kill() {
	_ = p.command.Process.Kill()
	<-p.ended
}

func (p *process) countDescriptors() {
	for p.lives() {
		if open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid)); err == nil {
			p.peakFDs.Store(max(p.peakFDs.Load(), int64(len(open))))
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// peakMemory returns the peak of the resident memory in KiB.
func (p *process) peakMemory() (int, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0, fmt.Errorf("status without VmHWM")
	}
	return strconv.Atoi(fields[0])
}

// check returns what is wrong with the process, empty if nothing is.
func (p *process) check() string {
	if !p.lives() {
		return p.role + " has ended\n" + p.log()
	}
	memory, err := p.peakMemory()
	switch fds := p.peakFDs.Load(); {
	case err != nil:
		return err.Error()
	case memory > memoryMB<<10:
		return fmt.Sprintf("%s: peak of %d KiB, %d MiB allowed; %d descriptors", p.role, memory, memoryMB, fds)
	case fds >= maxFDs:
		return fmt.Sprintf("%s: %d descriptors open, below %d allowed; peak of %d KiB", p.role, fds, maxFDs, memory)
	}
	return ""
}

// openFilesLimit returns the limit of descriptors that is in force for the process.
func (p *process) openFilesLimit() (int, error) {
	limits, err := os.ReadFile(fmt.Sprintf("/proc/%d/limits", p.command.Process.Pid))
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(limits), "Max open files")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0, fmt.Errorf("limits without that of descriptors")
	}
	return strconv.Atoi(fields[0])
}
