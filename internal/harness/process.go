package harness

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// Process is one started process; only these are ever signalled.
type Process struct {
	Name string

	cmd  *exec.Cmd
	done chan struct{}
}

func startProcess(name, program, dir string, args ...string) (*Process, error) {
	const private = 0o600

	log, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, private)
	if err != nil {
		return nil, ErrHarness.Wrap(err)
	}
	defer func() { _ = log.Close() }()

	cmd := exec.Command(program, args...) //nolint:gosec,noctx // a program of this project
	cmd.Stdout, cmd.Stderr = log, log
	// If the experiment itself is killed, its processes go with it.
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

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Terminate asks for a graceful stop and waits for its end; it reports whether
// the process ended by itself in time.
func (p *Process) Terminate(within time.Duration) bool {
	_ = p.cmd.Process.Signal(syscall.SIGTERM)

	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode() == 0
	case <-time.After(within):
		return false
	}
}

// Kill ends the process at once.
func (p *Process) Kill() {
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Freeze stops the process without its notice; Wake lets it go on.
func (p *Process) Freeze() { _ = p.cmd.Process.Signal(syscall.SIGSTOP) }

// Wake lets a frozen process go on.
func (p *Process) Wake() { _ = p.cmd.Process.Signal(syscall.SIGCONT) }
