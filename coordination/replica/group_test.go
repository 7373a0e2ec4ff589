package replica

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/coordination/raft"
)

// Guards against a group of one voter that waits for an election timeout before it accepts a proposal, or that loses
// its applied index in a restart.
func TestSingleVoter(t *testing.T) {
	runInVirtualTime(t, func(c *cluster) {
		c.start("a")
		began := time.Now()
		c.propose("a", "x")
		if waited := time.Since(began); waited > 200*time.Millisecond {
			t.Fatalf("first proposal took %v", waited)
		}
		applied := c.instances["a"].Status().Applied
		c.stop("a")
		c.start("a")
		if again := c.instances["a"].Status().Applied; again < applied {
			t.Fatalf("applied index went back from %d to %d", applied, again)
		}
		c.propose("a", "y")
		c.awaitCommands([]string{"x", "y"}, "a")
	}, "a")
}

// Guards against proposals that fail, or are applied in different order, when they are made on followers and learners.
func TestProposeAnywhere(t *testing.T) {
	runInVirtualTime(t, func(c *cluster) {
		c.start("a", "b", "c", "learner")
		c.awaitLeader()
		var want []string
		for i, name := range []string{"a", "b", "c", "learner", "a"} {
			command := fmt.Sprint("command ", i)
			want = append(want, command)
			if got := c.propose(name, command); got != fmt.Sprint(i+1) {
				t.Fatalf("proposal returned %q, want the number %d of applied commands", got, i+1)
			}
		}
		if err := c.instances["learner"].Barrier(context.Background()); err != nil {
			t.Fatal(err)
		}
		if got := c.instances["learner"].machine.list(); len(got) != len(want) {
			t.Fatalf("the barrier returned before the learner had applied %v; it has %v", want, got)
		}
		c.awaitCommands(want, "a", "b", "c", "learner")
	}, "a", "b", "c")
}

// Guards against instances that after a restart without any reachable peer have applied less than before.
func TestRestartKeepsAppliedIndex(t *testing.T) {
	runInVirtualTime(t, func(c *cluster) {
		names := []string{"a", "b", "c", "learner"}
		c.start(names...)
		c.awaitLeader()
		var want []string
		for i := range 30 {
			want = append(want, fmt.Sprint(i))
			c.propose("b", want[i])
		}
		c.awaitCommands(want, names...)
		applied := map[string]uint64{}
		for _, name := range names {
			applied[name] = c.instances[name].Status().Applied
			c.stop(name)
		}
		c.withLock(func() {
			for _, name := range names {
				c.isolated[name] = true
			}
		})
		c.start(names...)
		for _, name := range names {
			if got := c.instances[name].Status().Applied; got < applied[name] {
				t.Errorf("%s: applied index went back from %d to %d", name, applied[name], got)
			}
			if got := c.instances[name].machine.list(); !slices.Equal(got, want) {
				t.Errorf("%s: commands after a restart without any reachable peer: %v", name, got)
			}
		}
	}, "a", "b", "c")
}

// Guards against a voter that lost its disk and is counted as its former member, also if it bootstrapped the group, and
// against commands that are lost when a second voter loses its disk after the first one has caught up.
func TestVoterWithLostDiskRejoinsAsNewMember(t *testing.T) {
	for _, first := range []string{"a", "b"} {
		t.Run(first, func(t *testing.T) {
			runInVirtualTime(t, func(c *cluster) {
				c.start("a", "b", "c")
				c.awaitVoters("a", "b", "c")
				want := []string{"x"}
				c.propose("c", "x")
				for _, name := range []string{first, "c"} {
					oldCluster := c.instances["b"].Status().Cluster
					old := c.instances[name].Status().ID
					c.loseDisk(name)
					c.awaitVoters("a", "b", "c")
					s := c.instances[name].Status()
					if s.ID == old || s.Cluster != oldCluster {
						t.Fatalf("%s rejoined as %s of cluster %s, was %s of cluster %s", name, s.ID, s.Cluster, old, oldCluster)
					}
					want = append(want, "after "+name)
					c.propose(name, "after "+name)
					c.awaitCommands(want, "a", "b", "c")
				}
			}, "a", "b", "c")
		})
	}
}

