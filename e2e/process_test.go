package e2e

import (
	"fmt"
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// binaryPath is the path of the program under test, which TestMain builds.
var binaryPath string

func TestMain(m *testing.M) {
	if os.Getenv("BRIARCROSS_E2E") == "" {
		fmt.Println("tests skipped: they start separate processes and run only with BRIARCROSS_E2E=1")
		os.Exit(0)
	}
	dir, err := os.MkdirTemp("", "briarcross-e2e")
	if err != nil {
		panic(err)
	}
	binaryPath = filepath.Join(dir, "briarcross")
	build := exec.Command("go", "build", "-o", binaryPath, "../cmd/briarcross")
	if out, err := build.CombinedOutput(); err != nil {
		panic(fmt.Sprintf("building ../cmd/briarcross: %v\n%s", err, out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// process is a daemon that runs as a separate process.
type process struct {
	name string
	args []string
	// env is added to the environment variables of the test process.
	env     []string
	logPath string
	command *exec.Cmd
	exited  chan struct{}
	// frozen is set while the process is stopped by SIGSTOP. Helpers send it no
	// requests then, as they would block.
	frozen atomic.Bool
	// freezeChanges counts the beginnings and ends of freezes.
	freezeChanges atomic.Int32
	// cutUntilUnixMs is the time until which the process counts as cut off from others.
	cutUntilUnixMs atomic.Int64
}

// beginCut marks the process as cut off from others.
func (p *process) beginCut() { p.cutUntilUnixMs.Store(math.MaxInt64) }

// endCut ends beginCut once the process has had time to hear of what it missed.
func (p *process) endCut() { p.cutUntilUnixMs.Store(time.Now().Add(limitContact).UnixMilli()) }

func (p *process) isCut() bool { return time.Now().UnixMilli() < p.cutUntilUnixMs.Load() }

func startDaemon(t *testing.T, dir, name string, args ...string) *process {
	t.Helper()
	return startDaemonWithEnv(t, dir, name, nil, args...)
}

func startDaemonWithEnv(t *testing.T, dir, name string, env []string, args ...string) *process {
	t.Helper()
	p := &process{name: name, args: args, env: env, logPath: filepath.Join(dir, name+".log")}
	p.start(t)
	t.Cleanup(func() {
		p.kill()
		if t.Failed() || os.Getenv("SHOWLOGS") != "" {
			t.Logf("last log lines of %s:\n%s", name, p.logTail())
		}
	})
	return p
}

func (p *process) start(t *testing.T) {
	t.Helper()
	logFile, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = logFile.Close() }()
	p.command = exec.Command(binaryPath, p.args...)
	p.command.Env = append(os.Environ(), p.env...)
	p.command.Stdout = logFile
	p.command.Stderr = logFile
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	p.exited = make(chan struct{})
	go func(command *exec.Cmd, exited chan struct{}) {
		_ = command.Wait()
		close(exited)
	}(p.command, p.exited)
}

// kill ends the process by SIGKILL and waits for its end. It also ends a frozen
// process.
func (p *process) kill() {
	_ = p.command.Process.Kill()
	<-p.exited
}

// freeze suspends the process by SIGSTOP; its connections stay open.
func (p *process) freeze() {
	p.frozen.Store(true)
	p.freezeChanges.Add(1)
	_ = p.command.Process.Signal(syscall.SIGSTOP)
}

func (p *process) resume() {
	_ = p.command.Process.Signal(syscall.SIGCONT)
	p.frozen.Store(false)
	p.freezeChanges.Add(1)
}

// requestStop begins a planned stop by SIGTERM.
func (p *process) requestStop() {
	_ = p.command.Process.Signal(syscall.SIGTERM)
}

// waitExit waits until the process has ended and returns its exit code.
func (p *process) waitExit() int {
	<-p.exited
	return p.command.ProcessState.ExitCode()
}

// logLinesOf returns the log lines of one request.
func (p *process) logLinesOf(requestID string) string {
	text, err := os.ReadFile(p.logPath)
	if err != nil {
		return err.Error()
	}
	var lines []string
	for line := range strings.Lines(string(text)) {
		if strings.Contains(line, fmt.Sprintf(`"request":%q`, requestID)) {
			lines = append(lines, line)
		}
	}
	return strings.Join(lines, "")
}

func (p *process) logTail() string {
	const count = 30
	text, err := os.ReadFile(p.logPath)
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(string(text), "\n")
	return strings.Join(lines[max(0, len(lines)-count):], "\n")
}
