package main

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"github.com/primrosereach/primrosereach/protocol"
	"github.com/primrosereach/primrosereach/state"
	"github.com/primrosereach/primrosereach/transport/cli"
)

// change holds the flags of apply and the derived configuration.
type change struct {
	expect        int64
	changeID      string
	dryRun        bool
	removeTeams   bool
	configuration state.Configuration
}

func (a *app) applyCommand() *cobra.Command {
	var ch change
	cmd := &cobra.Command{
		Use:   "apply FILE...",
		Short: "Put the configuration that follows from the questionnaires in force",
		Long: `Derive the configuration from the questionnaires, show the difference from the one
in force, and replace it. Name the questionnaires of all teams: a team whose file
is missing would lose its configuration, so that needs --remove-teams.

The change is refused (exit code 6) if somebody else changed the configuration
since the difference was shown. If no answer arrives, the same change is sent
again; after exit code 4, repeat the command with the printed --change-id.`,
		Example: "  primrosereach apply examples/claims/*.json --dry-run\n  primrosereach apply examples/claims/*.json --expect 12",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, files []string) error {
			r, err := a.derive(files)
			if err != nil {
				return err
			}
			ch.configuration = r.Configuration
			return a.apply(cmd.Context(), ch)
		},
	}
	f := cmd.Flags()
	f.Int64Var(&ch.expect, "expect", -1, "version that the change is based on; by default the one in force now")
	f.StringVar(&ch.changeID, "change-id", "", "ID of the change; by default a new one. The same ID is applied once only")
	f.BoolVar(&ch.dryRun, "dry-run", false, "show the difference and change nothing")
	f.BoolVar(&ch.removeTeams, "remove-teams", false, "permit the removal of teams whose questionnaire is not named")
	return cmd
}

func (a *app) apply(ctx context.Context, ch change) error {
	c, err := a.apiClient()
	if err != nil {
		return err
	}
	current, err := c.Configuration(ctx)
	if err != nil {
		return err
	}
	difference := state.Difference(current.Configuration, ch.configuration)
	if err := a.showDifference(ch, current.Version, difference); err != nil || ch.dryRun {
		return err
	}
	if difference == "" && ch.changeID == "" {
		return nil // a given change ID asks for the answer to an earlier attempt
	}
	if removed := missingTeams(current.Configuration, ch.configuration); len(removed) > 0 && !ch.removeTeams {
		return inputErrorf("this would remove %s: name their questionnaires too, or use --remove-teams", strings.Join(removed, ", "))
	}
	return a.send(ctx, c, ch.request(current.Version))
}

func (ch change) request(current uint64) protocol.ConfigureRequest {
	r := protocol.ConfigureRequest{Expected: current, ChangeID: ch.changeID, Configuration: ch.configuration}
	if ch.expect >= 0 {
		r.Expected = uint64(ch.expect)
	}
	if r.ChangeID == "" {
		r.ChangeID = cli.NewChangeID()
	}
	return r
}

// send prints the change ID before it sends the change, so that the operator can send
// the same change again if this command is interrupted.
func (a *app) send(ctx context.Context, c *cli.Client, r protocol.ConfigureRequest) error {
	fmt.Fprintln(a.stderr, "change", r.ChangeID)
	answer, err := c.Configure(ctx, r)
	if err != nil {
		return err
	}
	return a.printer().Value(answer, func(row func(...string)) {
		row("applied", fmt.Sprintf("version %d by %s", answer.Version, answer.Author))
	})
}

// dryRun is the JSON output of apply --dry-run.
type dryRun struct {
	Version    uint64 `json:"version"` // version in force
	Difference string `json:"difference"`
}

// showDifference prints what would change. With --json it prints only on a dry run:
// otherwise standard output holds nothing but the answer.
func (a *app) showDifference(ch change, version uint64, difference string) error {
	if a.json && !ch.dryRun {
		return nil
	}
	return a.printer().Value(dryRun{version, difference}, func(row func(...string)) {
		if difference == "" {
			row(fmt.Sprintf("no difference from version %d", version))
			return
		}
		row(fmt.Sprintf("difference from version %d:", version))
		row(difference)
	})
}

// missingTeams returns the teams of from that to does not have.
func missingTeams(from, to state.Configuration) []string {
	var names []string
	for name := range from.Teams {
		if _, ok := to.Teams[name]; !ok {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
