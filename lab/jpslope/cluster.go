package jpslope

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"jacinthpass/lab/jpcluster"
	"jacinthpass/lab/jpstorestand"
)

const (
	clusterSecondOctet = 60
	clusterRate        = 2000 // new flows per second over all services
	clusterDuration    = 15 * time.Second
	clusterWarmup      = 8 * time.Second
)

// measureCluster measures control traffic, CPU time, memory and store calls of a
// cluster of the current size that runs as real processes. The program jacinthpass
// must be in the same directory as this one.
func measureCluster() ([]Measurement, error) {
	lab, err := os.Executable()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "slopes")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	ft := CurrentFleet
	spec := jpcluster.Spec{
		Dir: dir, InstanceProgram: filepath.Join(filepath.Dir(lab), "jacinthpass"), LabProgram: lab,
		Settings: ft.Settings(), SecondOctet: clusterSecondOctet, Seed: 1, DelayMS: 1,
	}
	for dc := range ft.DataCentres {
		spec.DataCentres = append(spec.DataCentres, jpcluster.DataCentre{Name: ft.dataCentreName(dc), Instances: ft.Instances / ft.DataCentres})
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	cl, err := jpcluster.Start(ctx, spec)
	defer cl.Stop()
	if err != nil {
		return nil, err
	}
	return loadCluster(ctx, cl, ft)
}

// loadCluster has callers open flows and reads the metrics of the cluster meanwhile.
func loadCluster(ctx context.Context, cl *jpcluster.Cluster, ft Fleet) ([]Measurement, error) {
	var errs []error
	for no := range ft.Services {
		_, err := cl.StartCallers(ctx, fmt.Sprint("callers-", no), fmt.Sprintf("service_%04d", no),
			"--rate", fmt.Sprint(clusterRate/ft.Services), "--work", "1ms", "--size", "100")
		errs = append(errs, err)
	}
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	time.Sleep(clusterWarmup)
	before, err := readClusterMetrics(ctx, cl)
	if err != nil {
		return nil, err
	}
	began := time.Now()
	time.Sleep(clusterDuration)
	after, err := readClusterMetrics(ctx, cl)
	if err != nil {
		return nil, err
	}
	seconds := time.Since(began).Seconds()
	size := fmt.Sprintf("%v, %d new flows a second", ft, clusterRate)
	var out []Measurement
	for ix, cm := range clusterMetrics {
		mean := (after[ix] - before[ix]) / seconds
		if cm.gauge {
			mean = after[ix]
		} else if !cm.perFleet {
			mean /= float64(len(cl.Instances))
		}
		out = append(out, Measurement{cm.name, size, mean * cm.scale, cm.unit})
	}
	return out, nil
}

// clusterMetrics describes the values that readClusterMetrics returns, in the same
// order. Values of instances are sums over all instances.
var clusterMetrics = []struct {
	name     string
	unit     string
	scale    float64
	perFleet bool // reported for the whole fleet rather than divided by its instances
	gauge    bool // reported as read rather than as a rate per second
}{
	{"control sent by an instance", "KB/s", 1e-3, false, false},
	{"processor time of an instance", "cores", 1, false, false},
	{"resident memory of all instances", "MB", 1, false, true},
	{"flow entries of all instances", "", 1, false, true},
	{"store reads and watches", "/s", 1, true, false},
	{"store reads of the instance list", "/s", 1, true, false},
}

func readClusterMetrics(ctx context.Context, cl *jpcluster.Cluster) ([]float64, error) {
	sum := make([]float64, len(clusterMetrics))
	for _, in := range cl.Instances {
		text, err := httpGet(ctx, "http://"+in.Listed.Addresses.Operator.String()+"/metrics")
		if err != nil {
			return nil, err
		}
		sum[0] += sumMetric(text, "control_sent_bytes_total")
		sum[3] += sumMetric(text, "flows")
		cpu, resident := processUsage(in.PID())
		sum[1] += cpu
		sum[2] += resident
	}
	var calls jpstorestand.Calls
	if err := jpcluster.GetJSON(ctx, cl.StoreControl()+"/lab/calls", &calls); err != nil {
		return nil, err
	}
	sum[4] = float64(calls.Reads + calls.Watches)
	sum[5] = float64(calls.Catalogue)
	return sum, nil
}

func httpGet(ctx context.Context, url string) (string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return "", err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return string(text), err
}

// sumMetric sums the samples whose name or labels contain word.
func sumMetric(text, word string) float64 {
	var sum float64
	for line := range strings.Lines(text) {
		name, value, ok := strings.Cut(strings.TrimSpace(line), "} ")
		if !ok || strings.HasPrefix(line, "#") || !strings.Contains(name, word) {
			continue
		}
		if val, err := strconv.ParseFloat(value, 64); err == nil {
			sum += val
		}
	}
	return sum
}

const clockTicksPerSecond = 100 // unit of the CPU times in /proc

// processUsage returns the CPU time of a process in seconds and its resident memory
// in MB, both 0 if they can't be read.
func processUsage(pid int) (cpu, resident float64) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0
	}
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	pages, _ := strconv.ParseFloat(fields[21], 64)
	return (user + system) / clockTicksPerSecond, pages * float64(os.Getpagesize()) / 1e6
}
