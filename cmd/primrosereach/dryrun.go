package main

import (
	"net/http"
	"os"
	"strings"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/primrosereach/primrosereach/transport/cli"
)

func (a *app) dryRunCommand() *cobra.Command {
	p := &cli.DryRunRequest{}
	keyFile := ""
	c := &cobra.Command{
		Use:     "dry-run FILE",
		Short:   "Print where a job would go now, and why, without submitting it",
		Long:    "Print what the leader of the job group would decide now about the job in FILE: whether it would be accepted, what is ahead of it, where its tasks would go and when. Nothing is submitted.",
		Example: "  primrosereach dry-run --server 10.1.0.24:9102 --host nony24.example --path /lohu930/new-job --key-file key job.json",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var err error
			if p.Job, err = os.ReadFile(args[0]); err != nil {
				return &cli.InputError{Err: errors.Wrap(err, "read job")}
			}
			if keyFile != "" {
				key, err := os.ReadFile(keyFile)
				if err != nil {
					return &cli.InputError{Err: errors.Wrap(err, "read key")}
				}
				p.Key = strings.TrimSpace(string(key))
			}
			return cli.DryRun(cmd.Context(), a.stdout, http.DefaultClient, p)
		},
	}
	flags := c.Flags()
	flags.StringVar(&p.Server, "server", "", "metrics address (host:port) of a member or gateway")
	flags.StringVar(&p.Host, "host", "", "host of the queue")
	flags.StringVar(&p.Path, "path", "", "path of the job, with a new ID")
	flags.StringVar(&keyFile, "key-file", "", "file with the key of the team")
	flags.BoolVar(&p.JSON, "json", false, "print the answer as JSON")
	for _, name := range []string{"server", "host", "path"} {
		cobra.CheckErr(c.MarkFlagRequired(name))
	}
	return c
}
