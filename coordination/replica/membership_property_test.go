package replica

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/tarragonhoist/tarragonhoist/coordination/raft"
)

// fleet is a dynamic group on machines that are replaced, removed, wiped, cut off and restarted. At most faultTolerance
// of them are lost at a time; a machine stays lost for catchUpLimit after it is back or its successor has started.
type fleet struct {
	*cluster
	faultTolerance int
	lostUntil      map[string]time.Time // by name; in the far future while the machine is away
	acknowledged   []string
	removed        chan string // instances that were told of their removal
	sequence       int
	began          time.Time
	logMu          sync.Mutex
	log            []string
}

// startupTime is the time between the first start of the machines and the first fault.
const startupTime = 14 * time.Second

// never is the end of a loss that goes on.
const never = 1000 * time.Hour

func (f *fleet) logf(format string, args ...any) {
	f.logMu.Lock()
	defer f.logMu.Unlock()
	f.log = append(f.log, fmt.Sprintf("%6.2f ", time.Since(f.began).Seconds())+fmt.Sprintf(format, args...))
}

// pause waits, and restarts instances that were removed, as the daemon does.
func (f *fleet) pause(d time.Duration) {
	for end := time.Now().Add(d); ; time.Sleep(50 * time.Millisecond) {
		select {
		case name := <-f.removed:
			f.restartRemoved(name)
		default:
		}
		if !time.Now().Before(end) {
			return
		}
	}
}

// awaitTolerance waits until count more machines may be lost.
func (f *fleet) awaitTolerance(count int) {
	for deadline := time.Now().Add(time.Minute); time.Now().Before(deadline); f.pause(100 * time.Millisecond) {
		lost := 0
		for _, until := range f.lostUntil {
			if time.Now().Before(until) {
				lost++
			}
		}
		if lost+count <= f.faultTolerance {
			return
		}
	}
	f.t.Fatalf("machines are lost for more than a minute: %v", f.lostUntil)
}

func (f *fleet) lose(name string) { f.lostUntil[name] = time.Now().Add(never) }

func (f *fleet) regain(names ...string) {
	for _, name := range names {
		f.lostUntil[name] = time.Now().Add(catchUpLimit)
	}
}

// startAgain starts machines with the running ones as seeds, and with their own names if there are none.
func (f *fleet) startAgain(names ...string) {
	seeds := f.runningNames()
	if len(seeds) == 0 {
		seeds = names
	}
	f.setSeeds(seeds)
	adjust := f.adjustOptions
	f.adjustOptions = func(o *Options) {
		adjust(o)
		self := o.Self
		o.OnRemoved = func() {
			select {
			case f.removed <- self:
			default:
			}
		}
		o.OnEvent = func(kind EventKind, detail string) {
			if kind == EventMembership || kind == EventReachability {
				f.logf("%s: %s: %s", self, kind, detail)
			}
		}
	}
	f.start(names...)
}

// restartRemoved restarts a removed instance with an empty folder.
func (f *fleet) restartRemoved(name string) {
	if f.instances[name] == nil {
		return
	}
	f.stop(name)
	if err := os.RemoveAll(filepath.Join(f.dirs[name], "config")); err != nil {
		f.t.Error(err)
	}
	f.startAgain(name)
}

// change proposes a command through one machine and records it if it is acknowledged.
func (f *fleet) change(name string) {
	f.sequence++
	command := fmt.Sprint("command ", f.sequence)
	ctx, cancel := context.WithTimeout(context.Background(), 2500*time.Millisecond)
	defer cancel()
	if i := f.instances[name]; i != nil {
		if _, err := i.Propose(ctx, []byte(command)); err == nil {
			f.acknowledged = append(f.acknowledged, command)
		}
	}
}

// transferLeadership makes a voter start an election, as a leader does when it stops.
func (f *fleet) transferLeadership(name string) {
	leader := f.leader()
	if leader == nil || leader.opts.Self == name {
		return
	}
	s := leader.Status()
	f.instances[name].HandleMessage(raft.Message{Type: raft.MsgTimeoutNow, From: s.ID, To: f.instances[name].Status().ID, Term: s.Term, Cluster: s.Cluster})
}

