package world

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"lovagestream/io/group"
)

// Build builds the project's two programs into a directory with the go command.
func Build(dir string) error {
	cmd := exec.Command("go", "build", "-o", dir, "lovagestream/cmd/lovagestream", "lovagestream/cmd/lovagestand")
	cmd.Stderr = os.Stderr
	return errors.Wrap(cmd.Run(), "build the programs")
}

// Process is one program under test.
type Process struct {
	name string
	cmd  *exec.Cmd
	grp  *group.Group
	// done is closed when the process has ended and code is set.
	done chan struct{}
	code int

	mu sync.Mutex
	// output is everything written to stdout and stderr.
	output bytes.Buffer
}

// Start runs a program, waits until a line of its output matches, and returns
// the match and its groups.
func Start(name, path string, args []string, ready *regexp.Regexp) (*Process, []string, error) {
	prc := &Process{name: name, grp: group.New(context.Background()), done: make(chan struct{})}
	prc.cmd = exec.Command(path, args...)
	rdr, wri := io.Pipe()
	prc.cmd.Stdout, prc.cmd.Stderr = wri, wri
	if err := prc.cmd.Start(); err != nil {
		return nil, nil, errors.Wrapf(err, "start %s", name)
	}
	found := make(chan []string, 1)
	prc.grp.Go(func(context.Context) error { return prc.read(rdr, ready, found) })
	prc.grp.Go(func(context.Context) error {
		_ = prc.cmd.Wait()
		_ = wri.Close()
		prc.code = prc.cmd.ProcessState.ExitCode()
		close(prc.done)
		return nil
	})
	select {
	case got := <-found:
		return prc, got, nil
	case <-prc.done:
		return nil, nil, errors.Errorf("%s exited during startup:\n%s", name, prc.Log())
	case <-time.After(StateTimeout):
		prc.Kill()
		return nil, nil, errors.Errorf("%s did not get ready within the timeout:\n%s", name, prc.Log())
	}
}

func (prc *Process) read(rdr io.Reader, ready *regexp.Regexp, found chan<- []string) error {
	scn := bufio.NewScanner(rdr)
	scn.Buffer(nil, 1<<20)
	seen := false
	for scn.Scan() {
		prc.mu.Lock()
		prc.output.WriteString(scn.Text() + "\n")
		prc.mu.Unlock()
		if got := ready.FindStringSubmatch(scn.Text()); got != nil && !seen {
			seen = true
			found <- got
		}
	}
	_, _ = io.Copy(io.Discard, rdr)
	return nil
}

// Log returns everything that the process wrote.
func (prc *Process) Log() string {
	prc.mu.Lock()
	defer prc.mu.Unlock()
	return prc.output.String()
}

// Pause stops the process with SIGSTOP, as if its machine froze. The signal takes
// effect with a delay, so Pause waits until the process is stopped.
func (prc *Process) Pause() {
	_ = prc.cmd.Process.Signal(syscall.SIGSTOP)
	for end := time.Now().Add(StateTimeout); !prc.stopped() && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
}

// stopped reports whether the process is stopped. Its state is the field after
// the name in parentheses.
func (prc *Process) stopped() bool {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", prc.cmd.Process.Pid))
	if err != nil {
		return true
	}
	_, rest, _ := strings.Cut(string(raw), ") ")
	return strings.HasPrefix(rest, "T")
}

// Resume continues a paused process.
func (prc *Process) Resume() { _ = prc.cmd.Process.Signal(syscall.SIGCONT) }

// Reload makes the process reload its settings.
func (prc *Process) Reload() { _ = prc.cmd.Process.Signal(syscall.SIGHUP) }

// Terminate requests a planned stop.
func (prc *Process) Terminate() { _ = prc.cmd.Process.Signal(syscall.SIGTERM) }

// Kill ends the process, even a paused one, and waits until it has ended.
func (prc *Process) Kill() {
	_ = prc.cmd.Process.Signal(syscall.SIGKILL)
	<-prc.done
}

// PeakMemory returns the largest resident size that the process had, in bytes.
func (prc *Process) PeakMemory() (int64, error) {
	doc, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", prc.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	for _, line := range strings.Split(string(doc), "\n") {
		if val, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			num, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(val), " kB"), 10, 64)
			return num << 10, err
		}
	}
	return 0, errors.New("the peak of the memory is not known")
}

// Running reports whether the process has not ended.
func (prc *Process) Running() bool {
	select {
	case <-prc.done:
		return false
	default:
		return true
	}
}

// Wait waits until the process has ended and returns its exit code.
func (prc *Process) Wait() (int, error) {
	select {
	case <-prc.done:
		return prc.code, nil
	case <-time.After(StateTimeout):
		return 0, errors.Errorf("%s has not exited", prc.name)
	}
}
