package bench

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Process is a rosedrift process under test. It can be started again after it has ended.
type Process struct {
	Name string
	args []string
	path string
	// Env holds additional environment variables.
	Env []string
	// pprofAddr is the address of the pprof endpoint, empty if the process serves none.
	pprofAddr string
	log       *os.File

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	// earlierCPU is the processor time of the earlier incarnations.
	earlierCPU time.Duration
}

// Build compiles the programs into a directory. A run calls it once.
func Build(dir string, programs ...string) error {
	for _, program := range programs {
		command := exec.Command("go", "build", "-o", filepath.Join(dir, program), "rosedrift.example/rosedrift/cmd/"+program)
		var output bytes.Buffer
		command.Stderr = &output
		if err := command.Run(); err != nil {
			return fmt.Errorf("build of %s: %w: %s", program, err, output.String())
		}
	}
	return nil
}

// NewProcess returns a process that has not been started. Its program is in the directory, and its output is appended
// to NAME.log there.
func NewProcess(dir, program, name string, args ...string) (*Process, error) {
	log, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	return &Process{Name: name, args: args, path: filepath.Join(dir, program), log: log}, nil
}

// Start starts the process. It does nothing if the process is already running.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		return nil
	}
	command := exec.Command(p.path, p.args...)
	command.Stdout, command.Stderr = p.log, p.log
	// GOMAXPROCS is limited to the cores of a small VM, so that the schedulers of many processes on one machine do not
	// spin against each other.
	command.Env = append(append(os.Environ(), "GOMAXPROCS="+strconv.Itoa(maxProcs(p.path))), p.Env...)
	if err := command.Start(); err != nil {
		return fmt.Errorf("start of %s: %w", p.Name, err)
	}
	p.command, p.exited = command, make(chan struct{})
	go p.reap(command, p.exited)
	return nil
}

// enablePprof makes the process serve pprof profiles from its next start on.
func (p *Process) enablePprof() error {
	addr, err := freeAddr()
	if err != nil {
		return err
	}
	p.pprofAddr = addr
	p.args = append([]string{"--pprof-listen", addr}, p.args...)
	return nil
}

func maxProcs(path string) int {
	if strings.HasSuffix(path, "agent") {
		return 1
	}
	return 4
}

func (p *Process) reap(command *exec.Cmd, exited chan struct{}) {
	_ = command.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.earlierCPU += command.ProcessState.SystemTime() + command.ProcessState.UserTime()
	if p.command == command {
		p.command = nil
	}
	close(exited)
}

func (p *Process) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		_ = p.command.Process.Signal(sig)
	}
}

// Kill ends the process with SIGKILL and waits until it has exited.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	p.waitExit(10 * time.Second)
}

// Pause stops the process with SIGSTOP until Resume.
func (p *Process) Pause() { p.signal(syscall.SIGSTOP) }

// Resume continues a paused process.
func (p *Process) Resume() { p.signal(syscall.SIGCONT) }

// Stop sends the process SIGTERM and reports whether it exited within the limit.
func (p *Process) Stop(limit time.Duration) bool {
	p.signal(syscall.SIGTERM)
	return p.waitExit(limit)
}

func (p *Process) waitExit(limit time.Duration) bool {
	p.mu.Lock()
	exited := p.exited
	running := p.command != nil
	p.mu.Unlock()
	if !running {
		return true
	}
	select {
	case <-exited:
		return true
	case <-time.After(limit):
		return false
	}
}

// usage is the resource use of a process.
type usage struct {
	cpu   time.Duration
	rssMB float64
}

// clockTick is the unit of processor time in /proc (USER_HZ), fixed at 100 per second on Linux.
const clockTick = 10 * time.Millisecond

// Usage reads processor time and resident memory from /proc.
func (p *Process) Usage() usage {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := usage{cpu: p.earlierCPU}
	if p.command == nil {
		return u
	}
	proc := "/proc/" + strconv.Itoa(p.command.Process.Pid)
	if stat, err := os.ReadFile(proc + "/stat"); err == nil {
		u.cpu += parseCPU(string(stat))
	}
	if statm, err := os.ReadFile(proc + "/statm"); err == nil {
		fields := strings.Fields(string(statm))
		pages, _ := strconv.ParseFloat(fields[1], 64)
		u.rssMB = pages * float64(os.Getpagesize()) / (1 << 20)
	}
	return u
}

// parseCPU returns user plus system time from the text of /proc/PID/stat (proc(5), fields 14 and 15).
func parseCPU(stat string) time.Duration {
	_, rest, _ := strings.Cut(stat, ") ")
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0
	}
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	return time.Duration(user+system) * clockTick
}

// Pid returns the process id, 0 if the process does not run.
func (p *Process) Pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return 0
	}
	return p.command.Process.Pid
}

// ownCPU returns the processor time of the bench process: callers, relays and backend server stand-ins.
func ownCPU() time.Duration {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}