// machineFault is one fault: its kind, the machine, and the pause after it.
type machineFault struct {
	kind    string
	machine int
	pause   time.Duration
	away    time.Duration
}

// machineFaults are the kinds of faults that a sequence is drawn from.
var machineFaults = []string{"replace", "replace planned", "wipe", "wipe and away", "restart", "kill", "cut", "cut one way", "split",
	"power", "remove", "changes", "transfer"}

func (f *fleet) inject(fault machineFault) {
	names := f.runningNames()
	name := names[fault.machine%len(names)]
	f.logf("%s %s away %v pause %v", fault.kind, name, fault.away, fault.pause)
	switch fault.kind {
	case "replace", "replace planned":
		f.awaitTolerance(1)
		f.sequence++
		successor := fmt.Sprint("s", f.sequence)
		f.lose(name)
		if fault.kind == "replace planned" {
			f.startAgain(successor)
			f.pause(time.Second)
			f.stop(name)
		} else {
			f.kill(name)
			f.pause(time.Second)
			f.startAgain(successor)
		}
		f.regain(name)
	case "wipe", "wipe and away":
		f.awaitTolerance(1)
		f.lose(name)
		f.kill(name)
		f.dirs[name] = f.t.TempDir()
		if fault.kind == "wipe and away" {
			f.pause(fault.away)
		}
		f.startAgain(name)
		f.regain(name)
	case "restart", "kill":
		f.awaitTolerance(1)
		f.lose(name)
		if fault.kind == "kill" {
			f.kill(name)
		} else {
			f.stop(name)
		}
		f.pause(fault.away)
		f.startAgain(name)
		f.regain(name)
	case "cut":
		f.awaitTolerance(1)
		f.lose(name)
		f.withLock(func() { f.isolated[name] = true })
		f.pause(fault.away)
		f.withLock(func() { delete(f.isolated, name) })
		f.regain(name)
	case "cut one way":
		f.awaitTolerance(1)
		f.lose(name)
		f.withLock(func() { f.muted[name] = true })
		f.pause(fault.away)
		f.withLock(func() { delete(f.muted, name) })
		f.regain(name)
	case "transfer":
		f.transferLeadership(name)
	case "split":
		began := time.Now()
		f.withLock(func() {
			for i := range len(names) / 2 {
				f.split[names[(fault.machine+i)%len(names)]] = true
			}
		})
		f.change(name)
		f.pause(fault.away)
		f.withLock(func() { clear(f.split) })
		// Machines that were catching up could not do so on their side of the partition.
		for other, until := range f.lostUntil {
			if until.After(began) {
				f.regain(other)
			}
		}
	case "power":
		f.kill(names...)
		f.pause(fault.away)
		f.startAgain(names...)
		f.regain(names...)
	case "remove":
		f.awaitTolerance(1)
		f.lose(name)
		ctx, cancel := context.WithTimeout(context.Background(), 2500*time.Millisecond)
		_ = f.instances[names[(fault.machine+1)%len(names)]].Remove(ctx, name)
		cancel()
		f.regain(name)
	case "changes":
		for range 3 {
			f.change(name)
		}
	}
	f.pause(fault.pause)
}

