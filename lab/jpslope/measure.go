package jpslope

import (
	"fmt"
	"os"
	"runtime"
	"strings"
	"syscall"
	"time"
)

// Measurement is one measured value.
type Measurement struct {
	Name       string
	Conditions string // sizes that it was measured with
	Value      float64
	Unit       string
}

// Groups lists the groups of measurements, each with the name that selects it on the
// command line.
var Groups = []struct {
	Name string
	Run  func() ([]Measurement, error)
}{
	{"settings", measureSettings},
	{"view", measureViews},
	{"flows", measureFlows},
	{"heartbeats", measureHeartbeats},
	{"connections", measureConnections},
	{"polls", measurePolls},
	{"neighbours", measureNeighbours},
	{"list", measureInstanceList},
	{"membership", measureMembership},
	{"whole", measureInstance},
	{"cluster", measureCluster},
}

const (
	minRuns    = 3
	minRunTime = 300 * time.Millisecond
)

// cost is the cost of one call of a function.
type cost struct {
	cpu       time.Duration // CPU time of all threads
	allocated float64       // bytes
}

// measureCost returns the mean cost of a call of work. It calls work at least minRuns
// times and for at least minRunTime of CPU time.
func measureCost(work func()) cost {
	work() // not counted, because the first call fills caches
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	start, runs := cpuTime(), 0
	for runs < minRuns || cpuTime()-start < minRunTime {
		work()
		runs++
	}
	used := cpuTime() - start
	runtime.ReadMemStats(&after)
	return cost{
		cpu:       used / time.Duration(runs),
		allocated: float64(after.TotalAlloc-before.TotalAlloc) / float64(runs),
	}
}

// measurements returns the cost as measurements of CPU time and allocated memory.
func (co cost) measurements(name, size string) []Measurement {
	return []Measurement{
		{name, size, float64(co.cpu) / float64(time.Millisecond), "ms"},
		{name + ", allocated", size, co.allocated / 1e6, "MB"},
	}
}

// cpuTime returns the CPU time that this process has used, user and system.
func cpuTime() time.Duration {
	var use syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &use); err != nil {
		return 0
	}
	return time.Duration(use.Utime.Nano() + use.Stime.Nano())
}

// heapInUse returns the size of the allocated heap objects after a garbage
// collection, in bytes.
func heapInUse() float64 {
	var ms runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&ms)
	return float64(ms.HeapAlloc)
}

// residentMB returns a memory field of /proc/self/status in MB. The file has it in
// kB.
func residentMB(field string) float64 {
	text, err := os.ReadFile("/proc/self/status")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		var kb float64
		if rest, ok := strings.CutPrefix(line, field+":"); ok {
			if _, err := fmt.Sscan(rest, &kb); err == nil {
				return kb * 1024 / 1e6
			}
		}
	}
	return 0
}
