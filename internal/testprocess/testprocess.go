// Package testprocess runs a test binary again as the program that it tests, in a process of its own,
// so that tests can send it signals.
package testprocess

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// envVar makes the test binary run the program in place of the tests.
const envVar = "GOLDCRESTSPAN_TEST_PROGRAM"

// Main is the TestMain of a package: it runs the program in a process that Start started, and the
// tests in any other.
func Main(m *testing.M, program func()) {
	if os.Getenv(envVar) != "" {
		program()
		return
	}
	os.Exit(m.Run())
}

const (
	waitTimeout = 15 * time.Second
	// hangupInterval is the time between two SIGHUPs of a series.
	hangupInterval = 25 * time.Millisecond
)

// Process is the program, run as a process of its own.
type Process struct {
	t      *testing.T
	cmd    *exec.Cmd
	log    string // path
	exited chan struct{}
}

// Start starts the program with a log file. The end of the test ends the process.
func Start(t *testing.T, env []string, args ...string) *Process {
	t.Helper()
	out, err := os.Create(filepath.Join(t.TempDir(), "log"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = out.Close() }() // the process has its own descriptor
	return StartLogging(t, out, env, args...)
}

// StartLogging starts the program with a given log.
func StartLogging(t *testing.T, log *os.File, env []string, args ...string) *Process {
	t.Helper()
	p := &Process{t: t, log: log.Name(), exited: make(chan struct{})}
	p.cmd = exec.Command(os.Args[0], args...)
	p.cmd.Env = append(env, envVar+"=1")
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.cmd.Wait() // see cmd.ProcessState
		close(p.exited)
	}()
	t.Cleanup(func() {
		p.Signal(syscall.SIGKILL)
		<-p.exited
		if t.Failed() {
			t.Logf("log:\n%s", p.readLog())
		}
	})
	return p
}

// readLog returns the log, which is empty if it is no file.
func (p *Process) readLog() []byte {
	text, _ := os.ReadFile(p.log)
	return text
}

// Signal sends a signal to the process, which may have ended.
func (p *Process) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// WaitUntil waits until a condition holds, and fails the test if it doesn't for long.
func (p *Process) WaitUntil(what string, done func() bool) {
	p.t.Helper()
	for end := time.Now().Add(waitTimeout); !done(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			p.t.Fatalf("timed out waiting until %s", what)
		}
	}
}

// WaitUntilLogged waits until the log has the text.
func (p *Process) WaitUntilLogged(text string) {
	p.t.Helper()
	p.WaitUntil("the log has "+text, func() bool { return bytes.Contains(p.readLog(), []byte(text)) })
}

// HangUp sends SIGHUP in series until the process ends, and calls before ahead of each.
func (p *Process) HangUp(before func(n int)) {
	for n := 0; p.Running(); n++ {
		before(n)
		p.Signal(syscall.SIGHUP)
		time.Sleep(hangupInterval)
	}
}

// RequireCleanExit waits for the end of the process and checks that it ended by itself, as a host that
// was stopped.
func (p *Process) RequireCleanExit() {
	p.t.Helper()
	p.WaitUntil("the process ends", func() bool { return !p.Running() })
	if !p.cmd.ProcessState.Success() {
		p.t.Fatalf("the process ended with %v", p.cmd.ProcessState)
	}
	if !bytes.Contains(p.readLog(), []byte("entry host ended")) {
		p.t.Fatal("the log doesn't say that the host ended")
	}
}

// EndSignal waits for the end of the process and returns the signal that ended it; negative if none
// did.
func (p *Process) EndSignal() syscall.Signal {
	p.t.Helper()
	p.WaitUntil("the process ends", func() bool { return !p.Running() })
	return p.cmd.ProcessState.Sys().(syscall.WaitStatus).Signal()
}

// PeakMemory returns the largest resident memory of the process so far, in bytes.
func (p *Process) PeakMemory() int64 {
	p.t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		p.t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	var kib int64
	if _, err := fmt.Sscanf(rest, "%d kB", &kib); err != nil {
		p.t.Fatal(err)
	}
	return kib << 10
}

// HostAddress returns a loopback address that no other process of the tests listens on.
func HostAddress() string {
	const octetValues = 250 // leaves out 0 and 255
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.2", 1+pid/octetValues%octetValues, 1+pid%octetValues)
}
