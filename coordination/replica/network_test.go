package replica

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/coordination/raft"
)

const linkDelay = time.Millisecond

// network connects the replicas of a test. Messages, requests and responses are encoded and decoded on the way.
type network struct {
	t        *testing.T
	mu       sync.Mutex
	groups   map[string]*Group
	isolated map[string]bool
	// split contains the instances on one side of a partition in two.
	split map[string]bool
	// muted contains the instances that receive everything and whose messages, requests and responses are lost.
	muted map[string]bool
	// dialTimeout is the time after which a request to an instance that can't be reached fails.
	dialTimeout time.Duration
	loss        func(m *raft.Message) bool
	// dropResponses contains the instances that receive proposals, but whose responses are lost.
	dropResponses        map[string]bool
	largestFetchResponse int // encoded size of the largest FetchResponse
}

func newNetwork(t *testing.T) *network {
	return &network{t: t, groups: map[string]*Group{}, isolated: map[string]bool{}, split: map[string]bool{}, muted: map[string]bool{}, dropResponses: map[string]bool{}}
}

func (n *network) reachableGroup(from, to string) *Group {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.isolated[from] || n.isolated[to] || n.split[from] != n.split[to] || n.muted[from] {
		return nil
	}
	return n.groups[to]
}

// awaitDialTimeout waits as a request does that gets no response to its first packet.
func (n *network) awaitDialTimeout(ctx context.Context) {
	n.mu.Lock()
	timeout := n.dialTimeout
	n.mu.Unlock()
	if timeout == 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(timeout):
	}
}

func (n *network) withLock(change func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change()
}

func jsonRoundTrip[T any](v T) T {
	var decoded T
	b, err := json.Marshal(v)
	if err == nil {
		err = json.Unmarshal(b, &decoded)
	}
	if err != nil {
		panic(err)
	}
	return decoded
}

type endpoint struct {
	n    *network
	name string
}

func (e endpoint) Send(peer string, m raft.Message) {
	b, err := cbor.Marshal(m)
	if err != nil {
		panic(err)
	}
	time.AfterFunc(linkDelay, func() {
		var decoded raft.Message
		if err := cbor.Unmarshal(b, &decoded); err != nil {
			panic(err)
		}
		e.n.mu.Lock()
		lost := e.n.loss != nil && e.n.loss(&decoded)
		e.n.mu.Unlock()
		if g := e.n.reachableGroup(e.name, peer); g != nil && !lost {
			g.HandleMessage(decoded)
		}
	})
}

func (e endpoint) Propose(ctx context.Context, peer string, r ProposeRequest) (ProposeResponse, error) {
	g := e.n.reachableGroup(e.name, peer)
	if g == nil {
		e.n.awaitDialTimeout(ctx)
		return ProposeResponse{}, errors.Wrap(ErrNotRun, "no connection")
	}
	time.Sleep(linkDelay)
	response, err := g.HandlePropose(ctx, jsonRoundTrip(r))
	e.n.mu.Lock()
	lost := e.n.dropResponses[peer]
	e.n.mu.Unlock()
	if lost || e.n.reachableGroup(e.name, peer) == nil || e.n.reachableGroup(peer, e.name) == nil {
		return ProposeResponse{}, errors.New("connection lost")
	}
	return jsonRoundTrip(response), err
}

func (e endpoint) Fetch(ctx context.Context, peer string, r FetchRequest) (FetchResponse, error) {
	g := e.n.reachableGroup(e.name, peer)
	if g == nil {
		return FetchResponse{}, errors.Wrap(ErrNotRun, "no connection")
	}
	time.Sleep(linkDelay)
	response, err := g.HandleFetch(ctx, jsonRoundTrip(r))
	if err == nil {
		asJSON, _ := json.Marshal(response)
		asCBOR, _ := cbor.Marshal(response)
		e.n.withLock(func() { e.n.largestFetchResponse = max(e.n.largestFetchResponse, len(asJSON), len(asCBOR)) })
	}
	return jsonRoundTrip(response), err
}

// commandRecorder is a state machine that records every command that it applied.
type commandRecorder struct {
	mu       sync.Mutex
	commands []string
	last     uint64
	t        *testing.T
}

func (r *commandRecorder) Apply(index uint64, command []byte) ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if index <= r.last {
		r.t.Errorf("entry %d applied after %d", index, r.last)
	}
	r.last = index
	if string(command) == "bad" {
		return nil, errors.New("bad command")
	}
	r.commands = append(r.commands, string(command))
	return fmt.Append(nil, len(r.commands)), nil
}

