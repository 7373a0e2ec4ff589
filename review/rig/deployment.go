package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// program is the build of the deploy file, relative to the root of the repository.
const program = "target/tarragonhoist-fleet"

// ports are the same on all machines of a deployment.
type ports struct{ callers, ready, control, peer, metrics int }

// machine is one process of the system.
type machine struct {
	ip, role string
	cmd      *exec.Cmd
	done     chan struct{} // closed when the process has ended
	state    string        // how it ended, valid after done
}

// deployment is a small deployment of the system on addresses of its own.
type deployment struct {
	base     string // first three bytes of the addresses
	dir      string
	ports    ports
	controls []string
	gateways []string
	memoryMB int // of a gateway
	maxFDs   int // of a gateway
	record   *record

	mu       sync.Mutex
	machines map[string]*machine
}

// newDeployment chooses free addresses and ports.
func newDeployment(rec *record, controls, gateways int) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-rig-")
	if err != nil {
		return nil, err
	}
	d := &deployment{dir: dir, record: rec, machines: make(map[string]*machine), memoryMB: 284, maxFDs: 4200,
		ports: ports{callers: 8149, ready: 8141, control: 8144, peer: 7380, metrics: 9464}}
	for range 20 {
		d.base = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
		if d.free() {
			break
		}
	}
	for i := range controls {
		d.controls = append(d.controls, d.base+strconv.Itoa(i+1))
	}
	for i := range gateways {
		d.gateways = append(d.gateways, d.base+strconv.Itoa(i+11))
	}
	return d, nil
}

// free reports whether the ports are free on the first addresses.
func (d *deployment) free() bool {
	for i := 1; i < 20; i++ {
		for _, port := range []int{d.ports.callers, d.ports.ready, d.ports.control, d.ports.peer, d.ports.metrics} {
			l, err := net.Listen("tcp", d.base+strconv.Itoa(i)+":"+strconv.Itoa(port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (d *deployment) isControl(ip string) bool {
	for _, c := range d.controls {
		if c == ip {
			return true
		}
	}
	return false
}

// settings fills in what deploy/settings.tmpl has.
func (d *deployment) settings(ip string, first bool) string {
	var b strings.Builder
	var seeds []string
	for _, c := range d.controls[:min(3, len(d.controls))] {
		seeds = append(seeds, strconv.Quote(fmt.Sprintf("%s:%d", c, d.ports.control)))
	}
	fmt.Fprintf(&b, "name = %q\ndata_centre = %q\naddress = %q\npeer_port = %d\n", "node-"+ip, d.zone(ip), ip, d.ports.peer)
	if d.isControl(ip) {
		fmt.Fprintf(&b, "listen_control = \"%s:%d\"\ndata_folder = %q\nmemory_mb = 280\nmax_fds = 4096\n", ip, d.ports.control, filepath.Join(d.dir, "data-"+ip))
	} else {
		fmt.Fprintf(&b, "listen_callers = \"%s:%d\"\nlisten_ready = \"%s:%d\"\nmemory_mb = %d\nmax_fds = %d\n", ip, d.ports.callers, ip, d.ports.ready, d.memoryMB, d.maxFDs)
	}
	fmt.Fprintf(&b, "listen_metrics = \"%s:%d\"\nseeds = [%s]\nfirst_start = %v\n", ip, d.ports.metrics, strings.Join(seeds, ", "), first)
	b.WriteString("lease_ms = 3000\ngrace_s = 8\nrepeat_ratio = 0.2\nrepeat_slack = 52\nrepeat_window_s = 10\n")
	return b.String()
}

// zone spreads machines over three zones.
func (d *deployment) zone(ip string) string {
	last, _ := strconv.Atoi(ip[strings.LastIndexByte(ip, '.')+1:])
	return []string{"coulee-a", "ridge-b", "slough-c"}[last%3]
}

// start starts the process of a machine.
func (d *deployment) start(ip string, first bool) error {
	role := "gateway"
	if d.isControl(ip) {
		role = "control"
		if err := os.MkdirAll(filepath.Join(d.dir, "data-"+ip), 0o750); err != nil {
			return err
		}
	}
	file := filepath.Join(d.dir, "settings-"+ip+".toml")
	if err := os.WriteFile(file, []byte(d.settings(ip, first)), 0o640); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.dir, "log-"+ip), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o640)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(program, role)
	cmd.Env = []string{"TARRAGONHOIST_NODE_FILE=" + file, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "TZ=UTC"}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	m := &machine{ip: ip, role: role, cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		m.state = cmd.ProcessState.String()
		close(m.done)
	}()
	d.mu.Lock()
	d.machines[ip] = m
	d.mu.Unlock()
	d.record.add("start", "machine", ip, "role", role, "pid", cmd.Process.Pid)
	return nil
}

func (d *deployment) machine(ip string) *machine {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.machines[ip]
}

// signal sends a signal to the process of a machine.
func (d *deployment) signal(ip string, sig syscall.Signal) {
	d.record.add("signal", "machine", ip, "signal", sig.String())
	_ = d.machine(ip).cmd.Process.Signal(sig)
}

// ended reports whether the process of a machine has ended.
func (m *machine) ended() bool {
	select {
	case <-m.done:
		return true
	default:
		return false
	}
}

// startAll starts all processes.
func (d *deployment) startAll() error {
	for _, ip := range append(append([]string{}, d.controls...), d.gateways...) {
		if err := d.start(ip, true); err != nil {
			return err
		}
	}
	return nil
}

// close ends all processes and removes the temporary folder.
func (d *deployment) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, m := range d.machines {
		if !m.ended() {
			_ = m.cmd.Process.Kill()
		}
		<-m.done
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	}
}

// memoryKB returns the resident memory of a process and its highest value so far.
func (m *machine) memoryKB() (now, highest int) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.cmd.Process.Pid))
	if err != nil {
		return 0, 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		n, _ := strconv.Atoi(fields[1])
		switch fields[0] {
		case "VmRSS:":
			now = n
		case "VmHWM:":
			highest = n
		}
	}
	return now, highest
}

