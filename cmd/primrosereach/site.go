package main

import (
	"context"
	"net/http"
	"os"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/spf13/cobra"

	"github.com/primrosereach/primrosereach/platform"
	"github.com/primrosereach/primrosereach/protocol/settings"
	"github.com/primrosereach/primrosereach/transport/cli"
	"github.com/primrosereach/primrosereach/transport/site"
)

// settingsEnvVar is the environment variable that holds the path of the settings file of
// a process that the platform starts.
const settingsEnvVar = "PRIMROSEREACH_NODE_FILE"

func (a *app) memberCommand() *cobra.Command {
	return a.siteCommand("member", "Run a member of the job group, on a VM with a disk", site.RunMember)
}

func (a *app) gatewayCommand() *cobra.Command {
	return a.siteCommand("gateway", "Run a gateway, which forwards callers' jobs to the job group", site.RunGateway)
}

func (a *app) siteCommand(name, short string, run func(context.Context, func() (*settings.Site, error), func(*settings.Site) site.Platform) error) *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:     name + " [--settings FILE]",
		Short:   short,
		Long:    short + ". The settings file is also taken from " + settingsEnvVar + ".",
		Example: "  primrosereach " + name + " --settings /etc/primrosereach/settings.json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			load := func() (*settings.Site, error) {
				s, err := loadSiteSettings(file)
				if err != nil {
					return nil, &cli.InputError{Err: err}
				}
				return s, nil
			}
			return run(cmd.Context(), load, newPlatform)
		},
	}
	cmd.Flags().StringVar(&file, "settings", "", "settings file of this process")
	return cmd
}

func loadSiteSettings(file string) (*settings.Site, error) {
	if file == "" {
		file = os.Getenv(settingsEnvVar)
	}
	if file == "" {
		return nil, errors.Errorf("no settings: give --settings or set %s", settingsEnvVar)
	}
	return settings.LoadSite(file)
}

func newPlatform(s *settings.Site) site.Platform {
	logger := hclog.New(&hclog.LoggerOptions{Name: "platform", Level: hclog.LevelFromString(s.LogLevel), JSONFormat: true, Output: os.Stdout})
	return site.Platform{
		Workers: platform.NewWorkers(logger), Advisor: platform.NewAdvisor(s.AdviceAPI), VMs: platform.NewVMs(s.VMAPI),
		MaxCallerBody: platform.MaxJobBytes, MaxControlBody: platform.MaxControlBytes,
		DryRun:  func(c *site.Client) http.Handler { return platform.DryRunHandler(c) },
		Callers: func(c *site.Client, leaving func() bool) http.Handler { return platform.CallersHandler(c, leaving) },
		Control: func(c *site.Client, leaving func() bool) http.Handler { return platform.ControlHandler(c, leaving) },
	}
}
