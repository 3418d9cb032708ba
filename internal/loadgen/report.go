package loadgen

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// row is one line of a report: a name and how to get the figure from a result.
type row struct {
	name   string
	figure func(*Result) string
}

// WriteReport writes a table with one column for each result.
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
		print(r.name, func(i int) string { return r.figure(results[i]) })
	}
	return tw.Flush()
}

func rows(results []*Result) []row {
	all := []row{
		{"arrivals", func(r *Result) string { return fmt.Sprint(r.Arrivals) }},
		{"goodput, tokens/s", func(r *Result) string { return fmt.Sprintf("%.1f", r.GoodTokensPerSecond) }},
		{"wasted tokens", func(r *Result) string { return percent(r.WastedShare) }},
		{"worst-served organisation", worstFigure},
		{"not run / may have run", func(r *Result) string {
			return fmt.Sprintf("%d / %d", r.Verdicts["not_run"], r.Verdicts["may_have_run"])
		}},
		{"orders placed / answered", func(r *Result) string { return fmt.Sprintf("%d / %d", r.Orders.Placed, r.Orders.Answered) }},
		{"orders lost / doubled / false not-run", ordersFigure},
		{"own lateness p99, ms", func(r *Result) string { return fmt.Sprintf("%.2f", r.Lateness.P99) }},
	}
	for _, class := range classNames(results) {
		all = append(all, classRows(class)...)
	}
	return all
}

func percent(share float64) string { return fmt.Sprintf("%.2f%%", 100*share) }

func worstFigure(r *Result) string {
	if r.Worst == nil {
		return "-"
	}
	return r.Worst.Organisation + " " + percent(r.Worst.Attainment)
}

func ordersFigure(r *Result) string {
	if !r.Orders.Compared {
		return "not compared"
	}
	return fmt.Sprintf("%d / %d / %d", r.Orders.Lost, r.Orders.Doubled, r.Orders.FalseNotRun)
}

// classNames returns the classes of all results, each once.
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
		{name + ": attainment", figure(func(c ClassResult) string { return percent(c.Attainment) })},
		{name + ": goodput, tokens/s", figure(func(c ClassResult) string { return fmt.Sprintf("%.1f", c.GoodTokensPerSecond) })},
		{name + ": whole / refused / cut / short / left", figure(func(c ClassResult) string {
			return fmt.Sprintf("%d / %d / %d / %d / %d", c.Ends[endWhole], c.Ends[endRefused], c.Ends[endCut]+c.Ends[endError], c.Ends[endSilent], c.Ends[endLeft])
		})},
		{name + ": first token p50 / p95 / p99, ms", quantiles(func(c ClassResult) Latencies { return c.FirstToken })},
		{name + ": between tokens p50 / p95 / p99, ms", quantiles(func(c ClassResult) Latencies { return c.BetweenToken })},
	}
}
