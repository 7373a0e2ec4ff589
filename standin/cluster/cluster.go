package cluster

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/standin/faultproxy"
	"github.com/tarragonhoist/tarragonhoist/standin/target"
	"github.com/tarragonhoist/tarragonhoist/transport/opsclient"
)

// Timing of waits. The limit is long, since it only ends a test that hangs.
const (
	waitTimeout  = 60 * time.Second
	pollInterval = 50 * time.Millisecond
)

type InstanceSpec struct {
	Name       string
	DataCentre string
	Voter      bool
	// Disk gives a non-voter a data folder. Voters always have one.
	Disk bool
}

// InstancePlaceholder is the placeholder in Spec.ExtraTables for the name of the instance.
const InstancePlaceholder = "INSTANCE"

// Spec describes a deployment.
type Spec struct {
	Instances []InstanceSpec
	// ExtraSettings are added to the top-level keys of every settings file.
	ExtraSettings string
	// ExtraTables are TOML tables that are appended to every settings file, with InstancePlaceholder replaced by the
	// name of the instance.
	ExtraTables string
	// OperatorToken is the bearer token that Operator sends; empty in a deployment without tokens.
	OperatorToken string
	// RelayAll puts a relay into every link, not only into those between data centres.
	RelayAll bool
}

// Cluster is a deployment of local processes. Close kills every process.
type Cluster struct {
	spec      Spec
	folder    string
	binFolder string

	mu        sync.Mutex
	http      map[string]string
	peer      map[string]string
	processes map[string]*Process
	targets   map[string]*Target
	relays    map[[2]string][]*faultproxy.Relay
}

// Target is a running stand-in target.
type Target struct {
	*Process
	Address string
}

// New writes the settings files to folder and starts the relays, but no process. binFolder is the folder into which
// Build compiled the commands.
func New(spec Spec, folder, binFolder string) (*Cluster, error) {
	c := &Cluster{
		spec: spec, folder: folder, binFolder: binFolder, http: make(map[string]string), peer: make(map[string]string),
		processes: make(map[string]*Process), targets: make(map[string]*Target), relays: make(map[[2]string][]*faultproxy.Relay),
	}
	if err := c.reserveAddresses(); err != nil {
		return nil, err
	}
	for _, from := range spec.Instances {
		if err := c.writeSettings(from); err != nil {
			c.Close()
			return nil, err
		}
	}
	return c, nil
}

// clusterCount counts the clusters that this process has created.
var clusterCount atomic.Uint32

// loopbackIP returns a separate loopback address for each cluster. On 127.0.0.1 the kernel could assign a reserved port
// to an outgoing connection before the instance binds it.
func loopbackIP() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid%250, pid/250%250, 1+clusterCount.Add(1)%250)
}

// reserveAddresses lets the kernel choose the ports, since every settings file needs the addresses of all instances
// before the first one starts. The listeners are closed together at the end: the kernel could assign a port that is
// closed earlier to the next instance too.
func (c *Cluster) reserveAddresses() error {
	ip := loopbackIP()
	for _, i := range c.spec.Instances {
		for _, addresses := range []map[string]string{c.http, c.peer} {
			listener, err := net.Listen("tcp", ip+":0")
			if err != nil {
				return errors.Wrap(err, "reserve a port")
			}
			defer func() { _ = listener.Close() }()
			addresses[i.Name] = listener.Addr().String()
		}
	}
	return nil
}

