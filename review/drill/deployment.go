package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the small deployments (SYSTEM.md).
const (
	contactTime   = 3 * time.Second
	drainTime     = 2 * time.Second
	graceTime     = 8 * time.Second
	lossSlack     = 200 * time.Millisecond
	heartbeatTime = 1200 * time.Millisecond
	// restartDelay is the pause before the platform starts a process again that was killed.
	restartDelay = 300 * time.Millisecond
)

// record is the file in which a case notes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, start: time.Now()}, err
}

// note writes one line with the time since the start of the case.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// machine is one machine of the system.
type machine struct {
	name, class, zone, ip, role, dataDir, settings string
	command                                        []string
	process                                        *exec.Cmd
	ended                                          chan struct{}
}

// deployment is a small deployment on loopback addresses of its own.
type deployment struct {
	root, folder                                             string
	subnet                                                   string // the first three numbers of its addresses
	frontPort, readyPort, controlPort, replicaPort, peerPort int
	controls, gateways                                       []*machine
	record                                                   *record
	rules                                                    map[string]any
}

func newDeployment(root string, rec *record) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{root: root, folder: folder, record: rec,
		subnet: fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250)),
		rules:  map[string]any{"lease_ms": 3000, "grace_s": 8, "budget_ratio": 0.2, "budget_slack": 52, "budget_window_s": 10}}
	for _, port := range []*int{&d.frontPort, &d.readyPort, &d.controlPort, &d.replicaPort, &d.peerPort} {
		listener, err := net.Listen("tcp", d.address(250, 0))
		if err != nil {
			return nil, err
		}
		defer func() { _ = listener.Close() }()
		*port = listener.Addr().(*net.TCPAddr).Port
	}
	return d, nil
}

func (d *deployment) address(host, port int) string {
	return fmt.Sprintf("%s.%d:%d", d.subnet, host, port)
}

// roleCommand returns the command of a role from the deploy file.
func (d *deployment) roleCommand(role string) ([]string, error) {
	text, err := os.ReadFile(filepath.Join(d.root, "deploy/system.toml"))
	if err != nil {
		return nil, err
	}
	m := regexp.MustCompile(`(?s)\[roles\.` + role + `\]\s*run = "([^"]*)"`).FindSubmatch(text)
	if m == nil {
		return nil, fmt.Errorf("the deploy file has no role %s", role)
	}
	return strings.Fields(string(m[1])), nil
}

// addMachines adds machines of a class, one to each zone in turn.
func (d *deployment) addMachines(class, role string, count, firstHost int, zones []string) ([]*machine, error) {
	command, err := d.roleCommand(role)
	if err != nil {
		return nil, err
	}
	var list []*machine
	for i := range count {
		zone := zones[i%len(zones)]
		name := fmt.Sprintf("%s-%s-%d", class, zone, i/len(zones)+1)
		m := &machine{name: name, class: class, zone: zone, ip: fmt.Sprintf("%s.%d", d.subnet, firstHost+i), role: role, command: command,
			settings: filepath.Join(d.folder, name+".toml")}
		if class == "core" {
			m.dataDir = filepath.Join(d.folder, name)
		}
		list = append(list, m)
	}
	return list, nil
}

var placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)(\|json)?\}\}`)

// render fills in the template of the deploy file as the platform does.
func render(template string, fields map[string]any) string {
	return placeholder.ReplaceAllStringFunc(template, func(found string) string {
		part := placeholder.FindStringSubmatch(found)
		var value any = fields
		for _, name := range strings.Split(part[1], ".") {
			switch v := value.(type) {
			case map[string]any:
				value = v[name]
			case []any:
				value = v[0] // port_range.0 is the only index in the template
			default:
				value = nil
			}
		}
		if part[2] != "" {
			encoded, err := json.Marshal(value)
			if err != nil {
				return ""
			}
			return string(encoded)
		}
		if value == nil {
			return ""
		}
		return fmt.Sprint(value)
	})
}

// startMachine starts the process of a machine.
func (d *deployment) startMachine(m *machine, bootstrap bool) error {
	template, err := os.ReadFile(filepath.Join(d.root, "deploy/settings.tmpl"))
	if err != nil {
		return err
	}
	listen := map[string]any{}
	var seeds []string
	for _, c := range d.controls[:min(3, len(d.controls))] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", c.ip, d.controlPort))
	}
	fields := map[string]any{"node_name": m.name, "zone": m.zone, "ip": m.ip, "port_range": []any{d.peerPort, d.peerPort}, "seed_nodes": seeds,
		"bootstrap": bootstrap, "listen": listen, "limits": map[string]any{"memory_mb": 284}, "bounds": d.rules}
	if m.class == "core" {
		listen["control"] = fmt.Sprintf("%s:%d", m.ip, d.controlPort)
		fields["data_dir"] = m.dataDir
	} else {
		listen["front"], listen["ready"] = fmt.Sprintf("%s:%d", m.ip, d.frontPort), fmt.Sprintf("%s:%d", m.ip, d.readyPort)
	}
	if err := os.WriteFile(m.settings, []byte(render(string(template), fields)), 0o600); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(d.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }()
	process := exec.Command(m.command[0], m.command[1:]...)
	process.Path = filepath.Join(d.root, m.command[0])
	process.Dir, process.Stdout, process.Stderr = d.root, output, output
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.folder, "LANG=C", "TARRAGONHOIST_NODE_FILE=" + m.settings}
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error, 1)
	go func() {
		// The process ends with the thread that started it, so the thread has to live on.
		runtime.LockOSThread()
		started <- process.Start()
		select {}
	}()
	if err := <-started; err != nil {
		return err
	}
	m.process, m.ended = process, make(chan struct{})
	go func(ended chan struct{}) {
		_ = process.Wait()
		close(ended)
	}(m.ended)
	d.record.note("machine %s started, process %d", m.name, process.Process.Pid)
	return nil
}

// signal sends a signal to the process of a machine.
func (d *deployment) signal(m *machine, s syscall.Signal) {
	d.record.note("%v to %s", s, m.name)
	_ = m.process.Process.Signal(s)
}

// start starts a deployment with control instances and gateways.
func (d *deployment) start(controls, gateways int, zones []string) error {
	var err error
	if d.controls, err = d.addMachines("core", "control", controls, 1, zones); err != nil {
		return err
	}
	if d.gateways, err = d.addMachines("front", "gateway", gateways, 20, zones); err != nil {
		return err
	}
	for _, m := range append(append([]*machine{}, d.controls...), d.gateways...) {
		if err := d.startMachine(m, true); err != nil {
			return err
		}
	}
	return nil
}

// stop ends all processes and removes the folder.
func (d *deployment) stop() {
	for _, m := range append(append([]*machine{}, d.controls...), d.gateways...) {
		if m.process != nil {
			_ = m.process.Process.Kill()
			<-m.ended
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder)
	}
}

var controlClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// callControl calls a control instance as the operator or a replica.
func (d *deployment) callControl(m *machine, method, path string, body any) (int, string) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return 0, err.Error()
	}
	r, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", m.ip, d.controlPort, path), bytes.NewReader(encoded))
	if err != nil {
		return 0, err.Error()
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := controlClient.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(answer)
}

// replaceConfig sends a configuration to one control instance after the other until it is acknowledged.
func (d *deployment) replaceConfig(c map[string]any) error {
	last := ""
	for deadline, i := time.Now().Add(15*time.Second), 0; time.Now().Before(deadline); i++ {
		m := d.controls[i%len(d.controls)]
		status, answer := d.callControl(m, "POST", "/api/Config.Replace", c)
		d.record.note("operator: version %v to %s: %d", c["version"], m.name, status)
		if status == 200 {
			return nil
		}
		last = answer
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("the configuration was not acknowledged: %s", last)
}

// ready reports whether a gateway says that it is ready.
func (d *deployment) ready(m *machine) bool {
	response, err := controlClient.Get(fmt.Sprintf("http://%s:%d/api/ready", m.ip, d.readyPort))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == 200
}

// await waits until a condition holds.
func await(ctx context.Context, limit time.Duration, what string, done func() bool) error {
	for deadline := time.Now().Add(limit); !done(); time.Sleep(50 * time.Millisecond) {
		if ctx.Err() != nil || time.Now().After(deadline) {
			return fmt.Errorf("%s: not within %v", what, limit)
		}
	}
	return nil
}
