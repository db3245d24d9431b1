package lovagebench

import (
	"bufio"
	"os"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Usage is the share of the cores that was busy during an interval.
type Usage struct {
	Process float64 // used by this process
	Machine float64 // used by all processes; 0 without /proc/stat
}

// maxBusyShare is the share of busy cores above which measured times are unreliable.
const maxBusyShare = 0.7

// usageStart holds the time and CPU counters at the start of an interval.
type usageStart struct {
	startTime             time.Time
	processCPUTime        time.Duration
	busyTicks, totalTicks float64
}

func startUsage() usageStart {
	us := usageStart{startTime: time.Now(), processCPUTime: processTime()}
	us.busyTicks, us.totalTicks = machineTicks()
	return us
}

func (us usageStart) stop() Usage {
	var out Usage
	if wall := time.Since(us.startTime); wall > 0 {
		out.Process = (processTime() - us.processCPUTime).Seconds() / wall.Seconds() / float64(runtime.NumCPU())
	}
	if busy, total := machineTicks(); total > us.totalTicks {
		out.Machine = (busy - us.busyTicks) / (total - us.totalTicks)
	}
	return out
}

// processTime returns the CPU time of this process.
func processTime() time.Duration {
	var ru syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &ru) != nil {
		return 0
	}
	return time.Duration(ru.Utime.Nano() + ru.Stime.Nano())
}

// machineTicks returns the busy and total CPU ticks since boot, or 0 if there is no /proc/stat.
func machineTicks() (busy, total float64) {
	file, err := os.Open("/proc/stat")
	if err != nil {
		return 0, 0
	}
	defer func() { _ = file.Close() }()
	sc := bufio.NewScanner(file)
	if !sc.Scan() {
		return 0, 0
	}
	const idle, ioWait, fields = 3, 4, 8 // user nice system idle iowait irq softirq steal; guest time is part of user
	for i, text := range strings.Fields(sc.Text())[1:] {
		value, err := strconv.ParseFloat(text, 64)
		if err != nil || i >= fields {
			break
		}
		total += value
		if i != idle && i != ioWait {
			busy += value
		}
	}
	return busy, total
}
