package processtest

import (
	"bytes"
	"errors"
	"os"
	"os/exec"
	"strings"
	"testing"
)

// Output is the result of one command.
type Output struct {
	Code           int
	Stdout, Stderr string
}

// Command runs the program with the given servers in its environment.
func Command(t testing.TB, servers []string, args ...string) Output {
	t.Helper()
	cmd := exec.Command(binary, args...)
	// Without this setting the race detector sleeps for 1 s at each exit.
	cmd.Env = append(os.Environ(), "GORACE=atexit_sleep_ms=0", "PRIMROSEREACH_SERVER="+strings.Join(servers, ","))
	var stdout, stderr bytes.Buffer
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	err := cmd.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		t.Fatalf("%v: %v", args, err)
	}
	return Output{Code: cmd.ProcessState.ExitCode(), Stdout: stdout.String(), Stderr: stderr.String()}
}
