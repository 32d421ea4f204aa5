package main

import (
	"crypto/tls"
	"fmt"
	"os"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/primrosereach/primrosereach/protocol/access"
	"github.com/primrosereach/primrosereach/protocol/settings"
	"github.com/primrosereach/primrosereach/transport/cli"
	"github.com/primrosereach/primrosereach/transport/daemon"
)

// runDaemon runs an entry process until ctx ends. Tests replace it.
var runDaemon = daemon.Run

func (a *app) serveCommand() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:     "serve --settings FILE",
		Short:   "Run an entry process",
		Long:    "Run an entry process until it gets SIGTERM or SIGINT. It then hands over and finishes its calls.",
		Example: "  primrosereach serve --settings /etc/primrosereach/north-1.json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := loadSettings(file)
			if err != nil {
				return err
			}
			return runDaemon(cmd.Context(), s)
		},
	}
	cmd.Flags().StringVar(&file, "settings", "", "settings file of this process (required)")
	if err := cmd.MarkFlagRequired("settings"); err != nil {
		panic(err) // the flag is defined above
	}
	return cmd
}

func (a *app) settingsCommand() *cobra.Command {
	parent := &cobra.Command{Use: "settings", Short: "Settings of an entry process"}
	parent.AddCommand(&cobra.Command{
		Use:     "check FILE",
		Short:   "Check a settings file and the files it names",
		Example: "  primrosereach settings check /etc/primrosereach/north-1.json",
		Args:    cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			s, err := loadSettings(args[0])
			if err != nil {
				return err
			}
			if err := checkFiles(s); err != nil {
				return &cli.InputError{Err: err}
			}
			fmt.Fprintf(a.stdout, "%s: no faults; process %s in domain %s, %d peers\n", args[0], s.Name, s.Domain, len(s.Peers))
			return nil
		},
	})
	return parent
}

func loadSettings(file string) (*settings.Settings, error) {
	s, err := settings.Load(file)
	if err != nil {
		return nil, &cli.InputError{Err: err}
	}
	return s, nil
}

// checkFiles reads the token and TLS files that the settings name.
func checkFiles(s *settings.Settings) error {
	if _, err := access.Load(s); err != nil {
		return err
	}
	if s.TLS == nil {
		return nil
	}
	if _, err := tls.LoadX509KeyPair(s.TLS.CertFile, s.TLS.KeyFile); err != nil {
		return errors.Wrap(err, "tls")
	}
	if s.TLS.CAFile != "" {
		if _, err := os.ReadFile(s.TLS.CAFile); err != nil {
			return errors.Wrap(err, "tls.ca_file")
		}
	}
	return nil
}
