package replica

import (
	"context"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/coordination/raft"
	"github.com/tarragonhoist/tarragonhoist/state/wal"
)

// restartDelay is the time after which the platform starts a process again that has ended.
const restartDelay = 500 * time.Millisecond

// fullDisk is a file system that has no room while full is set: a write leaves half of its bytes and fails. If strict is
// set, creating, renaming, truncating and syncing fail as well.
type fullDisk struct {
	wal.OS
	strict bool
	full   atomic.Bool
}

func (d *fullDisk) check(always bool, operation, path string) error {
	if d.full.Load() && (always || d.strict) {
		return &fs.PathError{Op: operation, Path: path, Err: syscall.ENOSPC}
	}
	return nil
}

func (d *fullDisk) OpenFile(path string, flag int, mode fs.FileMode) (wal.File, error) {
	if _, err := os.Stat(path); os.IsNotExist(err) {
		if err := d.check(false, "open", path); err != nil {
			return nil, err
		}
	}
	file, err := os.OpenFile(path, flag, mode)
	return fullDiskFile{file, d}, err
}

func (d *fullDisk) Mkdir(path string, mode fs.FileMode) error {
	if err := d.check(false, "mkdir", path); err != nil {
		return err
	}
	return os.Mkdir(path, mode)
}

func (d *fullDisk) Rename(from, to string) error {
	if err := d.check(false, "rename", to); err != nil {
		return err
	}
	return os.Rename(from, to)
}

type fullDiskFile struct {
	*os.File
	disk *fullDisk
}

func (f fullDiskFile) Write(b []byte) (int, error) {
	if err := f.disk.check(true, "write", f.Name()); err != nil {
		n, _ := f.File.Write(b[:len(b)/2])
		return n, err
	}
	return f.File.Write(b)
}

// Sync syncs nothing: no test cuts the power of this disk.
func (f fullDiskFile) Sync() error { return f.disk.check(false, "sync", f.Name()) }

func (f fullDiskFile) Truncate(size int64) error {
	if err := f.disk.check(false, "truncate", f.Name()); err != nil {
		return err
	}
	return f.File.Truncate(size)
}

// machine runs the process of an instance and starts it again when it has ended.
type machine struct {
	name     string
	dir      string
	disk     fullDisk
	founders []string // for the first process
	stop     context.CancelFunc
	ended    chan struct{}

	mu      sync.Mutex
	group   *Group // nil while the process does not run
	applied *commandRecorder
	ends    int // processes that ended by themselves
}

func (m *machine) current() (*Group, *commandRecorder) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.group, m.applied
}

type machines struct {
	*network
	t    *testing.T
	list []*machine
	seed uint64
}

func (c *machines) add(name string, seeds, founders []string, strict, full bool) *machine {
	m := &machine{name: name, dir: c.t.TempDir(), founders: founders, ended: make(chan struct{})}
	m.disk.strict = strict
	m.disk.full.Store(full)
	c.list = append(c.list, m)
	var ctx context.Context
	ctx, m.stop = context.WithCancel(context.Background())
	go func() {
		defer close(m.ended)
		for ctx.Err() == nil {
			if err := c.runProcess(ctx, m, seeds); err != nil {
				if !errors.Is(err, syscall.ENOSPC) {
					c.t.Errorf("%s: %v", name, err)
				}
				m.mu.Lock()
				m.ends++
				m.mu.Unlock()
			}
			select {
			case <-time.After(restartDelay):
			case <-ctx.Done():
			}
		}
	}()
	return m
}

// runProcess runs until the process ends, and removes the data of an instance that the group has removed.
func (c *machines) runProcess(ctx context.Context, m *machine, seeds []string) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var removed atomic.Bool
	e := endpoint{c.network, m.name}
	recorder := &commandRecorder{t: c.t}
	var seed uint64
	c.withLock(func() { c.seed++; seed = c.seed })
	o := Options{Name: "config", Self: m.name, Voters: seeds, DataDir: m.dir, Files: &m.disk, Machine: recorder, Sender: e, Peers: e,
		Rand: rand.New(rand.NewPCG(seed, 1)), SnapshotEvery: 25, OnRemoved: func() { removed.Store(true); stop() }}
	dynamicOptions(false)(&o)
	o.InitialVoters, m.founders = m.founders, nil // the platform sets it for the first process only
	g, err := Open(o)
	if err != nil {
		return err
	}
	c.withLock(func() { c.groups[m.name] = g })
	m.mu.Lock()
	m.group, m.applied = g, recorder
	m.mu.Unlock()
	err = g.Run(ctx)
	c.withLock(func() { delete(c.groups, m.name) })
	m.mu.Lock()
	m.group = nil
	m.mu.Unlock()
	if removed.Load() {
		return os.RemoveAll(filepath.Join(m.dir, o.Name))
	}
	return err
}

