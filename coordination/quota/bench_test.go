package quota

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"
)

const benchAccounts = 16

// benchLedger returns a ledger that the limiters of a number of gateways have joined, each with some use of 16 accounts.
func benchLedger(b *testing.B, gateways int) (*Ledger, []*Limiter, time.Time) {
	b.Helper()
	now := time.Unix(1_700_000_000, 0)
	opts := testOptions()
	ledger := NewLedger(now, opts, 1)
	limiters := make([]*Limiter, gateways)
	for i := range limiters {
		limiters[i] = NewLimiter(now, opts, fmt.Sprint("10.0.0.", i, ":7000"), 1_700_000_000_000_000_000)
	}
	for range 8 {
		now = now.Add(opts.Interval(gateways))
		for _, l := range limiters {
			for a := range benchAccounts {
				if d := l.Admit(now, accountName(a), benchLimit, 990, 0); d.Ask {
					l.Granted(now, d.Request, ledger.Grant(now, d.Request, benchLimit))
				}
			}
			l.Apply(ledger.Report(now, l.gateway, l.Report(now), benchLimits))
		}
	}
	return ledger, limiters, now
}

// benchReports returns a report of each gateway after one request for each of two accounts: about what arrives between the reports
// of a gateway with 20 requests a second.
func benchReports(limiters []*Limiter, now time.Time) []*Report {
	reports := make([]*Report, len(limiters))
	for i, l := range limiters {
		for a := range 2 {
			l.Admit(now, accountName((i+a)%benchAccounts), benchLimit, 990, 0)
		}
		reports[i] = l.Report(now)
	}
	return reports
}

var benchLimit = Limit{PerSecond: 10_000_000, Burst: 10_000_000}

func benchLimits(string) (Limit, bool) { return benchLimit, true }

func accountName(i int) string { return fmt.Sprint("account-", i) }

// BenchmarkLedgerReport measures one report of a gateway with 16 accounts in use there and two of them changed, and the size of the
// fields that quotas add to a report and to its answer.
func BenchmarkLedgerReport(b *testing.B) {
	for _, gateways := range []int{77, 300, 1000} {
		b.Run(fmt.Sprint("gateways=", gateways), func(b *testing.B) {
			ledger, limiters, now := benchLedger(b, gateways)
			step := ledger.opts.Interval(gateways) / time.Duration(gateways)
			reports := benchReports(limiters, now)
			report, _ := json.Marshal(reports[0])
			answer, _ := json.Marshal(ledger.Report(now, limiters[0].gateway, reports[0], benchLimits))
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now = now.Add(step)
				r := reports[i%gateways]
				r.Sequence++
				ledger.Report(now, limiters[i%gateways].gateway, r, benchLimits)
			}
			b.ReportMetric(float64(len(report)), "report-bytes")
			b.ReportMetric(float64(len(answer)), "answer-bytes")
		})
	}
}

// BenchmarkLedgerReportOnWire is the same with the decoding of the report and the encoding of the answer.
func BenchmarkLedgerReportOnWire(b *testing.B) {
	ledger, limiters, now := benchLedger(b, 77)
	data, err := json.Marshal(benchReports(limiters, now)[0])
	if err != nil {
		b.Fatal(err)
	}
	b.ResetTimer()
	for range b.N {
		var r Report
		if err := json.Unmarshal(data, &r); err != nil {
			b.Fatal(err)
		}
		if _, err := json.Marshal(ledger.Report(now, limiters[0].gateway, &r, benchLimits)); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkLedgerGrant measures one call for a grant.
func BenchmarkLedgerGrant(b *testing.B) {
	for _, gateways := range []int{77, 300, 1000} {
		b.Run(fmt.Sprint("gateways=", gateways), func(b *testing.B) {
			ledger, limiters, now := benchLedger(b, gateways)
			b.ResetTimer()
			for i := range b.N {
				ledger.Grant(now, GrantRequest{Gateway: limiters[i%gateways].gateway, Epoch: 1, Account: accountName(i % benchAccounts), Cost: 990},
					benchLimit)
			}
		})
	}
}

// BenchmarkLimiterAdmit measures the decision of a request at a gateway.
func BenchmarkLimiterAdmit(b *testing.B) {
	_, limiters, now := benchLedger(b, 77)
	b.ResetTimer()
	for range b.N {
		if d := limiters[0].Admit(now, accountName(0), benchLimit, 990, 0); d.Ask {
			limiters[0].Granted(now, d.Request, Grant{Ready: true, OK: true, Granted: 1e15})
		}
	}
}
