package processtest

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/primrosereach/primrosereach/protocol"
	"github.com/primrosereach/primrosereach/protocol/settings"
)

// Process is one entry process. It can be started again after it has ended.
type Process struct {
	settings.Peer
	SettingsFile string
	DataDir      string

	logFile string
	cmd     *exec.Cmd
	ended   chan struct{}
}

// Start starts the process and returns at once.
func (p *Process) Start(t testing.TB) {
	t.Helper()
	log, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	p.cmd = exec.Command(binary, "serve", "--settings", p.SettingsFile)
	p.cmd.Stderr = log
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	cmd, ended := p.cmd, make(chan struct{})
	p.ended = ended
	go func() {
		_ = cmd.Wait() // the exit code is read from the process state
		close(ended)
	}()
}

// Signal sends a signal to this process only.
func (p *Process) Signal(t testing.TB, s syscall.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		t.Fatalf("signal %v to %s: %v", s, p.Name, err)
	}
}

// Kill ends the process as a crash would and waits until it has ended.
func (p *Process) Kill(t testing.TB) {
	t.Helper()
	p.Signal(t, syscall.SIGKILL)
	<-p.ended
}

// Terminate asks the process to stop and returns its exit code.
func (p *Process) Terminate(t testing.TB) int {
	t.Helper()
	p.Signal(t, syscall.SIGTERM)
	Await(t, p.Name+" ends", func() bool { return !p.Running() })
	return p.cmd.ProcessState.ExitCode()
}

// Running reports whether the process has been started and has not ended.
func (p *Process) Running() bool {
	if p.cmd == nil {
		return false
	}
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// probe does not keep connections, so that it never meets one of an ended process.
var probe = &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// Get reads a path of the public address. The status is 0 without an answer.
func (p *Process) Get(path string) (status int, body []byte) {
	req, err := http.NewRequest(http.MethodGet, "http://"+p.PublicAddress+path, nil)
	if err != nil {
		return 0, nil
	}
	res, err := probe.Do(req)
	if err != nil {
		return 0, nil
	}
	defer res.Body.Close()
	body, err = io.ReadAll(res.Body)
	if err != nil {
		return 0, nil
	}
	return res.StatusCode, body
}

// Ready reports whether the process answers /readyz with success.
func (p *Process) Ready() bool {
	status, _ := p.Get("/readyz")
	return status == http.StatusOK
}

// Status returns what the process says of itself, nil without an answer.
func (p *Process) Status() *protocol.ProcessStatus {
	status, body := p.Get(protocol.PathStatus)
	var s protocol.ProcessStatus
	if status != http.StatusOK || json.Unmarshal(body, &s) != nil {
		return nil
	}
	return &s
}

// Group returns what the process knows of a group, nil if it does not answer or
// does not host the group.
func (p *Process) Group(name string) *protocol.GroupStatus {
	s := p.Status()
	if s == nil {
		return nil
	}
	for i := range s.Groups {
		if s.Groups[i].Group == name {
			return &s.Groups[i]
		}
	}
	return nil
}

// Log returns everything the process has written to standard error.
func (p *Process) Log() []byte {
	b, err := os.ReadFile(p.logFile)
	if err != nil {
		return nil
	}
	return b
}

// finish ends the process and fails the test if the race detector found something.
func (p *Process) finish(t testing.TB) {
	if p.Running() {
		_ = p.cmd.Process.Kill() // also ends a stopped process
		<-p.ended
	}
	log := p.Log()
	if at := bytes.Index(log, []byte("WARNING: DATA RACE")); at >= 0 {
		t.Errorf("%s: %s", p.Name, log[at:min(len(log), at+6000)])
	}
	if at := bytes.Index(log, []byte("panic: ")); at >= 0 {
		t.Errorf("%s: %s", p.Name, log[at:min(len(log), at+3000)])
	}
	if dir := os.Getenv("PROCESSTEST_LOGS"); dir != "" {
		_ = os.WriteFile(filepath.Join(dir, filepath.Base(t.Name())+"-"+p.Name+".log"), log, 0o600)
	}
}
