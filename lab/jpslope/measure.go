package jpslope

import (
	"fmt"
	"os"
	"runtime"
	"strings"
	"syscall"
	"time"
)

// Figure is one measured value.
type Measurement struct {
	Name       string
	Conditions string // what it was measured at
	Value      float64
	Unit       string
}

// Groups of measurements by the name that selects them.
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

// cost is what one call of a function takes.
type cost struct {
	cpu       time.Duration // of all threads
	allocated float64       // allocated
}

// costOf calls work until its cost can be told.
func measureCost(work func()) cost {
	work() // not counted: first use of caches
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

// figures returns the cost as figures.
func (co cost) measurements(name, size string) []Measurement {
	return []Measurement{
		{name, size, float64(co.cpu) / float64(time.Millisecond), "ms"},
		{name + ", allocated", size, co.allocated / 1e6, "MB"},
	}
}

// cpuTime is the processor time that this process has used.
func cpuTime() time.Duration {
	var use syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &use); err != nil {
		return 0
	}
	return time.Duration(use.Utime.Nano() + use.Stime.Nano())
}

// heap is the memory in use after a collection, in bytes.
func heapInUse() float64 {
	var ms runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&ms)
	return float64(ms.HeapAlloc)
}

// residentMB returns a field of /proc/self/status that is in kB, in MB.
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