// Guards against voters with lost disks that bootstrap a second cluster, or elect a leader, while the only member that
// still has the data is unreachable.
func TestVotersWithLostDisksDoNotBootstrap(t *testing.T) {
	runInVirtualTime(t, func(c *cluster) {
		c.start("a", "b", "c")
		c.awaitVoters("a", "b", "c")
		c.propose("a", "x")
		c.awaitCommands([]string{"x"}, "a", "b", "c")
		c.withLock(func() { c.isolated["c"] = true })
		c.loseDisk("a")
		c.loseDisk("b")
		time.Sleep(time.Minute)
		for _, name := range []string{"a", "b"} {
			if s := c.instances[name].Status(); s.Cluster != "" || s.Role == "leader" || s.Problem == "" {
				t.Fatalf("%s with an empty disk: status %+v, want no cluster, no leader and a problem", name, s)
			}
		}
		if _, err := c.instances["a"].Propose(context.Background(), []byte("y")); !errors.Is(err, ErrNoQuorum) {
			t.Fatalf("proposal without a quorum returned %v, want ErrNoQuorum", err)
		}
	}, "a", "b", "c")
}

// Guards against a group that is bootstrapped while a voter is unreachable or has other voters in its settings.
func TestBootstrapNeedsAllVotersWithSameSettings(t *testing.T) {
	runInVirtualTime(t, func(c *cluster) {
		c.start("a", "b")
		time.Sleep(30 * time.Second)
		if s := c.instances["a"].Status(); s.Cluster != "" || !strings.Contains(s.Problem, "voter c is unreachable") {
			t.Fatalf("status of a while c is unreachable: %+v, want no cluster and a problem that names c", s)
		}
		c.voters = []string{"a", "c"}
		c.start("c")
		time.Sleep(30 * time.Second)
		if s := c.instances["a"].Status(); s.Cluster != "" || !strings.Contains(s.Problem, "in its settings") {
			t.Fatalf("status of a while c has other voters: %+v, want no cluster and a problem about the settings", s)
		}
		c.voters = []string{"a", "b", "c"}
		c.stop("c")
		c.start("c")
		c.awaitVoters("a", "b", "c")
	}, "a", "b", "c")
}

// Guards against a cluster whose members are unknown because the voter that bootstrapped it lost its disk immediately
// afterwards.
func TestClusterSurvivesLostDiskAfterBootstrap(t *testing.T) {
	runInVirtualTime(t, func(c *cluster) {
		c.start("a", "b", "c")
		c.await("another voter belongs to the new cluster", time.Minute, func() bool {
			return c.instances["b"].Status().Cluster != "" || c.instances["c"].Status().Cluster != ""
		})
		c.loseDisk("a")
		c.awaitVoters("a", "b", "c")
		c.propose("a", "x")
	}, "a", "b", "c")
}

// Guards against ErrNoQuorum for a command that may be in a log, ErrUnknownResult for one that cannot be, and a
// repeated command that is applied twice after a partition.
func TestErrorsWithoutQuorum(t *testing.T) {
	runInVirtualTime(t, func(c *cluster) {
		c.start("a", "b", "c", "learner")
		l := c.awaitLeader()
		c.propose("learner", "x")
		others := slices.DeleteFunc([]string{"a", "b", "c"}, func(name string) bool { return name == l.opts.Self })
		c.withLock(func() { c.isolated[l.opts.Self] = true })
		_, err := l.ProposeWithID(context.Background(), "on the old leader", []byte("y"))
		if !errors.Is(err, ErrUnknownResult) {
			t.Fatalf("proposal on the isolated leader returned %v, want ErrUnknownResult", err)
		}
		if _, err := l.Propose(context.Background(), []byte("never")); !errors.Is(err, ErrNoQuorum) {
			t.Fatalf("proposal on the deposed leader returned %v, want ErrNoQuorum", err)
		}
		if err := l.Barrier(context.Background()); !errors.Is(err, ErrNoQuorum) {
			t.Fatalf("barrier without a quorum returned %v, want ErrNoQuorum", err)
		}
		c.await("another leader", 10*time.Second, func() bool { return c.leader() != nil })
		c.withLock(func() { clear(c.isolated); c.isolated[others[0]], c.isolated[others[1]] = true, true })
		if _, err := c.instances["learner"].Propose(context.Background(), []byte("never")); !errors.Is(err, ErrNoQuorum) {
			t.Fatalf("proposal on a learner without a quorum returned %v, want ErrNoQuorum", err)
		}
		c.withLock(func() { clear(c.isolated) })
		for range 2 {
			if r, err := l.ProposeWithID(context.Background(), "on the old leader", []byte("y")); err != nil || string(r) != "2" {
				t.Fatalf("repeated command after the partition: result %q, error %v, want result 2", r, err)
			}
		}
		c.awaitCommands([]string{"x", "y"}, "a", "b", "c", "learner")
	}, "a", "b", "c")
}

