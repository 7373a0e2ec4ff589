package measure

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"

	"golang.org/x/sync/errgroup"

	"github.com/tarragonhoist/tarragonhoist/state/shard"
)

// parallelRuns bounds the simulations that run at the same time, each on one processor core.
const parallelRuns = 3

// results holds the results of one deployment by index of the policy and name of the scenario.
type results []map[string]*Result

// Run simulates all policies in all scenarios and prints one table per deployment. The output is determined by the
// settings and the seed.
func Run(w io.Writer, s *Settings, seed uint64) error {
	for i := range s.Deployments {
		d := &s.Deployments[i]
		if err := printTable(w, s, d, measureDeployment(s, d, seed)); err != nil {
			return err
		}
	}
	return nil
}

func measureDeployment(s *Settings, d *Deployment, seed uint64) results {
	policies, list := Policies(), scenarios()
	runs := make([][]*Result, len(policies))
	var g errgroup.Group
	g.SetLimit(parallelRuns)
	for p := range policies {
		runs[p] = make([]*Result, len(list))
		for i, sc := range list {
			g.Go(func() error {
				// All scenarios share a seed, so that those with and without a fault have the same short requests.
				runs[p][i] = newFleet(s, d, policies[p], sc, seed^shard.StringHash(d.Name)).run()
				return nil
			})
		}
	}
	_ = g.Wait() // the functions return no errors
	all := make(results, len(policies))
	for p := range policies {
		all[p] = make(map[string]*Result, len(list))
		for i, sc := range list {
			all[p][sc.name] = runs[p][i]
		}
	}
	return all
}

// row is one row of the table.
type row struct {
	name  string
	value func(by map[string]*Result) string
}

func rows(s *Settings) []row {
	at, back := s.Loss.AtSeconds, s.Loss.BackSeconds
	percent := func(v float64) string { return fmt.Sprintf("%.2f %%", 100*v) }
	ms := func(r *Result, quantiles ...float64) (text string) {
		for i, q := range quantiles {
			if i > 0 {
				text += " / "
			}
			text += fmt.Sprintf("%.0f", r.quantile(q))
		}
		return text
	}
	return []row{
		{"attained per accelerator and minute at the peak", func(by map[string]*Result) string { return fmt.Sprintf("%.2f", by[swing].perAccelerator()) }},
		{"model moves in the swing run", func(by map[string]*Result) string { return fmt.Sprint(by[swing].moves) }},
		{"attainment at the peak of the swing", func(by map[string]*Result) string { return percent(by[swing].peak.attainment()) }},
		{"long work finished in the swing run", func(by map[string]*Result) string { return percent(by[swing].long.attainment()) }},
		{"short p50 / p99 ms, long work absent", func(by map[string]*Result) string { return ms(by[steady], 50, 99) }},
		{"short p50 / p99 ms, long work present", func(by map[string]*Result) string { return ms(by[withLong], 50, 99) }},
		{"ratio of p99 with long work", func(by map[string]*Result) string { return fmt.Sprintf("%.2f", longRatio(by)) }},
		{"short refused, long work absent / present", func(by map[string]*Result) string {
			return percent(refusedShare(by[steady])) + " / " + percent(refusedShare(by[withLong]))
		}},
		{"long work finished", func(by map[string]*Result) string { return percent(by[withLong].long.attainment()) }},
		{"p99 / p99.9 ms, healthy", func(by map[string]*Result) string { return ms(by[steady], 99, 99.9) }},
		{"p99 / p99.9 ms, stragglers", func(by map[string]*Result) string { return ms(by[straggling], 99, 99.9) }},
		{"ratio of p99 with stragglers", func(by map[string]*Result) string { return fmt.Sprintf("%.2f", straggleRatio(by)) }},
		{"hedged with stragglers", func(by map[string]*Result) string {
			return percent(float64(by[straggling].hedges) / float64(max(by[straggling].all.offered, 1)))
		}},
		{"refusals in the burst: burster / neighbours", func(by map[string]*Result) string {
			n := by[burst].otherCallers()
			return fmt.Sprintf("%d / %d", by[burst].callers[burstCaller].refused, n.refused)
		}},
		{"attainment lost by neighbours in the burst", func(by map[string]*Result) string { return percent(otherCallersLoss(by)) }},
		{"attained per second before / after the loss", func(by map[string]*Result) string {
			r := by[loss]
			return fmt.Sprintf("%.2f / %.2f", r.goodputBetween(s.Run.WarmupSeconds, at), r.goodputBetween(at, back))
		}},
		{"time until service is back", func(by map[string]*Result) string { return fmt.Sprintf("%d s", by[loss].recoverySeconds()) }},
	}
}

