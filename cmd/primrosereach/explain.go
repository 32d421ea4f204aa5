package main

import (
	"io"
	"os"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/primrosereach/primrosereach/transport/cli"
)

func (a *app) explainCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "explain JOB [LOG...]",
		Short:   "Print what the logs of several processes say about a job, in order",
		Long:    "Print what the logs of several processes say about a job, in order of time. Without files the logs are read from standard input.",
		Example: "  primrosereach explain 5c0e7a21d94b36f8 gateway-*.log member-*.log",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			if len(args) == 1 {
				return cli.Explain(a.stdout, args[0], a.stdin)
			}
			var logs []io.Reader
			for _, name := range args[1:] {
				f, err := os.Open(name)
				if err != nil {
					return &cli.InputError{Err: errors.Wrap(err, "open log")}
				}
				defer f.Close()
				logs = append(logs, f)
			}
			return cli.Explain(a.stdout, args[0], logs...)
		},
	}
}