// Guards against a command that is applied twice because the response was lost and the proposer retried.
func TestLostResponseDoesNotRepeatCommand(t *testing.T) {
	runInVirtualTime(t, func(c *cluster) {
		c.start("a", "b", "c", "learner")
		l := c.awaitLeader()
		c.withLock(func() { c.dropResponses[l.opts.Self] = true })
		time.AfterFunc(time.Second, func() { c.withLock(func() { clear(c.dropResponses) }) })
		if got := c.propose("learner", "x"); got != "1" {
			t.Fatalf("result %q", got)
		}
		if _, err := c.instances["learner"].Propose(context.Background(), []byte("bad")); err == nil || err.Error() != "bad command" {
			t.Fatalf("rejected command returned %v, want the error of the state machine", err)
		}
		c.withLock(func() { c.dropResponses = map[string]bool{"a": true, "b": true, "c": true} })
		if _, err := c.instances["learner"].Propose(context.Background(), []byte("y")); !errors.Is(err, ErrUnknownResult) {
			t.Fatalf("command whose responses were lost returned %v, want ErrUnknownResult", err)
		}
		c.awaitCommands([]string{"x", "y"}, "a", "b", "c", "learner")
	}, "a", "b", "c")
}

// Guards against a proposer that waits for an entry that a new leader has overwritten, instead of proposing again.
func TestOverwrittenProposalIsRetried(t *testing.T) {
	runInVirtualTime(t, func(c *cluster) {
		c.start("a", "b", "c")
		l := c.awaitLeader()
		c.awaitVoters("a", "b", "c")
		c.withLock(func() { c.isolated[l.opts.Self] = true })
		time.AfterFunc(3*time.Second, func() { c.withLock(func() { clear(c.isolated) }) })
		if got := c.propose(l.opts.Self, "x"); got != "1" {
			t.Fatalf("result %q", got)
		}
		c.awaitCommands([]string{"x"}, "a", "b", "c")
	}, "a", "b", "c")
}

// Guards against accepting messages and requests of another cluster, or messages addressed to an earlier incarnation of
// the disk.
func TestMessagesOfOtherClustersAreRefused(t *testing.T) {
	runInVirtualTime(t, func(c *cluster) {
		c.start("a")
		a := c.instances["a"]
		m := raft.Message{Type: raft.MsgAppend, Cluster: "other", From: "b@1", To: "a@old", Term: 9}
		a.HandleMessage(m)
		time.Sleep(time.Second)
		if s := a.Status(); s.Cluster != "" {
			t.Fatalf("joined the cluster of a message for an earlier incarnation of the disk: status %+v", s)
		}
		c.start("b")
		c.awaitVoters("a", "b")
		m.To = a.Status().ID
		a.HandleMessage(m)
		time.Sleep(time.Second)
		if term := a.Status().Term; term >= m.Term {
			t.Fatalf("term %d after a message of another cluster", term)
		}
		r := ProposeRequest{Kind: RequestCommand, ID: "x", Command: []byte("x"), Cluster: "other"}
		if response, err := c.awaitLeader().HandlePropose(context.Background(), r); err != nil || response.Outcome != OutcomeRefused {
			t.Fatalf("command for another cluster: %+v, error %v", response, err)
		}
	}, "a", "b")
}

// Guards against instances that cannot catch up after hundreds of entries, with snapshots and entries that do not fit
// into one response, and against fetch responses above the size limit.
func TestCatchUpAfterHundredsOfEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, "a", "b", "c")
		c.adjustOptions = func(o *Options) { o.SnapshotEvery = 100 }
		defer c.stopAll()
		c.start("a", "b", "c", "learner", "other")
		c.awaitVoters("a", "b", "c")
		c.propose("a", "first")
		want := []string{"first"}
		c.awaitCommands(want, "learner", "other")
		c.stop("learner")
		c.stop("c")
		c.withLock(func() { c.isolated["other"] = true })
		for i := range 700 {
			command := fmt.Sprint("command ", i)
			if i%100 == 99 {
				command = strings.Repeat(fmt.Sprint(i%7), 150<<10)
			}
			want = append(want, command)
			c.propose("a", command)
		}
		c.start("c", "learner")
		c.withLock(func() { clear(c.isolated) })
		c.awaitCommands(want, "a", "b", "c", "learner", "other")
		c.propose("learner", strings.Repeat("z", 200<<10))
		want = append(want, strings.Repeat("z", 200<<10))
		c.awaitCommands(want, "a", "b", "c", "learner", "other")
		if c.largestFetchResponse > MaxFetchBytes || c.largestFetchResponse < MaxFetchBytes/2 {
			t.Fatalf("largest fetch response is %d bytes, want between half the limit of %d bytes and the limit", c.largestFetchResponse, MaxFetchBytes)
		}
		applied := c.instances["learner"].Status().Applied
		c.stop("learner")
		c.withLock(func() { c.isolated["learner"] = true })
		c.start("learner")
		if s := c.instances["learner"].Status(); s.Applied < applied || s.CaughtUp {
			t.Fatalf("learner after a restart without a parent: %+v, applied before %d", s, applied)
		}
	})
}