func longRatio(by map[string]*Result) float64 {
	return by[withLong].quantile(99) / by[steady].quantile(99)
}
func straggleRatio(by map[string]*Result) float64 {
	return by[straggling].quantile(99) / by[steady].quantile(99)
}

func refusedShare(r *Result) float64 {
	short := r.otherCallers()
	if b := r.callers[burstCaller]; b != nil {
		short.offered, short.refused = short.offered+b.offered, short.refused+b.refused
	}
	return float64(short.refused) / float64(max(short.offered, 1))
}

func otherCallersLoss(by map[string]*Result) float64 {
	before, during := by[steady].otherCallers(), by[burst].otherCallers()
	return before.attainment() - during.attainment()
}

// target is a bound on a measurement of the policies that use the product. It is printed whether it is reached or
// missed.
type target struct {
	name  string
	value float64
	bound float64
	// atLeast is set for lower bounds.
	atLeast bool
}

func (t target) reached() bool {
	if t.atLeast {
		return t.value >= t.bound
	}
	return t.value <= t.bound
}

// productPolicies is the number of policies, the last ones, that use the product's admission, routing and straggler
// detection.
const productPolicies = 2

func targets(all results, product map[string]*Result) []target {
	baselines := all[:len(all)-productPolicies]
	best := 0.0
	for _, by := range baselines {
		best = max(best, by[swing].perAccelerator())
	}
	reactive := float64(max(baselines[leastReported][swing].moves, 1))
	return []target{
		{"attainment lost by neighbours in the burst", otherCallersLoss(product), 0.01, false},
		{"p99 of short work with long work / without", longRatio(product), 1.2, false},
		{"p99 with stragglers / healthy", straggleRatio(product), 1.3, false},
		{"attained per accelerator at the peak / best baseline", product[swing].perAccelerator() / best, 1.3, true},
		{"model moves / least reported with reactive placement", float64(product[swing].moves) / reactive, 0.5, false},
	}
}

// leastReported is the index of the policy "least reported", whose model moves are the baseline.
const leastReported = 2

// score returns the weighted geometric mean of four measurements relative to base, with the weights of the deployment.
// Larger is better.
func score(d *Deployment, by, base map[string]*Result) float64 {
	relative := func(better, worse float64) float64 { return math.Log(max(better, 1e-3) / max(worse, 1e-3)) }
	sum := d.WeightPeak*relative(by[swing].peak.attainment(), base[swing].peak.attainment()) +
		d.WeightBlocking*relative(base[withLong].quantile(99), by[withLong].quantile(99)) +
		d.WeightAttainment*relative(by[swing].perAccelerator(), base[swing].perAccelerator()) +
		d.WeightTail*relative(base[straggling].quantile(99), by[straggling].quantile(99))
	return math.Exp(sum / (d.WeightPeak + d.WeightBlocking + d.WeightAttainment + d.WeightTail))
}

func printTable(w io.Writer, s *Settings, d *Deployment, all results) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	line := func(cells ...string) {
		for _, c := range cells {
			fmt.Fprintf(t, "%s\t", c)
		}
		fmt.Fprintln(t)
	}
	header := []string{d.Name}
	for _, p := range Policies() {
		header = append(header, p.Name)
	}
	line(header...)
	for _, r := range rows(s) {
		cells := []string{r.name}
		for _, by := range all {
			cells = append(cells, r.value(by))
		}
		line(cells...)
	}
	cells := []string{"weighted score relative to round robin"}
	for _, by := range all {
		cells = append(cells, fmt.Sprintf("%.2f", score(d, by, all[0])))
	}
	line(cells...)
	line("")
	for i := len(all) - productPolicies; i < len(all); i++ {
		line(d.Name+" target, "+Policies()[i].Name, "measured", "bound", "result")
		for _, g := range targets(all, all[i]) {
			verdict, sign := "missed", "<="
			if g.reached() {
				verdict = "reached"
			}
			if g.atLeast {
				sign = ">="
			}
			line(g.name, fmt.Sprintf("%.3f", g.value), fmt.Sprintf("%s %.2f", sign, g.bound), verdict)
		}
		line("")
	}
	return t.Flush()
}