func (c *machines) await(what string, limit time.Duration, done func() bool) {
	c.t.Helper()
	for deadline := time.Now().Add(limit); !done(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			for _, m := range c.list {
				if g, _ := m.current(); g != nil {
					c.t.Logf("%s: %+v", m.name, g.Status())
				} else {
					c.t.Logf("%s does not run", m.name)
				}
			}
			c.t.Fatalf("%s: condition not met within %v", what, limit)
		}
	}
}

func (c *machines) leader() *machine {
	for _, m := range c.list {
		if g, _ := m.current(); g != nil && g.Status().Role == "leader" {
			return m
		}
	}
	return nil
}

// waitsForPlace reports whether all places of voters are taken and the leader knows that the instance waits for one.
func (c *machines) waitsForPlace(g *Group) bool {
	l := c.leader()
	if l == nil {
		return false
	}
	leader, _ := l.current()
	return leader != nil && len(leader.Status().Voters) == raft.MaxVoters && slices.Contains(leader.Status().Reachability.Waiting, g.Status().ID)
}

func (c *machines) stopAll() {
	for _, m := range c.list {
		m.stop()
	}
	for _, m := range c.list {
		<-m.ended
	}
}

// changes proposes commands, at another instance each time, until stopped.
type changes struct {
	mu           sync.Mutex
	acknowledged []string
	stop, ended  chan struct{}
}

func (c *machines) startChanges() *changes {
	r := &changes{stop: make(chan struct{}), ended: make(chan struct{})}
	go func() {
		defer close(r.ended)
		for i := 0; ; i++ {
			select {
			case <-r.stop:
				return
			case <-time.After(100 * time.Millisecond):
			}
			g, _ := c.list[i%len(c.list)].current()
			if g == nil {
				continue
			}
			command := fmt.Sprint("change", i)
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			_, err := g.Propose(ctx, []byte(command))
			cancel()
			if err == nil {
				r.mu.Lock()
				r.acknowledged = append(r.acknowledged, command)
				r.mu.Unlock()
			}
		}
	}()
	return r
}

// requireRecovery checks that there is a leader, that each instance acknowledges changes and that it has applied all that
// was acknowledged, within recoveryLimit.
func (c *machines) requireRecovery(r *changes) {
	c.t.Helper()
	deadline := time.Now().Add(recoveryLimit)
	c.await("a leader", time.Until(deadline), func() bool { return c.leader() != nil })
	for i, m := range c.list {
		command := fmt.Sprint("after", i)
		c.await("a change at "+m.name, time.Until(deadline), func() bool {
			g, _ := m.current()
			if g == nil {
				return false
			}
			ctx, cancel := context.WithDeadline(context.Background(), deadline)
			defer cancel()
			_, err := g.Propose(ctx, []byte(command))
			return err == nil
		})
		r.acknowledged = append(r.acknowledged, command)
	}
	for _, m := range c.list {
		c.await(m.name+" has all that was acknowledged", time.Until(deadline), func() bool {
			g, recorder := m.current()
			if g == nil {
				return false
			}
			if c.waitsForPlace(g) {
				return true // it has no log; in a deployment it gets the configuration as the gateways do
			}
			if !g.Status().CaughtUp {
				return false
			}
			list := recorder.list()
			return !slices.ContainsFunc(r.acknowledged, func(command string) bool { return !slices.Contains(list, command) })
		})
	}
	if n := len(r.acknowledged); n < 20 {
		c.t.Errorf("only %d changes were acknowledged", n)
	}
}

// runMachines runs n instances, three of which are founders, in virtual time.
func runMachines(t *testing.T, n int, strict, fullAtStart bool, test func(c *machines, r *changes)) {
	t.Helper()
	runInVirtualTime(t, func(inner *cluster) {
		c := &machines{network: inner.network, t: inner.t, seed: uint64(n)}
		defer c.stopAll()
		names := []string{"a", "b", "c"}
		for i := range n {
			name, founders := fmt.Sprint("m", i), []string(nil)
			if i < len(names) {
				name, founders = names[i], slices.Clone(names)
			}
			full := fullAtStart && (i == 1 || i == len(names))
			m := c.add(name, names, founders, strict, full)
			if full {
				time.AfterFunc(3*time.Second, func() { m.disk.full.Store(false) })
			}
		}
		c.await("all places are taken", 25*time.Second, func() bool {
			l := c.leader()
			if l == nil {
				return false
			}
			g, _ := l.current()
			return g != nil && len(g.Status().Voters) == min(n, 7)
		})
		r := c.startChanges()
		time.Sleep(time.Second)
		test(c, r)
		close(r.stop)
		<-r.ended
		c.requireRecovery(r)
	}, "a", "b", "c")
}

func permutations(n int) [][]int {
	if n == 0 {
		return [][]int{nil}
	}
	var all [][]int
	for _, p := range permutations(n - 1) {
		for at := range n {
			all = append(all, slices.Insert(slices.Clone(p), at, n-1))
		}
	}
	return all
}