// Guards against learners that can pull only from voters, that do not move on from an unreachable parent, or that need
// a disk.
func TestLearnerPullsFromLearner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, "a")
		c.adjustOptions = func(o *Options) {
			if o.Self == "leaf" {
				o.DataDir = ""
				o.Parents = func() []string { return []string{"gone", "middle"} }
			}
		}
		defer c.stopAll()
		c.start("a", "middle", "leaf")
		c.propose("leaf", "x")
		c.awaitCommands([]string{"x"}, "a", "middle", "leaf")
		if err := c.instances["leaf"].Barrier(context.Background()); err != nil {
			t.Fatal(err)
		}
		if s := c.instances["leaf"].Status(); !s.CaughtUp || s.Voter || s.Role != "learner" {
			t.Fatalf("status of leaf: %+v, want a learner that has caught up", s)
		}
	})
}

// Guards against a group that waits for an election timeout although its leader stopped gracefully.
func TestStoppingLeaderTransfersLeadership(t *testing.T) {
	runInVirtualTime(t, func(c *cluster) {
		c.start("a", "b", "c")
		c.awaitVoters("a", "b", "c")
		c.propose("a", "x")
		old := c.awaitLeader()
		began := time.Now()
		old.stop()
		<-old.ended
		c.stop(old.opts.Self)
		c.propose(slices.Collect(maps.Keys(c.instances))[0], "y")
		if waited := time.Since(began); waited > 500*time.Millisecond {
			t.Fatalf("first proposal after the leader stopped took %v", waited)
		}
	}, "a", "b", "c")
}

// Guards against a group to which no voters can be added, and a learner that cannot become a voter with the entries
// that it pulled.
func TestAddVoters(t *testing.T) {
	runInVirtualTime(t, func(c *cluster) {
		c.start("a", "b")
		c.propose("b", "x")
		c.awaitCommands([]string{"x"}, "a", "b")
		c.voters = []string{"a", "b", "c"}
		c.stop("a")
		c.stop("b")
		c.start("a", "b", "c")
		c.awaitVoters("a", "b", "c")
		c.stop("a")
		c.propose("c", "y")
		c.awaitCommands([]string{"x", "y"}, "b", "c")
	}, "a")
}

// Guards against a removed voter that rejoins with its old disk, or that cannot join with a new one.
func TestRemovedVoterDoesNotRejoin(t *testing.T) {
	runInVirtualTime(t, func(c *cluster) {
		c.start("a", "b", "c")
		c.awaitVoters("a", "b", "c")
		if err := c.instances["a"].Remove(context.Background(), "c"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Second)
		s := c.awaitLeader().Status()
		if len(s.Voters) != 2 || len(s.Learners) != 0 {
			t.Fatalf("status of the leader after the removal of c: %+v, want two voters and no learner", s)
		}
		c.propose("c", "x")
		c.loseDisk("c")
		c.awaitVoters("a", "b", "c")
	}, "a", "b", "c")
}

