// Command schedbench runs the scheduling scenarios in virtual time and prints the
// results as a Markdown table.
package main

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/primrosereach/primrosereach/coordination/scheduling/schedulingbench"
)

func main() {
	var filter string
	var noBaselines bool
	cmd := &cobra.Command{
		Use:           "schedbench",
		Short:         "Measure the scheduler against simple baselines in virtual time",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(*cobra.Command, []string) error { return run(filter, noBaselines) },
	}
	cmd.Flags().StringVar(&filter, "scenario", "", "run only the scenarios whose shape and name contain this text")
	cmd.Flags().BoolVar(&noBaselines, "no-baselines", false, "run only the project's scheduler")
	if err := cmd.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "schedbench:", err)
		os.Exit(1)
	}
}

func run(filter string, noBaselines bool) error {
	contenders := schedulingbench.Contenders()
	if noBaselines {
		contenders = contenders[:1]
	}
	var results []*schedulingbench.Result
	for _, sc := range schedulingbench.Scenarios() {
		if !strings.Contains(sc.Shape.Name+" "+sc.Name, filter) {
			continue
		}
		for _, c := range contenders {
			startedAt := time.Now()
			r, err := schedulingbench.Run(sc, c.Name, c.New())
			if err != nil {
				return err
			}
			fmt.Fprintf(os.Stderr, "%s, %s, %s: %.1f s of wall time\n", sc.Shape.Name, sc.Name, c.Name, time.Since(startedAt).Seconds())
			results = append(results, r)
		}
	}
	return schedulingbench.WriteTable(os.Stdout, results)
}