func (r *commandRecorder) Snapshot() ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return json.Marshal(r.commands)
}

func (r *commandRecorder) Restore(data []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.commands = nil
	return json.Unmarshal(data, &r.commands)
}

func (r *commandRecorder) list() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.commands)
}

// instance is one process with its data folder.
type instance struct {
	*Group
	machine *commandRecorder
	opts    Options
	stop    context.CancelFunc
	ended   chan struct{}
}

type cluster struct {
	*network
	voters        []string
	instances     map[string]*instance
	dirs          map[string]string
	adjustOptions func(*Options)
	seed          uint64
}

func newCluster(t *testing.T, voters ...string) *cluster {
	return &cluster{network: newNetwork(t), voters: voters, instances: map[string]*instance{}, dirs: map[string]string{}}
}

func (c *cluster) start(names ...string) {
	for _, name := range names {
		if c.dirs[name] == "" {
			c.dirs[name] = c.t.TempDir()
		}
		c.startIn(name, c.dirs[name])
	}
}

func (c *cluster) startIn(name, dir string) {
	c.t.Helper()
	c.seed++
	e := endpoint{c.network, name}
	i := &instance{machine: &commandRecorder{t: c.t}, ended: make(chan struct{})}
	i.opts = Options{Name: "config", Self: name, Voters: c.voters, DataDir: dir, Machine: i.machine, Sender: e, Peers: e,
		Rand: rand.New(rand.NewPCG(c.seed, 1))}
	if c.adjustOptions != nil {
		c.adjustOptions(&i.opts)
	}
	g, err := Open(i.opts)
	if err != nil {
		c.t.Fatal(err)
	}
	i.Group = g
	var ctx context.Context
	ctx, i.stop = context.WithCancel(context.Background())
	go func() {
		defer close(i.ended)
		if err := g.Run(ctx); err != nil {
			c.t.Errorf("%s: %v", name, err)
		}
	}()
	c.withLock(func() { c.groups[name] = g })
	c.instances[name] = i
}

func (c *cluster) stop(name string) {
	c.withLock(func() { delete(c.groups, name) })
	c.instances[name].stop()
	<-c.instances[name].ended
	delete(c.instances, name)
}

// loseDisk stops an instance and restarts it with an empty folder.
func (c *cluster) loseDisk(name string) {
	c.stop(name)
	c.dirs[name] = c.t.TempDir()
	c.start(name)
}

func (c *cluster) stopAll() {
	for _, name := range slices.Collect(maps.Keys(c.instances)) {
		c.stop(name)
	}
}

// await polls a condition in virtual time and fails the test if it does not hold within the limit.
func (c *cluster) await(what string, limit time.Duration, done func() bool) {
	c.t.Helper()
	for deadline := time.Now().Add(limit); !done(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			for name, i := range c.instances {
				c.t.Logf("%s: %+v", name, i.Status())
			}
			c.t.Fatalf("%s: condition not met within %v", what, limit)
		}
	}
}

func (c *cluster) leader() *instance {
	for _, i := range c.instances {
		if i.Status().Role == "leader" && !c.isolated[i.opts.Self] {
			return i
		}
	}
	return nil
}

func (c *cluster) awaitLeader() *instance {
	c.t.Helper()
	c.await("a leader", 10*time.Second, func() bool { return c.leader() != nil })
	return c.leader()
}

func (c *cluster) awaitVoters(names ...string) {
	c.t.Helper()
	c.await(fmt.Sprint("voters ", names), 20*time.Second, func() bool {
		for _, name := range names {
			s := c.instances[name].Status()
			if !s.Voter || len(s.Voters) != len(names) || len(s.Learners) != 0 {
				return false
			}
		}
		return true
	})
}

func (c *cluster) propose(name, command string) string {
	c.t.Helper()
	result, err := c.instances[name].Propose(context.Background(), []byte(command))
	if err != nil {
		c.t.Fatalf("propose %q on %s: %v", command, name, err)
	}
	return string(result)
}

func (c *cluster) awaitCommands(want []string, names ...string) {
	c.t.Helper()
	for _, name := range names {
		c.await(name+" has applied all commands", 30*time.Second, func() bool {
			return slices.Equal(c.instances[name].machine.list(), want)
		})
	}
}

// runInVirtualTime runs a test in virtual time and stops its instances at the end.
func runInVirtualTime(t *testing.T, test func(c *cluster), voters ...string) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, voters...)
		defer c.stopAll()
		test(c)
	})
}
