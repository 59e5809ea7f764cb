package world

import (
	"context"
	"time"

	"golang.org/x/sys/unix"

	"lovagestream/io/clock"
)

const (
	// cpuPeriod is the period in which a process gets its share of processor time, as
	// container runtimes have it.
	cpuPeriod = 25 * time.Millisecond
	// cpuBurst is the number of periods whose unused parts are kept, so that a process gets
	// its share also if the machine runs it, or this goroutine, late.
	cpuBurst = 4
	// cpuCheckInterval is how often the processor time that was used is read.
	cpuCheckInterval = time.Millisecond
)

// LimitCPU holds the process to a share of one processor until it ends: it is stopped
// once it has used its part of a period. What it used beyond that counts in the next.
func (prc *Process) LimitCPU(share float64) {
	prc.grp.Go(func(ctx context.Context) error {
		clk := clock.System{}
		used, quota, stopped := prc.cpuTime(), time.Duration(0), false
		for start := clk.Now(); prc.Running() && clk.Sleep(ctx, cpuCheckInterval) == nil; {
			periods := clk.Now().Sub(start) / cpuPeriod
			if periods > 0 {
				start = start.Add(periods * cpuPeriod)
				part := time.Duration(share * float64(cpuPeriod))
				quota = min(quota+periods*part, cpuBurst*part)
			}
			now := prc.cpuTime()
			quota -= now - used
			used = now
			if over := quota <= 0; over != stopped {
				stopped = over
				sig := unix.SIGCONT
				if over {
					sig = unix.SIGSTOP
				}
				_ = prc.cmd.Process.Signal(sig)
			}
		}
		return nil
	})
}

// cpuTime returns the processor time that the process has used; 0 if it has ended.
func (prc *Process) cpuTime() time.Duration {
	// The clock of a process's processor time has its number from the process ID, as
	// clock_getcpuclockid(3) makes it.
	clockID := int32(^prc.cmd.Process.Pid)<<3 | 2
	var spc unix.Timespec
	if err := unix.ClockGettime(clockID, &spc); err != nil {
		return 0
	}
	return time.Duration(spc.Nano())
}
