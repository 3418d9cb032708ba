package loadgen

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// row is one line of a report: its name and the function that formats its cell for a result.
type row struct {
	name   string
	format func(*Result) string
}

// WriteReport writes a table with one column per result, headed by the names.
func WriteReport(w io.Writer, names []string, results []*Result) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	print := func(name string, figure func(int) string) {
		_, _ = fmt.Fprintf(tw, "%s\t", name)
		for i := range results {
			_, _ = fmt.Fprintf(tw, "%s\t", figure(i))
		}
		_, _ = fmt.Fprintln(tw)
	}
	print("", func(i int) string { return names[i] })
	for _, r := range rows(results) {
		print(r.name, func(i int) string { return r.format(results[i]) })
	}
	return tw.Flush()
}

func rows(results []*Result) []row {
	all := []row{
		{"arrivals", func(r *Result) string { return fmt.Sprint(r.Arrivals) }},
		{"goodput, tokens/s", func(r *Result) string { return fmt.Sprintf("%.1f", r.GoodTokensPerSecond) }},
		{"wasted tokens", func(r *Result) string { return formatPercent(r.WastedShare) }},
		{"worst-served organisation", formatWorstServed},
		{"not run / may have run", func(r *Result) string {
			return fmt.Sprintf("%d / %d", r.Verdicts["not_run"], r.Verdicts["may_have_run"])
		}},
		{"orders placed / answered", func(r *Result) string { return fmt.Sprintf("%d / %d", r.Orders.Placed, r.Orders.Answered) }},
		{"orders lost / doubled / false not-run", formatOrderErrors},
		{"own lateness p99, ms", func(r *Result) string { return fmt.Sprintf("%.2f", r.Lateness.P99) }},
	}
	for _, class := range classNames(results) {
		all = append(all, classRows(class)...)
	}
	return all
}

func formatPercent(share float64) string { return fmt.Sprintf("%.2f%%", 100*share) }

func formatWorstServed(r *Result) string {
	if r.Worst == nil {
		return "-"
	}
	return r.Worst.Organisation + " " + formatPercent(r.Worst.Attainment)
}

func formatOrderErrors(r *Result) string {
	if !r.Orders.Compared {
		return "not compared"
	}
	return fmt.Sprintf("%d / %d / %d", r.Orders.Lost, r.Orders.Duplicated, r.Orders.FalseNotRun)
}

// classNames returns the distinct class names of all results, in order of first appearance.
func classNames(results []*Result) []string {
	var names []string
	seen := make(map[string]bool)
	for _, r := range results {
		for _, c := range r.Classes {
			if !seen[c.Class] {
				seen[c.Class] = true
				names = append(names, c.Class)
			}
		}
	}
	return names
}

func classRows(name string) []row {
	figure := func(f func(ClassResult) string) func(*Result) string {
		return func(r *Result) string {
			for _, c := range r.Classes {
				if c.Class == name {
					return f(c)
				}
			}
			return "-"
		}
	}
	quantiles := func(get func(ClassResult) Latencies) func(*Result) string {
		return figure(func(c ClassResult) string {
			l := get(c)
			return fmt.Sprintf("%.1f / %.1f / %.1f", l.P50, l.P95, l.P99)
		})
	}
	return []row{
		{name + ": attainment", figure(func(c ClassResult) string { return formatPercent(c.Attainment) })},
		{name + ": goodput, tokens/s", figure(func(c ClassResult) string { return fmt.Sprintf("%.1f", c.GoodTokensPerSecond) })},
		{name + ": whole / refused / cut / short / left", figure(func(c ClassResult) string {
			return fmt.Sprintf("%d / %d / %d / %d / %d", c.Outcomes[outcomeComplete], c.Outcomes[outcomeRefused], c.Outcomes[outcomeInterrupted]+c.Outcomes[outcomeError], c.Outcomes[outcomeIncomplete], c.Outcomes[outcomeDisconnected])
		})},
		{name + ": first token p50 / p95 / p99, ms", quantiles(func(c ClassResult) Latencies { return c.FirstToken })},
		{name + ": between tokens p50 / p95 / p99, ms", quantiles(func(c ClassResult) Latencies { return c.BetweenToken })},
	}
}
