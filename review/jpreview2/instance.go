package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync/atomic"
	"syscall"
	"time"
)

// instance is a machine that runs the program of the deploy file.
type instance struct {
	rig    *rig
	name   string
	zone   string
	ip     netip.Addr
	store  netip.AddrPort // at which it reaches the platform's store
	path   string         // of its settings file
	log    *os.File
	cmd    *exec.Cmd
	done   chan struct{}
	misses int          // readiness checks that failed in a row
	inTurn atomic.Bool  // in rotation
	probed atomic.Int64 // Unix ns of the begin of the latest readiness check
}

// settings writes the settings file.
func (in *instance) writeSettings(first bool) error {
	rg := in.rig
	zones := map[string]string{}
	for _, zone := range rg.zones {
		zones[zone] = "tas"
	}
	port := func(port uint16) string { return netip.AddrPortFrom(in.ip, port).String() }
	text, err := json.MarshalIndent(map[string]any{
		"nodeName": in.name, "role": "entry", "machineClass": "front", "serves": []string{"front", "control"},
		"ip": in.ip.String(), "zone": in.zone, "region": "tas", "zones": zones,
		"listen":        map[string]string{"dataAddr": port(rg.dataPort), "ready": port(rg.readyPort), "control": port(rg.controlPort)},
		"internalPorts": []uint16{rg.internalPort, rg.internalPort + 15}, "seeds": rg.seeds(), "bootstrap": first, "inFaultBudget": false,
		"limits":  map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"dataDir": nil, "discovery": "platform", "entry": "advertise", "heartbeatMs": heartbeat.Milliseconds(),
		"invariants":     []string{"base", "drain", "config", "cost", "recover", "flows", "places", "platform"},
		"faultTolerance": map[string]int{"hostFaults": 2, "zones": 1, "regions": 0},
		"parameters": map[string]any{
			"seedLagS": 3, "reuseAfterS": 2, "connectedMs": 4000, "ackMs": 5000, "syncS": 4, "drainMs": 3000, "graceS": 6,
			"lossSlackMs": 200, "configApplyMs": 3000, "rollbackSlackMs": 250, "outerMs": 12000, "warmupFactor": warmupFactor,
			"warmupSlack": warmupSlack, "evacMs": 5000, "recoveryS": 12, "reorderMs": 2000, "maxFlowS": 60,
		},
		"hashFn": "mod", "forwardMode": "echo",
		"platform": map[string]any{
			"address": in.store.String(), "forwardMode": "kv", "writesPerS": 400, "readsPerS": 2000, "historyS": 20,
			"valueBytes": 1048576, "ttlMinMs": 1000,
		},
	}, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(in.path, text, 0o600)
}

// start starts the process as the deploy file does.
func (in *instance) start(first bool) error {
	if in.rig.ended.Load() {
		return errEnded
	}
	if err := in.writeSettings(first); err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join(in.rig.root, "target/jacinthpass-entry"), "run", "--metrics-port", "9464")
	cmd.Dir = in.rig.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "JACINTHPASS_NODE_FILE=" + in.path}
	cmd.Stdout, cmd.Stderr = in.log, in.log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	in.cmd, in.done = cmd, done
	go func() {
		_ = cmd.Wait() // how it ended is in the log
		close(done)
	}()
	return nil
}

func (in *instance) signal(sig syscall.Signal) {
	_ = in.cmd.Process.Signal(sig) // fails if it has ended
}

// restart stops the process as planned, or by SIGKILL after the grace time, and starts it again.
func (in *instance) restart() error {
	in.signal(syscall.SIGTERM)
	select {
	case <-in.done:
	case <-time.After(graceTime):
		in.signal(syscall.SIGKILL)
		<-in.done
	}
	time.Sleep(restartDelay)
	return in.start(false)
}

func (in *instance) kill() {
	if in.cmd != nil {
		in.signal(syscall.SIGKILL)
		<-in.done
	}
}

// errEnded says that the case was broken off.
var errEnded = errors.New("the case has ended")

const (
	graceTime    = 6 * time.Second
	restartDelay = 300 * time.Millisecond
	probePeriod  = 500 * time.Millisecond
)

// probe checks the readiness of an instance twice a second.
func (in *instance) probe(ctx context.Context) {
	client := &http.Client{Timeout: probePeriod, Transport: &http.Transport{DisableKeepAlives: true}}
	url := fmt.Sprintf("http://%s/readiness", netip.AddrPortFrom(in.ip, in.rig.readyPort))
	for ctx.Err() == nil {
		began := time.Now()
		in.probed.Store(began.UnixNano())
		resp, err := client.Get(url)
		ready := err == nil && resp.StatusCode == http.StatusOK
		if err == nil {
			resp.Body.Close()
		}
		if ready {
			in.misses = 0
		} else {
			in.misses++
		}
		if turn := ready || in.misses < 2 && in.inTurn.Load(); turn != in.inTurn.Swap(turn) {
			in.rig.logf("router: %s in rotation: %v", in.name, turn)
		}
		time.Sleep(time.Until(began.Add(probePeriod)))
	}
}

// route returns the instance that gets a packet of a consumer in a zone.
func (rg *rig) route(zone string, pk packet) *instance {
	var all, turn, others []*instance
	for _, in := range rg.instances {
		switch {
		case in.zone != zone && in.inTurn.Load():
			others = append(others, in)
		case in.zone == zone:
			all = append(all, in)
			if in.inTurn.Load() {
				turn = append(turn, in)
			}
		}
	}
	switch {
	case len(turn) == 0 && len(others) > 0:
		turn = others
	case 2*len(turn) < len(all):
		turn = all
	}
	return turn[flowHash(pk)%uint64(len(turn))]
}

// flowHash hashes the four addresses and ports of a flow.
func flowHash(pk packet) uint64 {
	hash := uint64(14695981039346656037)
	for _, ap := range []netip.AddrPort{pk.src, pk.dst} {
		addr := ap.Addr().As4()
		for _, by := range append(slices.Clone(addr[:]), byte(ap.Port()), byte(ap.Port()>>8)) {
			hash = (hash ^ uint64(by)) * 1099511628211
		}
	}
	return hash ^ hash>>32
}
