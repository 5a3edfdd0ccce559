package jpcluster

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// Process is one process of the cluster.
type Process struct {
	Name    string
	args    []string
	logPath string
	cmd     *exec.Cmd
	done    chan struct{}
}

// start starts the process. Its output is appended to its log file.
func (pr *Process) start() error {
	out, err := os.OpenFile(pr.logPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(pr.args[0], pr.args[1:]...)
	cmd.Stdout, cmd.Stderr = out, out
	// A cluster runs dozens of processes on one machine, so each gets few threads.
	cmd.Env = append(os.Environ(), "GOMAXPROCS=2")
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("cluster: start %s: %w", pr.Name, err)
	}
	done := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	pr.cmd, pr.done = cmd, done
	return nil
}

// Restart starts a process again that has exited.
func (pr *Process) Restart() error {
	if pr.Running() {
		return fmt.Errorf("cluster: %s is already running", pr.Name)
	}
	return pr.start()
}

// Done returns a channel that is closed when the process exits.
func (pr *Process) Done() <-chan struct{} { return pr.done }

// Running reports whether the process is running.
func (pr *Process) Running() bool {
	if pr.cmd == nil {
		return false
	}
	select {
	case <-pr.done:
		return false
	default:
		return true
	}
}

// Signal sends a signal to the process.
func (pr *Process) Signal(sig syscall.Signal) error {
	if !pr.Running() {
		return fmt.Errorf("cluster: %s is not running", pr.Name)
	}
	return pr.cmd.Process.Signal(sig)
}

// Kill sends SIGKILL to simulate a crash, and waits until the process exits.
func (pr *Process) Kill() error {
	if err := pr.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-pr.done
	return nil
}

// Pause stops the process with SIGSTOP until Resume.
func (pr *Process) Pause() error { return pr.Signal(syscall.SIGSTOP) }

// Resume continues a paused process.
func (pr *Process) Resume() error { return pr.Signal(syscall.SIGCONT) }

// Terminate sends SIGTERM, which starts the planned stop of an instance, and waits
// until the process exits.
func (pr *Process) Terminate(ctx context.Context) error {
	if err := pr.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-pr.done:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("cluster: %s did not exit: %w", pr.Name, ctx.Err())
	}
}

// CPU returns the CPU time of a process that has exited, 0 while it is running.
func (pr *Process) CPU() time.Duration {
	if pr.cmd == nil || pr.cmd.ProcessState == nil {
		return 0
	}
	return pr.cmd.ProcessState.UserTime() + pr.cmd.ProcessState.SystemTime()
}

// PID returns the process id, 0 if the process is not running.
func (pr *Process) PID() int {
	if !pr.Running() {
		return 0
	}
	return pr.cmd.Process.Pid
}

// startProcess starts a process and adds it to the cluster.
func (cl *Cluster) startProcess(name string, args ...string) (*Process, error) {
	pr := &Process{Name: name, args: args, logPath: filepath.Join(cl.spec.Dir, name+".log")}
	if err := pr.start(); err != nil {
		return nil, err
	}
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.processes = append(cl.processes, pr)
	return pr, nil
}
