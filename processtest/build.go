package processtest

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

const program = "github.com/primrosereach/primrosereach/cmd/primrosereach"

// binary is the path of the built program, set by Main.
var binary string

// Main builds the program, runs the tests and exits. It must be called by TestMain of
// every package that uses this one.
func Main(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "processtest")
	if err != nil {
		fmt.Fprintln(os.Stderr, "processtest:", err)
		return 1
	}
	defer os.RemoveAll(dir)
	binary = filepath.Join(dir, "primrosereach")
	args := append([]string{"build", "-o", binary}, raceFlags...)
	if out, err := exec.Command("go", append(args, program)...).CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "processtest: build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}
