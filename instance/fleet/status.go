package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/protocol/fleetapi"
	"github.com/tarragonhoist/tarragonhoist/protocol/peerapi"
	"github.com/tarragonhoist/tarragonhoist/transport/peer"
)

const (
	// statusCallTimeout bounds the call of one control instance, which answers from memory.
	statusCallTimeout = 2 * time.Second
	// maxStatusCalls bounds the calls of one query. Control instances may name leaders that have changed meanwhile.
	maxStatusCalls = 16
)

// StatusCommand shows what the leader knows of a deployment. It connects to the port for other processes of the control instances,
// as gateways do.
type StatusCommand struct {
	// Instances are the names of control instances, addresses with the port for other processes.
	Instances []string
	JSON      bool
}

// Run prints the status. An error means that no leader answered.
func (c *StatusCommand) Run(ctx context.Context, out io.Writer) error {
	status, err := QueryStatus(ctx, c.Instances)
	if err != nil {
		return err
	}
	if c.JSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return errors.Wrap(encoder.Encode(status), "write status")
	}
	return printStatus(out, status)
}

// QueryStatus asks control instances for the status, and the leader that they name.
func QueryStatus(ctx context.Context, instances []string) (*fleetapi.Status, error) {
	// The name differs from that of any process, so that no connection of one is replaced. Nobody calls back.
	peers, err := peer.New(peer.Options{Cluster: clusterName, Self: fmt.Sprintf("status-%d-%d:0", os.Getpid(), time.Now().UnixNano()),
		Incarnation: uint64(time.Now().UnixNano()), Resolve: func(name string) (string, bool) { return name, isAddress(name) },
		BytesPerSecond: peerBytesPerSecond, DialTimeout: peerDialTimeout, MaxBackoff: peerMaxBackoff})
	if err != nil {
		return nil, err
	}
	defer peers.Close()
	var problems []string
	queue := slices.Clone(instances)
	for n := 0; n < len(queue) && n < maxStatusCalls; n++ {
		var response fleetapi.StatusResponse
		callCtx, cancel := context.WithTimeout(ctx, statusCallTimeout)
		err := peers.Call(callCtx, queue[n], peerapi.MethodFleetStatus, peerapi.Empty{}, &response)
		cancel()
		switch {
		case err != nil:
			problems = append(problems, err.Error())
		case response.Status != nil:
			return response.Status, nil
		case response.Leader == "":
			problems = append(problems, queue[n]+" knows no leader")
		default:
			problems = append(problems, queue[n]+" does not lead")
			if !slices.Contains(queue, response.Leader) {
				queue = slices.Insert(queue, n+1, response.Leader)
			}
		}
	}
	if len(instances) == 0 {
		return nil, errors.New("no control instance to ask: the settings name no seeds")
	}
	return nil, errors.Errorf("no leader answered: %s", strings.Join(problems, "; "))
}

func printStatus(out io.Writer, s *fleetapi.Status) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	row := func(format string, values ...any) { _, _ = fmt.Fprintf(w, format+"\n", values...) } // Flush returns the error
	row("leader %s, configuration version %d, %d gateways", s.Instance, s.ConfigVersion, s.Gateways)
	if len(s.Accounts) > 0 {
		row("\nACCOUNT\tRATE\tUNIT\tLIMIT\tUSED\tWITHHELD\tOUTSTANDING\tREFUSED\tRUNNING\tWAITING")
	}
	for i := range s.Accounts {
		a := &s.Accounts[i]
		if a.PerSecond == 0 {
			row("%s\tnone\t\t\t\t\t\t\t%d\t%d", a.Name, a.Running, a.Waiting)
			continue
		}
		row("%s\t%g/s\t%s\t%.0f\t%.0f\t%.0f\t%.0f\t%.1f%%\t%d\t%d", a.Name, a.PerSecond, a.Unit, a.Limit, a.Used, a.Withheld, a.Outstanding,
			100*a.RefusedShare, a.Running, a.Waiting)
	}
	if len(s.Starting) > 0 {
		row("\nSTARTING TARGET\tWINDOW\tFULL\tFOR")
	}
	for _, t := range s.Starting {
		row("%s\t%d\t%d\t%.1fs", t.Target, t.Window, t.Full, float64(t.ForMs)/1000)
	}
	if len(s.Speeds) > 0 {
		row("\nTARGET\tSPEED")
	}
	for _, id := range slices.Sorted(maps.Keys(s.Speeds)) {
		row("%s\t%.2f", id, s.Speeds[id])
	}
	if len(s.OutOfRotation) > 0 {
		row("\nGATEWAY OUT OF ROTATION")
	}
	for _, name := range s.OutOfRotation {
		row("%s", name)
	}
	if len(s.Models) > 0 {
		row("\nSERVICE\tMODEL\tCOPIES\tLOADING\tDEMAND")
	}
	for _, m := range s.Models {
		row("%s\t%s\t%d\t%d\t%.1f", m.Service, m.Model, m.Copies, m.Loading, m.Demand)
	}
	if len(s.Waiting) > 0 {
		row("\nSERVICE\tMODEL\tWAITING REQUESTS")
	}
	for _, q := range s.Waiting {
		row("%s\t%s\t%d", q.Service, q.Model, q.Waiting)
	}
	return errors.Wrap(w.Flush(), "write status")
}
