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

// Process is one entry process. It can be started again after it has stopped.
type Process struct {
	settings.Peer
	SettingsFile string
	DataDir      string

	logFile string
	cmd     *exec.Cmd
	ended   chan struct{}
}

// Start starts the process without waiting until it is ready.
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

// Kill stops the process with SIGKILL, which simulates a crash, and waits until it has
// exited.
func (p *Process) Kill(t testing.TB) {
	t.Helper()
	p.Signal(t, syscall.SIGKILL)
	<-p.ended
}

// Terminate sends SIGTERM, waits until the process has exited and returns its exit
// code.
func (p *Process) Terminate(t testing.TB) int {
	t.Helper()
	p.Signal(t, syscall.SIGTERM)
	Await(t, p.Name+" has exited", func() bool { return !p.Running() })
	return p.cmd.ProcessState.ExitCode()
}

// Running reports whether the process has been started and has not exited.
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

// probe keeps no connections open, so that it never reuses a connection to a process
// that has exited.
var probe = &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// Get requests a path of the public address. The status is 0 if there is no answer.
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

// Status returns the status that the process reports, or nil if there is no answer.
func (p *Process) Status() *protocol.ProcessStatus {
	status, body := p.Get(protocol.PathStatus)
	var s protocol.ProcessStatus
	if status != http.StatusOK || json.Unmarshal(body, &s) != nil {
		return nil
	}
	return &s
}

// Group returns the status of a group that the process reports, or nil if the process
// does not answer or does not host the group.
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

// stopAndCheckLog stops the process and fails the test if its log contains a data race
// or a panic. It copies the log to the directory PROCESSTEST_LOGS, if that is set.
func (p *Process) stopAndCheckLog(t testing.TB) {
	if p.Running() {
		_ = p.cmd.Process.Kill() // SIGKILL also ends a process that SIGSTOP has paused
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