// Guards against opening a folder of another instance, or one whose log or identity file is missing or damaged.
func TestDamagedFolders(t *testing.T) {
	for name, damage := range map[string]func(folder string) error{
		"log is missing":              func(f string) error { return os.RemoveAll(filepath.Join(f, logFolder)) },
		"identity is missing":         func(f string) error { return os.Remove(filepath.Join(f, identityFile)) },
		"identity is damaged":         func(f string) error { return os.WriteFile(filepath.Join(f, identityFile), []byte{1}, 0o600) },
		"belongs to another instance": func(string) error { return nil },
	} {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, func(c *cluster) {
				c.start("a")
				c.propose("a", "x")
				c.stop("a")
				opts := Options{Name: "config", Self: "a", Voters: []string{"a"}, DataDir: c.dirs["a"], Machine: &commandRecorder{t: t},
					Sender: endpoint{}, Peers: endpoint{}}
				if name == "belongs to another instance" {
					opts.Self, opts.Voters = "b", []string{"b"}
				}
				if err := damage(filepath.Join(c.dirs["a"], "config")); err != nil {
					t.Fatal(err)
				}
				if _, err := Open(opts); err == nil {
					t.Fatal("Open accepted the folder")
				}
			}, "a")
		})
	}
}

// Guards against lost, duplicate or differently ordered commands while voters restart, disks are lost and messages are
// dropped under load from an instance that is not a voter.
func TestLoadWithFailures(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { loadWithFailures(t, seed) })
		})
	}
}

func loadWithFailures(t *testing.T, seed uint64) {
	c := newCluster(t, "a", "b", "c")
	c.seed = seed * 1000
	c.adjustOptions = func(o *Options) { o.SnapshotEvery = 40 }
	defer c.stopAll()
	c.start("a", "b", "c", "learner")
	c.awaitVoters("a", "b", "c")
	random := rand.New(rand.NewPCG(seed, 7))
	losses := rand.New(rand.NewPCG(seed, 8)) // used under the lock of the network
	c.withLock(func() { c.loss = func(*raft.Message) bool { return losses.IntN(20) == 0 } })
	outcomes := startLoad(c.instances["learner"])
	for range 12 {
		name := c.voters[random.IntN(3)]
		if random.IntN(3) == 0 {
			c.loseDisk(name)
		} else {
			c.stop(name)
			time.Sleep(time.Duration(random.IntN(3000)) * time.Millisecond)
			c.start(name)
		}
		c.awaitVoters("a", "b", "c")
	}
	// With half of the messages lost, the last proposals often time out while their entries are in the leader's log.
	c.withLock(func() { c.loss = func(*raft.Message) bool { return losses.IntN(2) == 0 } })
	outcomes.done.Wait()
	c.withLock(func() { c.loss = nil })
	// Entries of proposals that timed out can be committed after a barrier, but not after a later command of the same log.
	c.propose("learner", "last")
	if err := c.instances["learner"].Barrier(context.Background()); err != nil {
		t.Fatal(err)
	}
	want := c.instances["learner"].machine.list()
	c.awaitCommands(want, "a", "b", "c")
	outcomes.check(t, want)
}

// loadOutcomes records the results that several proposers on one instance got for their commands.
type loadOutcomes struct {
	done              sync.WaitGroup
	mu                sync.Mutex
	accepted, refused map[string]bool
}

// startLoad starts goroutines that propose commands on one instance.
func startLoad(g *instance) *loadOutcomes {
	l := &loadOutcomes{accepted: map[string]bool{}, refused: map[string]bool{}}
	for proposer := range 4 {
		l.done.Go(func() {
			for i := range 60 {
				time.Sleep(time.Duration(100*proposer+i) * time.Millisecond)
				command := fmt.Sprint(proposer, "-", i)
				// Two of the proposers have a short timeout, so that success, ErrNoQuorum and ErrUnknownResult all occur.
				limit := []time.Duration{time.Minute, 40 * time.Millisecond}[proposer%2]
				ctx, cancel := context.WithTimeout(context.Background(), limit)
				_, err := g.Propose(ctx, []byte(command))
				cancel()
				l.mu.Lock()
				l.accepted[command], l.refused[command] = err == nil, errors.Is(err, ErrNoQuorum)
				l.mu.Unlock()
			}
		})
	}
	return l
}

// check compares the outcomes with the applied commands: no command applied twice, no accepted one missing, none
// applied that returned ErrNoQuorum.
func (l *loadOutcomes) check(t *testing.T, applied []string) {
	times := map[string]int{}
	for _, command := range applied {
		times[command]++
	}
	t.Logf("%d commands, %d applied", len(l.accepted), len(applied))
	if len(applied) < len(l.accepted)/2 {
		t.Errorf("only %d of %d commands were applied", len(applied), len(l.accepted))
	}
	for command, ok := range l.accepted {
		if times[command] > 1 || ok && times[command] == 0 || l.refused[command] && times[command] > 0 {
			t.Errorf("command %s: accepted %v, refused %v, applied %d times", command, ok, l.refused[command], times[command])
		}
	}
}
