package lovagemetric

import (
	"os"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// RegisterProcess registers metrics of this process: resident memory, CPU time, goroutines and uptime. Bytes sent to
// peers are counted separately, through PeerCounters.
func (re *Registry) RegisterProcess() {
	re.GaugeFunc("process_resident_memory_bytes", "Resident memory; 0 where /proc is missing.", residentBytes)
	re.CounterFunc("process_cpu_seconds", "CPU time in user and system mode.", cpuSeconds)
	re.GaugeFunc("process_goroutines", "Goroutines.", func() float64 { return float64(runtime.NumGoroutine()) })
	started := time.Now()
	re.GaugeFunc("process_uptime_seconds", "Time since the metrics were registered.", func() float64 {
		return time.Since(started).Seconds()
	})
}

// residentBytes returns the resident memory, or 0 if unknown. Field 2 of /proc/self/statm counts its pages.
func residentBytes() float64 {
	text, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return 0
	}
	return float64(pages * int64(os.Getpagesize()))
}

func cpuSeconds() float64 {
	var ru syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &ru); err != nil {
		return 0
	}
	return time.Duration(ru.Utime.Nano() + ru.Stime.Nano()).Seconds()
}
