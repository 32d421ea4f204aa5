package main

import (
	"fmt"
	"runtime/debug"

	"github.com/spf13/cobra"
)

func (a *app) endpointsCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "endpoints",
		Short:   "List runners and workers",
		Example: "  primrosereach endpoints",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			c, err := a.apiClient()
			if err != nil {
				return err
			}
			l, err := c.Endpoints(cmd.Context())
			if err != nil {
				return err
			}
			return a.printer().Endpoints(l)
		},
	}
}

func (a *app) drainCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "drain NAME",
		Short:   "Give an endpoint no new work and let its work finish",
		Example: "  primrosereach drain runner-17",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			c, err := a.apiClient()
			if err != nil {
				return err
			}
			if err := c.Drain(cmd.Context(), args[0]); err != nil {
				return err
			}
			fmt.Fprintf(a.stderr, "%s gets no new work; \"primrosereach endpoints\" shows when its tasks have ended\n", args[0])
			return nil
		},
	}
}

func (a *app) auditCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "audit",
		Short:   "Show who changed what, and what was refused",
		Example: "  primrosereach audit --json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			c, err := a.apiClient()
			if err != nil {
				return err
			}
			l, err := c.Audit(cmd.Context())
			if err != nil {
				return err
			}
			return a.printer().Audit(l)
		},
	}
}

func (a *app) configCommand() *cobra.Command {
	config := &cobra.Command{Use: "config", Short: "The configuration in force"}
	config.AddCommand(&cobra.Command{
		Use:     "show",
		Short:   "Show the configuration in force and its version",
		Example: "  primrosereach config show --json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			c, err := a.apiClient()
			if err != nil {
				return err
			}
			v, err := c.Configuration(cmd.Context())
			if err != nil {
				return err
			}
			return a.printer().Configuration(v)
		},
	})
	return config
}

// versionInfo is the output of version.
type versionInfo struct {
	Version  string `json:"version"`
	Revision string `json:"revision,omitempty"`
	Go       string `json:"go"`
}

func (a *app) versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "version",
		Short:   "Show the version of this program",
		Example: "  primrosereach version",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			v := readVersion()
			return a.printer().Value(v, func(row func(...string)) {
				row("version", v.Version)
				row("revision", v.Revision)
				row("go", v.Go)
			})
		},
	}
}

func readVersion() versionInfo {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return versionInfo{Version: "unknown"}
	}
	v := versionInfo{Version: info.Main.Version, Go: info.GoVersion}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			v.Revision = s.Value
		}
	}
	return v
}
