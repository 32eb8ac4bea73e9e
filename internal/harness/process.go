package harness

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// Process is a process that this package started. The package signals no other process.
type Process struct {
	Name string

	cmd  *exec.Cmd
	done chan struct{}
}

func startProcess(name, program, dir string, args ...string) (*Process, error) {
	const fileMode = 0o600

	log, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
	if err != nil {
		return nil, ErrHarness.Wrap(err)
	}
	defer func() { _ = log.Close() }()

	cmd := exec.Command(program, args...) //nolint:gosec,noctx // a program of this project
	cmd.Stdout, cmd.Stderr = log, log
	// The kernel kills the process when the experiment's own process dies.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}

	if err := cmd.Start(); err != nil {
		return nil, ErrHarness.With("%s", name).Wrap(err)
	}

	p := &Process{Name: name, cmd: cmd, done: make(chan struct{})}

	go func() {
		_ = cmd.Wait()
		close(p.done)
	}()

	return p, nil
}

// Pid returns the process ID.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Running reports whether the process is still running.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Terminate sends SIGTERM and waits for the process to exit. It reports whether the process
// exited with status 0 before the timeout.
func (p *Process) Terminate(timeout time.Duration) bool {
	_ = p.cmd.Process.Signal(syscall.SIGTERM)

	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode() == 0
	case <-time.After(timeout):
		return false
	}
}

// Kill kills the process, also a paused one, and waits for its end.
func (p *Process) Kill() {
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Pause pauses the process with SIGSTOP, which the process can't handle.
func (p *Process) Pause() { _ = p.cmd.Process.Signal(syscall.SIGSTOP) }

// Resume resumes a paused process with SIGCONT.
func (p *Process) Resume() { _ = p.cmd.Process.Signal(syscall.SIGCONT) }
