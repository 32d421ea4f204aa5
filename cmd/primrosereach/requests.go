package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/primrosereach/primrosereach/protocol"
	"github.com/primrosereach/primrosereach/state"
	"github.com/primrosereach/primrosereach/transport/cli"
)

// submission holds the flags of submit.
type submission struct {
	id                   string
	request              protocol.SubmitRequest
	payload, payloadFile string
	deadline, estimate   time.Duration
	wait                 bool
}

func (a *app) submitCommand() *cobra.Command {
	var s submission
	cmd := &cobra.Command{
		Use:   "submit --kind KIND",
		Short: "Submit a request",
		Long: `Submit a request. The request ID is printed on standard error before the request
is sent. If no answer arrives, the same ID is sent again, which cannot run the
request twice. After exit code 4, resend it with --id and the same arguments.`,
		Example: `  primrosereach submit --kind eligibility-review --payload '{"case":4711}' --wait`,
		Args:    cobra.NoArgs,
		RunE:    func(cmd *cobra.Command, _ []string) error { return a.submit(cmd.Context(), s) },
	}
	f := cmd.Flags()
	f.StringVar(&s.request.Kind, "kind", "", "kind of work, as named in the team's questionnaire (required)")
	f.IntVar(&s.request.Tasks, "tasks", 1, "number of tasks")
	f.IntVar(&s.request.PerTask.Slots, "slots", 0, "runner slots for each task")
	f.IntVar(&s.request.PerTask.MilliCores, "milli-cores", 0, "thousandths of a core for each task")
	f.IntVar(&s.request.PerTask.MemoryMB, "memory-mb", 0, "memory for each task in MiB")
	f.IntVar(&s.request.PerTask.Accelerators, "accelerators", 0, "accelerators for each task")
	f.StringVar(&s.payload, "payload", "", "JSON handed to the endpoint")
	f.StringVar(&s.payloadFile, "payload-file", "", "file with that JSON, - for standard input")
	f.DurationVar(&s.deadline, "deadline", 0, "time until the work must be finished, such as 4h")
	f.DurationVar(&s.estimate, "estimate", 0, "expected run time of a task, such as 10m")
	f.BoolVar(&s.wait, "wait", false, "wait for the outcome")
	f.StringVar(&s.id, "id", "", "send an earlier submission again under its ID")
	cmd.MarkFlagsMutuallyExclusive("payload", "payload-file")
	if err := cmd.MarkFlagRequired("kind"); err != nil {
		panic(err) // the flag is defined above
	}
	return cmd
}

func (a *app) submit(ctx context.Context, s submission) error {
	if err := a.completeRequest(&s); err != nil {
		return err
	}
	c, err := a.apiClient()
	if err != nil {
		return err
	}
	id := state.RequestID(s.id)
	if id == "" {
		if id, err = c.NewID(ctx); err != nil {
			return err
		}
	}
	fmt.Fprintln(a.stderr, "request", id)
	status, err := c.Submit(ctx, id, s.request)
	if err != nil {
		return err
	}
	if s.wait && !status.Final() {
		return a.wait(ctx, c, id)
	}
	return a.report(status)
}

// completeRequest checks the flags and fills in the body of the request.
func (a *app) completeRequest(s *submission) error {
	data := []byte(s.payload)
	if s.payloadFile != "" {
		var err error
		if data, err = a.readInput(s.payloadFile); err != nil {
			return &cli.InputError{Err: errors.Wrap(err, "--payload-file")}
		}
	}
	if len(data) > 0 && !json.Valid(data) {
		return inputErrorf("the payload is not valid JSON")
	}
	if s.request.Tasks < 1 || s.request.PerTask.IsNegative() || s.deadline < 0 || s.estimate < 0 {
		return inputErrorf("--tasks must be at least 1, and no amount may be negative")
	}
	if len(data) > 0 {
		s.request.Payload = data
	}
	s.request.DeadlineMS, s.request.EstimateMS = s.deadline.Milliseconds(), s.estimate.Milliseconds()
	if s.id != "" {
		if _, _, err := state.RequestID(s.id).Parse(); err != nil {
			return &cli.InputError{Err: errors.Wrap(err, "--id")}
		}
	}
	return nil
}

// readInput reads a file, or standard input for "-".
func (a *app) readInput(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(a.stdin)
	}
	return os.ReadFile(name)
}

// report prints a status. For an outcome other than success it returns an error that
// determines the exit code.
func (a *app) report(s *protocol.RequestStatus) error {
	if err := a.printer().RequestStatus(s); err != nil {
		return err
	}
	return cli.Outcome(s)
}

func (a *app) wait(ctx context.Context, c *cli.Client, id state.RequestID) error {
	s, err := c.Wait(ctx, id)
	if err != nil && ctx.Err() != nil {
		message := "the request has not ended yet"
		if s != nil {
			message = "the request is still " + string(s.Outcome)
		}
		return &protocol.Error{Code: protocol.CodeUnknownOutcome, Step: "wait for " + string(id), Message: message}
	}
	if err != nil {
		return err
	}
	return a.report(s)
}

func (a *app) statusCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "status [ID]",
		Short:   "Show a request, or the system without an ID",
		Example: "  primrosereach status north.6931a4c0.7f3a\n  primrosereach status",
		Args:    cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			c, err := a.apiClient()
			if err != nil {
				return err
			}
			if len(args) == 0 {
				raw, err := c.SystemStatus(cmd.Context())
				if err != nil {
					return err
				}
				return a.printer().Raw(raw)
			}
			s, err := c.Status(cmd.Context(), state.RequestID(args[0]))
			if err != nil {
				return err
			}
			return a.report(s)
		},
	}
}

func (a *app) waitCommand() *cobra.Command {
	var timeout time.Duration
	cmd := &cobra.Command{
		Use:     "wait ID",
		Short:   "Wait for the outcome of a request",
		Example: "  primrosereach wait north.6931a4c0.7f3a --timeout 10m",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			c, err := a.apiClient()
			if err != nil {
				return err
			}
			ctx := cmd.Context()
			if timeout > 0 {
				var cancel context.CancelFunc
				ctx, cancel = context.WithTimeout(ctx, timeout)
				defer cancel()
			}
			return a.wait(ctx, c, state.RequestID(args[0]))
		},
	}
	cmd.Flags().DurationVar(&timeout, "timeout", 0, "longest wait, such as 10m; 0 for no bound")
	return cmd
}

func (a *app) cancelCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "cancel ID",
		Short: "Cancel a request",
		Long: `Cancel a request. Tasks that have not started never will. Running tasks are
stopped, which takes a moment: wait ID shows how they ended.`,
		Example: "  primrosereach cancel north.6931a4c0.7f3a",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			c, err := a.apiClient()
			if err != nil {
				return err
			}
			s, err := c.Cancel(cmd.Context(), state.RequestID(args[0]))
			if err != nil {
				return err
			}
			return a.printer().RequestStatus(s)
		},
	}
}

func (a *app) listCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "list",
		Short:   "List your team's requests",
		Example: "  primrosereach list --json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			c, err := a.apiClient()
			if err != nil {
				return err
			}
			l, err := c.List(cmd.Context())
			if err != nil {
				return err
			}
			return a.printer().Requests(l)
		},
	}
}