// Guards against a group that refuses changes, or leaves them unanswered, after the disks of its instances were full one
// after the other, and against instances that don't come back by themselves once there is room, or lose what was
// acknowledged. For three instances in every order, for more in some orders, and with some disks full at the first start.
func TestDisksFullOneAfterTheOther(t *testing.T) {
	for n := 3; n <= 8; n++ {
		orders := permutations(min(n, 3))
		if n > 3 {
			random := rand.New(rand.NewPCG(uint64(n), 2))
			orders = [][]int{random.Perm(n), random.Perm(n)}
		}
		for i, order := range orders {
			strict, fullAtStart := i%2 == 0, i%3 == 1
			t.Run(fmt.Sprint(order, " strict ", strict, " full at start ", fullAtStart), func(t *testing.T) {
				runMachines(t, n, strict, fullAtStart, func(c *machines, _ *changes) {
					for k, index := range order {
						m := c.list[index]
						g, _ := m.current()
						writes := g != nil && !c.waitsForPlace(g)
						m.disk.full.Store(true)
						time.Sleep(time.Duration(2000+(k*700)%2100) * time.Millisecond)
						m.disk.full.Store(false)
						time.Sleep(time.Duration(20+(k*450)%1000) * time.Millisecond)
						if m.mu.Lock(); writes && m.ends == 0 {
							t.Errorf("%s did not notice that its disk was full", m.name)
						}
						m.mu.Unlock()
					}
				})
			})
		}
	}
}

// Guards against a leader that keeps its role and its heartbeats while it can't write: the changes would wait for as long
// as its disk is full.
func TestChangesWhileTheDiskOfTheLeaderIsFull(t *testing.T) {
	for n := 3; n <= 8; n++ {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			runMachines(t, n, n%2 == 0, false, func(c *machines, r *changes) {
				for range 4 {
					c.await("a leader", recoveryLimit, func() bool { return c.leader() != nil })
					l := c.leader()
					l.disk.full.Store(true)
					time.Sleep(2 * time.Second)
					r.mu.Lock()
					before := len(r.acknowledged)
					r.mu.Unlock()
					time.Sleep(2 * time.Second)
					r.mu.Lock()
					during := len(r.acknowledged) - before
					r.mu.Unlock()
					if during < 5 {
						t.Errorf("%d changes were acknowledged in 2 s, 2 s after the disk of %s became full", during, l.name)
					}
					if c.leader() == l {
						t.Errorf("%s leads with a full disk", l.name)
					}
					l.disk.full.Store(false)
					time.Sleep(300 * time.Millisecond)
				}
			})
		})
	}
}

// Guards against an instance that lives on with a log that refuses writes, or as a member of a cluster that its disk does
// not name, because an error of the disk was answered to the founder of a group instead of ending the process.
func TestFullDiskWhileGroupIsFounded(t *testing.T) {
	for _, strict := range []bool{false, true} {
		runInVirtualTime(t, func(c *cluster) {
			disk := &fullDisk{strict: strict}
			dir := c.t.TempDir()
			open := func() (*Group, chan error) {
				e := endpoint{c.network, "b"}
				g, err := Open(Options{Name: "config", Self: "b", Voters: c.voters, DataDir: dir, Files: disk,
					Machine: &commandRecorder{t: c.t}, Sender: e, Peers: e})
				if err != nil {
					c.t.Fatal(err)
				}
				ended := make(chan error, 1)
				ctx, stop := context.WithCancel(context.Background())
				context.AfterFunc(c.t.Context(), stop)
				go func() { ended <- g.Run(ctx) }()
				return g, ended
			}
			g, ended := open()
			id := g.Status().ID
			found := ProposeRequest{Kind: RequestBootstrap, Cluster: "x", Voters: []string{"a@1", id, "c@1"}}
			disk.full.Store(true)
			if response, _ := g.HandlePropose(c.t.Context(), found); response.Outcome == OutcomeDone {
				c.t.Fatal("a member was founded on a full disk")
			}
			select {
			case err := <-ended:
				if !errors.Is(err, syscall.ENOSPC) {
					c.t.Fatalf("the group ended with %v, want ENOSPC", err)
				}
			case <-time.After(5 * time.Second):
				c.t.Fatalf("the group still runs 5 s after it could not write, with status %+v", g.Status())
			}
			disk.full.Store(false)
			g, ended = open()
			if s := g.Status(); s.ID != id || s.Cluster != "" {
				c.t.Fatalf("status %+v after the start, want id %s and no cluster", s, id)
			}
			if response, err := g.HandlePropose(c.t.Context(), found); response.Outcome != OutcomeDone {
				c.t.Fatalf("response %+v, error %v once there is room", response, err)
			}
			select {
			case err := <-ended:
				c.t.Fatalf("the group ended: %v", err)
			case <-time.After(5 * time.Second):
			}
		}, "a", "b", "c")
	}
}
