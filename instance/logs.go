package instance

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/tarragonhoist/tarragonhoist/coordination/replica"
	"github.com/tarragonhoist/tarragonhoist/events"
	"github.com/tarragonhoist/tarragonhoist/instance/activeconfig"
	"github.com/tarragonhoist/tarragonhoist/instance/controller"
	"github.com/tarragonhoist/tarragonhoist/instance/replicalink"
	"github.com/tarragonhoist/tarragonhoist/settings"
	"github.com/tarragonhoist/tarragonhoist/state/callledger"
	"github.com/tarragonhoist/tarragonhoist/transport/httpapi"
)

// Names of the replicated logs.
const (
	groupConfig = "config"
	groupCalls  = "calls"
)

// Names of the state machines of the config log.
const (
	machineNotes    = "notes"
	machineElectors = "electors"
)

func openConfig(s *settings.Settings, peers replicalink.Peers, view *activeconfig.View, electors *controller.Electors,
	recorder *events.Recorder) (*replica.Group, error) {
	options := groupOptions(s, groupConfig, peers, recorder)
	options.Machine = replica.NewMux(map[string]replica.StateMachine{machineNotes: view, machineElectors: electors})
	return replica.Open(options)
}

// openCalls opens the calls log. Only voters store it; other instances only send proposals.
func openCalls(s *settings.Settings, peers replicalink.Peers, ledger *callledger.Machine, recorder *events.Recorder) (*replica.Group, error) {
	options := groupOptions(s, groupCalls, peers, recorder)
	options.Machine = ledger
	options.Parents = func() []string { return nil }
	return replica.Open(options)
}

func groupOptions(s *settings.Settings, name string, peers replicalink.Peers, recorder *events.Recorder) replica.Options {
	link := replicalink.New(name, peers)
	return replica.Options{
		Name: name, Self: s.Instance, Voters: s.Voters, DataDir: s.DataFolder, Sender: link, Peers: link,
		Parents: func() []string { return parents(s) },
		OnEvent: logEventRecorder(name, recorder), FetchInterval: fetchInterval,
	}
}

// repeatedEventInterval is the minimum interval between records of an event that recurs while its cause lasts.
const repeatedEventInterval = 10 * time.Second

func logEventRecorder(group string, recorder *events.Recorder) func(replica.EventKind, string) {
	var mu sync.Mutex
	last := make(map[replica.EventKind]time.Time)
	return func(kind replica.EventKind, detail string) {
		if kind == replica.EventJoinFailed || kind == replica.EventMessageRefused {
			mu.Lock()
			recent := time.Since(last[kind]) < repeatedEventInterval
			if !recent {
				last[kind] = time.Now()
			}
			mu.Unlock()
			if recent {
				return
			}
		}
		recorder.Record(events.LogChanged, events.Fields{"group": group, "kind": string(kind), "detail": detail})
	}
}

// fetchInterval is the polling interval of a learner that knows of no new entry. Gossip announces new entries every
// second.
const fetchInterval = 2 * time.Second

// fetchFanout is the number of learners that fetch from one instance. With 8, the 60 instances of a data centre form a
// tree with two levels below its root, and no instance serves more than 8 learners. A voter also serves the roots of the
// data centres.
const fetchFanout = 8

// parents lists the instances from which this one fetches log entries, in order of preference: its ancestors in the
// fetch tree of its data centre, then the voters, then the other instances of the data centre.
func parents(s *settings.Settings) []string {
	local := s.InstancesOf(s.DataCentre)
	slices.SortStableFunc(local, func(a, b string) int {
		return boolRank(!slices.Contains(s.Voters, a)) - boolRank(!slices.Contains(s.Voters, b))
	})
	var list []string
	for i := slices.Index(local, s.Instance); i > 0; {
		i = (i - 1) / fetchFanout
		list = append(list, local[i])
	}
	// The other local instances come last: a root that restarts while the data centre is partitioned catches up from them.
	for _, name := range slices.Concat(s.Voters, local) {
		if name != s.Instance && !slices.Contains(list, name) {
			list = append(list, name)
		}
	}
	return list
}

func boolRank(b bool) int {
	if b {
		return 1
	}
	return 0
}

func logStatus(name string, group *replica.Group) httpapi.LogStatus {
	s := group.Status()
	return httpapi.LogStatus{
		Group: name, Role: s.Role, Leader: s.Leader, Term: s.Term, Commit: s.Commit, Applied: s.Applied, Voters: s.Voters,
	}
}

// machineLog proposes the commands of one state machine to a group.
type machineLog struct {
	group   *replica.Group
	machine string
}

// Propose commits a command and returns its result.
func (l machineLog) Propose(ctx context.Context, command []byte) ([]byte, error) {
	return l.group.Propose(ctx, replica.EncodeCommand(l.machine, command))
}
