// Command primrosereach runs the processes of a cell and is the command line of callers
// and operators.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/primrosereach/primrosereach/transport/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	a := newApp(os.Stdin, os.Stdout, os.Stderr)
	code := a.run(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}

// run executes one command and returns the exit code.
func (a *app) run(ctx context.Context, args []string) int {
	root := a.rootCommand()
	root.SetArgs(args)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return cli.ExitDone
	}
	fmt.Fprintln(a.stderr, "primrosereach:", err)
	if !a.argsAccepted {
		return cli.ExitInput // unknown command, flag or argument
	}
	return cli.ExitCode(err)
}
