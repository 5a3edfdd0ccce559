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

// start runs the process. Its output is appended to its log file.
func (pr *Process) start() error {
	out, err := os.OpenFile(pr.logPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(pr.args[0], pr.args[1:]...)
	cmd.Stdout, cmd.Stderr = out, out
	// Few threads each keep a cluster of dozens of processes on one machine cheap.
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

// Restart starts a process that has ended again.
func (pr *Process) Restart() error {
	if pr.Running() {
		return fmt.Errorf("cluster: %s runs", pr.Name)
	}
	return pr.start()
}

// Done is closed when the process ends.
func (pr *Process) Done() <-chan struct{} { return pr.done }

// Running tells whether the process runs.
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
		return fmt.Errorf("cluster: %s does not run", pr.Name)
	}
	return pr.cmd.Process.Signal(sig)
}

// Kill ends the process at once, as a crash does.
func (pr *Process) Kill() error {
	if err := pr.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-pr.done
	return nil
}

// Pause freezes the process; Resume lets it go on.
func (pr *Process) Pause() error { return pr.Signal(syscall.SIGSTOP) }

// Resume lets a paused process go on.
func (pr *Process) Resume() error { return pr.Signal(syscall.SIGCONT) }

// Terminate asks the process to end as planned and waits for it.
func (pr *Process) Terminate(ctx context.Context) error {
	if err := pr.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-pr.done:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("cluster: %s did not end: %w", pr.Name, ctx.Err())
	}
}

// CPU returns the processor time that an ended process used.
func (pr *Process) CPU() time.Duration {
	if pr.cmd == nil || pr.cmd.ProcessState == nil {
		return 0
	}
	return pr.cmd.ProcessState.UserTime() + pr.cmd.ProcessState.SystemTime()
}

// PID returns the id of the running process, 0 if it does not run.
func (pr *Process) PID() int {
	if !pr.Running() {
		return 0
	}
	return pr.cmd.Process.Pid
}

// process adds a process to the cluster and starts it.
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