func (c *Cluster) writeSettings(self InstanceSpec) error {
	var b strings.Builder
	fmt.Fprintf(&b, "cluster = \"standin\"\ninstance = %q\ndata_centre = %q\nlisten_http = %q\nlisten_peer = %q\n",
		self.Name, self.DataCentre, c.http[self.Name], c.peer[self.Name])
	if self.Voter || self.Disk {
		fmt.Fprintf(&b, "data_folder = %q\n", c.DataFolder(self.Name))
	}
	var voters []string
	for _, i := range c.spec.Instances {
		if i.Voter {
			voters = append(voters, fmt.Sprintf("%q", i.Name))
		}
	}
	fmt.Fprintf(&b, "voters = [%s]\n%s\n", strings.Join(voters, ", "), c.spec.ExtraSettings)
	for _, other := range c.spec.Instances {
		address, err := c.linkAddress(self, other, c.peer)
		if err != nil {
			return err
		}
		httpAddress, err := c.linkAddress(self, other, c.http)
		if err != nil {
			return err
		}
		fmt.Fprintf(&b, "[[peer]]\nname = %q\ndata_centre = %q\naddress = %q\nhttp_address = %q\n",
			other.Name, other.DataCentre, address, httpAddress)
	}
	b.WriteString(strings.ReplaceAll(c.spec.ExtraTables, InstancePlaceholder, self.Name))
	return errors.Wrap(os.WriteFile(c.settingsFile(self.Name), []byte(b.String()), 0o600), "write settings file")
}

// linkAddress returns the address at which one instance connects to another. Links between data centres, and with
// RelayAll all links, go through a new relay.
func (c *Cluster) linkAddress(from, to InstanceSpec, addresses map[string]string) (string, error) {
	if from.Name == to.Name || !c.spec.RelayAll && from.DataCentre == to.DataCentre {
		return addresses[to.Name], nil
	}
	r, err := faultproxy.New(addresses[to.Name])
	if err != nil {
		return "", err
	}
	link := [2]string{from.Name, to.Name}
	c.relays[link] = append(c.relays[link], r)
	return r.Addr(), nil
}

func (c *Cluster) settingsFile(name string) string { return filepath.Join(c.folder, name+".toml") }

// DataFolder returns the path of the data folder of an instance.
func (c *Cluster) DataFolder(name string) string { return filepath.Join(c.folder, name+".data") }

// StartAll starts all instances and waits until they are ready.
func (c *Cluster) StartAll() error {
	for _, i := range c.spec.Instances {
		if err := c.Start(i.Name); err != nil {
			return err
		}
	}
	for _, i := range c.spec.Instances {
		if err := c.WaitReady(i.Name); err != nil {
			return err
		}
	}
	return nil
}

// Start starts an instance, or restarts one whose process has ended.
func (c *Cluster) Start(name string) error {
	p, err := start(name, filepath.Join(c.binFolder, "tarragonhoist"), []string{"serve", "--settings", c.settingsFile(name)}, nil)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.processes[name] = p
	return nil
}

// Process returns the last started process of an instance, or nil.
func (c *Cluster) Process(name string) *Process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.processes[name]
}

// WaitReady waits until /readyz of an instance answers 200.
func (c *Cluster) WaitReady(name string) error {
	return c.Wait(name+" is ready", func() error {
		p := c.Process(name)
		if p == nil || !p.Running() {
			return errors.Errorf("process of instance %s has ended", name)
		}
		resp, err := http.Get(c.URL(name) + "/readyz")
		if err != nil {
			return err
		}
		defer func() { _ = resp.Body.Close() }()
		if resp.StatusCode != http.StatusOK {
			return errors.Errorf("/readyz answered status %d", resp.StatusCode)
		}
		return nil
	})
}

// Wait polls a condition until it returns nil, for at most waitTimeout. what completes "until" in the error.
func (c *Cluster) Wait(what string, condition func() error) error {
	deadline := time.Now().Add(waitTimeout)
	for {
		err := condition()
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) {
			return errors.Wrapf(err, "waited %s until %s", waitTimeout, what)
		}
		time.Sleep(pollInterval)
	}
}

// URL returns the base URL of an instance.
func (c *Cluster) URL(name string) string { return "http://" + c.http[name] }

// Operator returns an operator client of an instance.
func (c *Cluster) Operator(name string) *opsclient.Client {
	return opsclient.New(c.URL(name), c.spec.OperatorToken, "operator")
}

// DataCentreURLs returns the base URLs of the instances of a data centre, which are the back ends of its load balancer.
func (c *Cluster) DataCentreURLs(dataCentre string) []string {
	var urls []string
	for _, i := range c.spec.Instances {
		if i.DataCentre == dataCentre {
			urls = append(urls, c.URL(i.Name))
		}
	}
	return urls
}

