package main

import (
	"crypto/tls"
	"crypto/x509"
	"io"
	"net/http"
	"os"
	"strings"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/primrosereach/primrosereach/transport/cli"
)

// app holds the streams and the flags that all commands share.
type app struct {
	stdin          io.Reader
	stdout, stderr io.Writer
	argsAccepted   bool // the arguments are valid and the command has started

	json      bool
	servers   []string
	tokenFile string
	caFile    string
	team      string
	operator  string
	maxRounds int
	client    *cli.Client // created by apiClient on first use
}

func newApp(stdin io.Reader, stdout, stderr io.Writer) *app {
	return &app{stdin: stdin, stdout: stdout, stderr: stderr}
}

const rootHelp = `primrosereach schedules the work of several teams on shared computers.

Exit codes:
  0  done, or accepted
  1  failed, was stopped, or any other error
  2  bad input, settings or credentials
  3  refused or cancelled before the start: it did not run
  4  outcome unknown: it may have run, or may have been accepted
  5  the system cannot be reached, and nothing was done
  6  conflict: another change or request came first

Environment:
  PRIMROSEREACH_SERVER  servers for --server, separated by commas`

func (a *app) rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "primrosereach",
		Short:         "Cluster scheduler for small organisations",
		Long:          rootHelp,
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	root.SetIn(a.stdin)
	root.SetOut(a.stdout)
	root.SetErr(a.stderr)
	f := root.PersistentFlags()
	f.BoolVar(&a.json, "json", false, "print JSON instead of tables")
	f.StringArrayVar(&a.servers, "server", serversFromEnvironment(), "address of an entry process, host:port or URL; repeatable, the next one is tried when one does not answer")
	f.StringVar(&a.tokenFile, "token-file", "", "file that contains your token")
	f.StringVar(&a.caFile, "ca-file", "", "PEM file with the authority that signed the servers' certificates")
	f.StringVar(&a.team, "team", "", "your team, on a test network without tokens")
	f.StringVar(&a.operator, "operator", "", "your name, on a test network without tokens")
	f.IntVar(&a.maxRounds, "rounds", cli.DefaultRounds, "attempts at each server before giving up")
	root.AddCommand(
		a.serveCommand(), a.memberCommand(), a.gatewayCommand(), a.explainCommand(), a.dryRunCommand(), a.settingsCommand(), a.questionnaireCommand(), a.applyCommand(),
		a.submitCommand(), a.statusCommand(), a.waitCommand(), a.cancelCommand(), a.listCommand(),
		a.endpointsCommand(), a.drainCommand(), a.auditCommand(), a.configCommand(),
		a.versionCommand(),
	)
	a.markArgsAccepted(root)
	return root
}

// markArgsAccepted wraps every command so that it sets argsAccepted when it starts. An
// error before that is a mistake in the arguments. A pre-run hook would be too early:
// cobra checks the required flags after it.
func (a *app) markArgsAccepted(cmd *cobra.Command) {
	for _, sub := range cmd.Commands() {
		a.markArgsAccepted(sub)
	}
	if run := cmd.RunE; run != nil {
		cmd.RunE = func(cmd *cobra.Command, args []string) error {
			a.argsAccepted = true
			return run(cmd, args)
		}
	}
}

func serversFromEnvironment() []string {
	v := os.Getenv("PRIMROSEREACH_SERVER")
	if v == "" {
		return nil
	}
	return strings.Split(v, ",")
}

func (a *app) printer() cli.Printer { return cli.Printer{Out: a.stdout, JSON: a.json} }

// apiClient returns the client that the shared flags describe, and creates it on first use.
func (a *app) apiClient() (*cli.Client, error) {
	if a.client != nil {
		return a.client, nil
	}
	if len(a.servers) == 0 {
		return nil, inputErrorf("no server is named: use --server or PRIMROSEREACH_SERVER")
	}
	token, err := a.token()
	if err != nil {
		return nil, err
	}
	transport, err := a.transport()
	if err != nil {
		return nil, err
	}
	a.client = &cli.Client{
		Servers: a.servers, Token: token, Team: a.team, Operator: a.operator,
		HTTP: &http.Client{Transport: transport}, MaxRounds: a.maxRounds, Pause: cli.Sleep,
	}
	return a.client, nil
}

func (a *app) token() (string, error) {
	if a.tokenFile == "" {
		return "", nil
	}
	data, err := os.ReadFile(a.tokenFile)
	if err != nil {
		return "", &cli.InputError{Err: errors.Wrap(err, "--token-file")}
	}
	token := strings.TrimSpace(string(data))
	if token == "" || strings.ContainsAny(token, " \t\r\n") {
		return "", inputErrorf("--token-file %s: want one token and nothing else", a.tokenFile)
	}
	return token, nil
}

func (a *app) transport() (*http.Transport, error) {
	t := http.DefaultTransport.(*http.Transport).Clone()
	if a.caFile == "" {
		return t, nil
	}
	data, err := os.ReadFile(a.caFile)
	if err != nil {
		return nil, &cli.InputError{Err: errors.Wrap(err, "--ca-file")}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, inputErrorf("--ca-file %s: holds no certificate", a.caFile)
	}
	t.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	return t, nil
}

func inputErrorf(format string, args ...any) error {
	return &cli.InputError{Err: errors.Errorf(format, args...)}
}