// loseDisks wipes as many machines as the group bears while all others lose power, and checks that the group recovers with
// all that was acknowledged.
func (f *fleet) loseDisks(first int) (problem string) {
	f.awaitTolerance(f.faultTolerance)
	names := f.runningNames()
	f.change(names[first%len(names)])
	f.kill(names...)
	var lost []string
	for i := range f.faultTolerance {
		name := names[(first+i*(1+first%3))%len(names)]
		lost = append(lost, name)
		f.dirs[name] = f.t.TempDir()
	}
	f.logf("lost the disks of %v", lost)
	f.pause(time.Second)
	f.startAgain(names...)
	f.regain(names...)
	deadline := time.Now().Add(recoveryLimit)
	for i := range names { // operators may turn to any machine
		name := names[(first+len(lost)+i)%len(names)]
		for before := len(f.acknowledged); len(f.acknowledged) == before; f.pause(50 * time.Millisecond) {
			if time.Now().After(deadline) {
				return fmt.Sprintf("no change was acknowledged by %s within %v of the loss of %v", name, recoveryLimit, lost)
			}
			f.change(name)
		}
	}
	leader := f.leader()
	if leader == nil {
		return "no leader after the losses"
	}
	list := leader.machine.list()
	for _, command := range f.acknowledged {
		if !slices.Contains(list, command) {
			return fmt.Sprintf("acknowledged %q is lost; the leader %s has %v", command, leader.opts.Self, list)
		}
	}
	return ""
}

func (f *fleet) describe() string {
	var b strings.Builder
	b.WriteString(strings.Join(f.log, "\n"))
	for name, i := range f.instances {
		fmt.Fprintf(&b, "\n%s: %+v", name, i.Status())
	}
	return b.String()
}

// Guards against a group that bears fewer losses than it promises after voters were replaced, removed, wiped, cut off or
// restarted in any order, alone or together with a loss of power of all machines: it then has no majority after the next
// losses, or has lost what it acknowledged.
func TestGroupBearsLossesAfterFaultsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		machines := rapid.IntRange(3, 9).Draw(rt, "machines")
		faults := make([]machineFault, rapid.IntRange(1, 6).Draw(rt, "faults"))
		for i := range faults {
			faults[i] = machineFault{kind: rapid.SampledFrom(machineFaults).Draw(rt, "kind"),
				machine: rapid.IntRange(0, 8).Draw(rt, "machine"),
				pause:   time.Duration(rapid.IntRange(0, 8).Draw(rt, "pause")) * 500 * time.Millisecond,
				away:    time.Duration(rapid.IntRange(1, 30).Draw(rt, "away")) * 500 * time.Millisecond}
		}
		lost := rapid.IntRange(0, 8).Draw(rt, "lost")
		failure := ""
		synctest.Test(t, func(t *testing.T) { failure = runFaults(t, machines, faults, lost) })
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

// runFaults plays a sequence of faults, and then twice the losses that the group has to bear. It returns what went wrong.
func runFaults(t *testing.T, machines int, faults []machineFault, lost int) string {
	f := &fleet{cluster: newCluster(t, "a", "b", "c"), faultTolerance: 1, lostUntil: map[string]time.Time{},
		removed: make(chan string, 64), began: time.Now()}
	if machines >= 5 {
		f.faultTolerance = 2
	}
	defer f.stopAll()
	f.startMachines(machines)
	f.withLock(func() { f.dialTimeout = 800 * time.Millisecond }) // as of connections between instances
	for _, name := range f.runningNames() {                       // with the options of later starts
		f.kill(name)
		f.startAgain(name)
	}
	f.pause(startupTime)
	f.change("a")
	for _, fault := range faults {
		f.inject(fault)
	}
	for range 2 {
		if problem := f.loseDisks(lost); problem != "" {
			return problem + "\n" + f.describe()
		}
	}
	return ""
}

// Guards against a replaced voter that keeps its place since an earlier replacement is counted in part: the removal of the
// earlier one took away from the growth, but its successor had joined too long before to add to it.
func TestEarlierReplacementTakesNoGrowthAway(t *testing.T) {
	const ms = time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		if problem := runFaults(t, 5, []machineFault{{"replace planned", 4, 0, 500 * ms}, {"cut", 0, 2000 * ms, 4000 * ms},
			{"kill", 3, 1500 * ms, 500 * ms}, {"cut", 2, 0, 2500 * ms}, {"remove", 2, 500 * ms, 5000 * ms},
			{"replace", 0, 4000 * ms, 500 * ms}}, 6); problem != "" {
			t.Fatal(problem)
		}
	})
}