// StartTarget starts a stand-in target in a data centre with additional flags and waits until it prints its address.
func (c *Cluster) StartTarget(name, dataCentre string, flags ...string) (*Target, error) {
	args := []string{"--name", name, "--data-centre", dataCentre}
	for _, url := range c.DataCentreURLs(dataCentre) {
		args = append(args, "--balancer", url)
	}
	output := make(chan []byte, 16)
	p, err := start(name, filepath.Join(c.binFolder, "hoist-target"), append(args, flags...), func(data []byte) {
		output <- append([]byte(nil), data...)
	})
	if err != nil {
		return nil, err
	}
	select {
	case line := <-output:
		var started struct {
			Address string `json:"address"`
		}
		if err := json.Unmarshal(line, &started); err != nil {
			p.Kill()
			return nil, errors.Wrapf(err, "decode first output line of target %s", name)
		}
		t := &Target{Process: p, Address: started.Address}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.targets[name] = t
		return t, nil
	case <-p.done:
		return nil, errors.Errorf("target %s ended before it printed its address: %s", name, p.Log())
	case <-time.After(waitTimeout):
		p.Kill()
		return nil, errors.Errorf("target %s printed no address within %s", name, waitTimeout)
	}
}

// Target returns a target that StartTarget started, or nil.
func (c *Cluster) Target(name string) *Target {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.targets[name]
}

// eachCrossingRelay calls f for every relay between a selected instance and one that is not, in both directions.
func (c *Cluster) eachCrossingRelay(selected func(InstanceSpec) bool, f func(*faultproxy.Relay)) {
	for _, from := range c.spec.Instances {
		for _, to := range c.spec.Instances {
			if selected(from) == selected(to) {
				continue
			}
			for _, r := range c.relays[[2]string{from.Name, to.Name}] {
				f(r)
			}
		}
	}
}

// PartitionDataCentre partitions a data centre from the others: connections break and new ones fail.
func (c *Cluster) PartitionDataCentre(name string) {
	c.eachCrossingRelay(func(i InstanceSpec) bool { return i.DataCentre == name }, (*faultproxy.Relay).Disconnect)
}

// HealDataCentre ends the partition of PartitionDataCentre.
func (c *Cluster) HealDataCentre(name string) {
	c.eachCrossingRelay(func(i InstanceSpec) bool { return i.DataCentre == name }, (*faultproxy.Relay).Heal)
}

// DeleteDataFolder deletes the data folder of an instance, which must not run.
func (c *Cluster) DeleteDataFolder(name string) error { return removeFolder(c.DataFolder(name)) }

// Leader returns the leader of a replicated log according to the status of the given instance.
func (c *Cluster) Leader(ctx context.Context, instance, group string) (string, error) {
	status, err := c.Operator(instance).Status(ctx)
	if err != nil {
		return "", err
	}
	for _, l := range status.Logs {
		if l.Group == group && l.Leader != "" {
			return l.Leader, nil
		}
	}
	return "", errors.Errorf("instance %s knows no leader of group %s", instance, group)
}

// Close kills every process by its id, also stopped (SIGSTOP) ones, and closes all relays.
func (c *Cluster) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range c.targets {
		t.resumeAndKill()
	}
	for _, p := range c.processes {
		p.resumeAndKill()
	}
	for _, relays := range c.relays {
		for _, r := range relays {
			_ = r.Close()
		}
	}
}

func (p *Process) resumeAndKill() {
	if p.Running() {
		_ = p.Signal(syscall.SIGCONT)
		p.Kill()
	}
}

// Executions returns how often the stand-in service has executed calls with each idempotency key.
func (t *Target) Executions(ctx context.Context) (map[string]int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+t.Address+target.PathExecutions, nil)
	if err != nil {
		return nil, errors.Wrap(err, "create executions request")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "read executions")
	}
	defer func() { _ = resp.Body.Close() }()
	var counts map[string]int
	return counts, errors.Wrap(json.NewDecoder(resp.Body).Decode(&counts), "decode executions")
}
