package loadgen

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/protocol/api"
	"github.com/tarragonhoist/tarragonhoist/standin/caller"
)

const (
	// maxLatencyUs is the upper bound of the histograms; longer latencies are recorded as this value.
	maxLatencyUs = int64(time.Hour / time.Microsecond)
	// significantDigits bounds the relative error of a percentile to 0.1 %.
	significantDigits = 3
)

// Percentiles are shown in reports; 100 is the maximum.
var Percentiles = []float64{50, 90, 95, 99, 99.9, 100}

// Result is an outcome with its reason.
type Result struct {
	Outcome api.Outcome `json:"outcome"`
	Reason  api.Reason  `json:"reason,omitempty"`
}

// Report holds the results of a run. FirstToken holds the times to the first token of answered streams, Total the
// latencies of all answered requests, both in microseconds.
type Report struct {
	ElapsedMs  int64
	FirstToken *hdrhistogram.Histogram
	Total      *hdrhistogram.Histogram

	mu     sync.Mutex
	counts map[Result]int64
}

func newReport() *Report {
	return &Report{
		FirstToken: hdrhistogram.New(1, maxLatencyUs, significantDigits),
		Total:      hdrhistogram.New(1, maxLatencyUs, significantDigits),
		counts:     make(map[Result]int64),
	}
}

func (r *Report) recordNotSent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[Result{Outcome: NotSent}]++
}

func (r *Report) record(req request, answer *caller.Answer, err, ctxErr error, firstToken, total time.Duration) {
	result := classify(req, answer, err, ctxErr)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[result]++
	if result.Outcome != api.Answered {
		return
	}
	observe(r.Total, total)
	if firstToken > 0 {
		observe(r.FirstToken, firstToken)
	}
}

// classify determines the result of a request. ctxErr is the error of the request's context: non-nil when the run was
// interrupted or the request timed out in the generator.
func classify(req request, answer *caller.Answer, err, ctxErr error) Result {
	switch {
	case errors.Is(ctxErr, context.Canceled):
		return Result{NoAnswer, "interrupted"}
	case ctxErr != nil:
		return Result{NoAnswer, "generator_timeout"}
	case answer == nil:
		return Result{NoAnswer, "connection_failed"}
	case err != nil:
		return Result{NoAnswer, "incomplete_answer"}
	case answer.Outcome == "":
		return Result{WrongAnswer, "no_outcome_header"}
	case answer.Outcome != api.Answered:
		reason := answer.Reason
		if answer.Error.Code != "" {
			reason = answer.Error.Code
		}
		return Result{answer.Outcome, reason}
	case req.stream && !req.service && !offsetsConsecutive(answer.Offsets):
		return Result{WrongAnswer, "offsets_out_of_order"}
	case req.expectedText != "" && answer.Text != req.expectedText:
		return Result{WrongAnswer, "other_text"}
	default:
		return Result{Outcome: api.Answered}
	}
}

func observe(h *hdrhistogram.Histogram, d time.Duration) {
	// RecordValue only fails for values outside the range of the histogram.
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxLatencyUs))
}

// Count returns the number of requests with an outcome, over all reasons.
func (r *Report) Count(outcome api.Outcome) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := int64(0)
	for result, count := range r.counts {
		if result.Outcome == outcome {
			n += count
		}
	}
	return n
}

// ResultCount is a result with its number of requests.
type ResultCount struct {
	Result
	Count int64 `json:"count"`
}

// Counts returns the results in descending order of count.
func (r *Report) Counts() []ResultCount {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := make([]ResultCount, 0, len(r.counts))
	for result, n := range r.counts {
		counts = append(counts, ResultCount{result, n})
	}
	sort.Slice(counts, func(i, j int) bool {
		a, b := counts[i], counts[j]
		if a.Count != b.Count {
			return a.Count > b.Count
		}
		return a.Outcome+"/"+api.Outcome(a.Reason) < b.Outcome+"/"+api.Outcome(b.Reason)
	})
	return counts
}

// Latency is the summary of a histogram: the number of values and the latency at each percentile.
type Latency struct {
	Count         int64            `json:"count"`
	PercentilesUs map[string]int64 `json:"percentiles_us"`
}

func summarize(h *hdrhistogram.Histogram) Latency {
	l := Latency{Count: h.TotalCount(), PercentilesUs: make(map[string]int64)}
	if l.Count == 0 {
		return l
	}
	for _, p := range Percentiles {
		l.PercentilesUs[fmt.Sprint(p)] = h.ValueAtPercentile(p)
	}
	return l
}

// MarshalJSON implements json.Marshaler.
func (r *Report) MarshalJSON() ([]byte, error) {
	data, err := json.Marshal(map[string]any{
		"elapsed_ms": r.ElapsedMs, "results": r.Counts(), "first_token": summarize(r.FirstToken), "total": summarize(r.Total),
	})
	return data, errors.Wrap(err, "encode report")
}

// Print writes the report as text tables.
func (r *Report) Print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "elapsed\t%s\t\n\noutcome\treason\tcount\t\n", time.Duration(r.ElapsedMs)*time.Millisecond)
	for _, c := range r.Counts() {
		fmt.Fprintf(w, "%s\t%s\t%d\t\n", c.Outcome, c.Reason, c.Count)
	}
	fmt.Fprint(w, "\npercentile\tfirst token\ttotal\t\n")
	for _, p := range Percentiles {
		fmt.Fprintf(w, "%v\t%s\t%s\t\n", p, percentileText(r.FirstToken, p), percentileText(r.Total, p))
	}
	return errors.Wrap(w.Flush(), "print report")
}

func percentileText(h *hdrhistogram.Histogram, percentile float64) string {
	if h.TotalCount() == 0 {
		return "-"
	}
	return (time.Duration(h.ValueAtPercentile(percentile)) * time.Microsecond).String()
}