var operator = &http.Client{Timeout: time.Second}

// call calls the control API of one machine.
func (d *deployment) call(ip, method, path string, body []byte) (int, []byte, error) {
	r, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", ip, d.ports.control, path), bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := operator.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return response.StatusCode, content, err
}

// replaceConfig sends a configuration until it is acknowledged, to one control machine after the other.
func (d *deployment) replaceConfig(c *config, within time.Duration) error {
	body, err := json.Marshal(c)
	if err != nil {
		return err
	}
	for deadline, i := time.Now().Add(within), 0; time.Now().Before(deadline); i++ {
		ip := d.controls[i%len(d.controls)]
		status, _, err := d.call(ip, http.MethodPost, "/api/Config.Replace", body)
		if err == nil && status == http.StatusOK {
			d.record.add("config acknowledged", "version", c.Version, "by", ip)
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("configuration %d was not acknowledged within %v", c.Version, within)
}

// ready asks whether a gateway takes callers.
func (d *deployment) ready(ip string) bool {
	response, err := operator.Get(fmt.Sprintf("http://%s:%d/api/ready", ip, d.ports.ready))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// await waits for a condition.
func await(within time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

// awaitReady waits until all gateways are ready.
func (d *deployment) awaitReady() error {
	for _, ip := range d.gateways {
		if !await(20*time.Second, func() bool { return d.ready(ip) }) {
			return fmt.Errorf("gateway %s did not become ready", ip)
		}
	}
	return nil
}

// restart stops a process as planned work does, and starts it again.
func (d *deployment) restart(ip string) {
	d.signal(ip, syscall.SIGTERM)
	m := d.machine(ip)
	select {
	case <-m.done:
	case <-time.After(8 * time.Second):
		_ = m.cmd.Process.Kill()
		<-m.done
	}
	d.record.add("ended", "machine", ip, "state", m.state)
	if err := d.start(ip, false); err != nil {
		d.record.say("restart failed", "machine", ip, "error", err)
	}
}
