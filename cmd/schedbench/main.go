// Command schedbench runs the scheduling scenarios in virtual time and prints the
// measures as Markdown.
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
	var only string
	var quick bool
	cmd := &cobra.Command{
		Use:           "schedbench",
		Short:         "Measure the scheduler against simple baselines in virtual time",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(*cobra.Command, []string) error { return run(only, quick) },
	}
	cmd.Flags().StringVar(&only, "scenario", "", "run only the scenarios whose shape and name contain this text")
	cmd.Flags().BoolVar(&quick, "no-baselines", false, "run only the project's scheduler")
	if err := cmd.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "schedbench:", err)
		os.Exit(1)
	}
}

func run(only string, quick bool) error {
	contenders := schedulingbench.Contenders()
	if quick {
		contenders = contenders[:1]
	}
	var results []*schedulingbench.Result
	for _, sc := range schedulingbench.Scenarios() {
		if !strings.Contains(sc.Shape.Name+" "+sc.Name, only) {
			continue
		}
		for _, c := range contenders {
			began := time.Now()
			r, err := schedulingbench.Run(sc, c.Name, c.New())
			if err != nil {
				return err
			}
			fmt.Fprintf(os.Stderr, "%s, %s, %s: %.1f s of wall time\n", sc.Shape.Name, sc.Name, c.Name, time.Since(began).Seconds())
			results = append(results, r)
		}
	}
	return schedulingbench.WriteTable(os.Stdout, results)
}
