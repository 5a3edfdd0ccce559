package jpexperiment

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"jacinthpass/core/jpevent"
	"jacinthpass/io/jpoperator"
	"jacinthpass/lab/jpcaller"
	"jacinthpass/lab/jpcluster"
	"jacinthpass/lab/jpserver"
)

// Options configures the execution of a scenario.
type Options struct {
	InstanceProgram string // program jacinthpass
	LabProgram      string // program jacinthpass-lab
	Dir             string // for configuration and log files
	SecondOctet     int    // of the cluster's addresses, see jpcluster.Spec
	Progress        func(format string, args ...any)
}

// Run is the result of running a scenario with one steering method.
type Run struct {
	Scenario           Scenario
	SteeringMethod     string
	LoadStart          time.Time
	Executed           []ExecutedEvent
	Results            []jpcaller.Results
	Servers            []ServerResult
	Samples            []Sample
	Timeline           []jpevent.Event
	BreaksAllowedSince map[string]time.Time // by server: events allow its flows to break from this time on
	EventErrors        []error              // events that failed
}

// ExecutedEvent is an event and the time at which it was executed.
type ExecutedEvent struct {
	At    time.Time
	Event Event
}

// ServerResult holds the counters of a backend server at the end of the load.
type ServerResult struct {
	Service    string
	Name       string
	DataCentre string
	Stats      jpserver.Stats
	Executions []jpserver.Execution
	Unchanged  bool // no event changed the server
}

// runner executes a run.
type runner struct {
	opt     Options
	cl      *jpcluster.Cluster
	callers map[string]*jpcluster.Callers

	mu              sync.Mutex
	run             Run
	inFabric        map[string]bool // instances that the fabric forwards packets to, by id
	changed         map[string]bool // servers that an event changes, by name
	savedExecutions map[string][]jpserver.Execution
	faultCount      int
	eventGroup      sync.WaitGroup

	settingsMutex sync.Mutex // held while an event changes the settings
}

// silentAfter is the time without an alert after which a standing connection counts
// as broken. TCP doubles its retransmission timeout, so after a network cut of 8 s
// the next retransmission comes up to 12.6 s after the first transmission.
const silentAfter = 20 * time.Second

// Owners regard the servers of the first settings as cold for their cold duration.
// Before the load starts, a run therefore waits for settleTime and then for at most
// warmTimeout until all servers are warm.
const (
	settleTime  = 2500 * time.Millisecond
	warmTimeout = 30 * time.Second
)

// Execute runs a scenario with one steering method. It stops all processes that it
// started, also if ctx is cancelled.
func Execute(ctx context.Context, sc Scenario, method string, opt Options) (Run, error) {
	rn := &runner{
		opt:             opt,
		callers:         map[string]*jpcluster.Callers{},
		run:             Run{Scenario: sc, SteeringMethod: method, BreaksAllowedSince: map[string]time.Time{}},
		inFabric:        map[string]bool{},
		changed:         map[string]bool{},
		savedExecutions: map[string][]jpserver.Execution{},
	}
	spec := jpcluster.Spec{
		Dir: opt.Dir, InstanceProgram: opt.InstanceProgram, LabProgram: opt.LabProgram, SecondOctet: opt.SecondOctet,
		Settings: sc.Settings, DataCentres: sc.DataCentres, Seed: sc.Seed, DelayMS: sc.DelayMS,
	}
	if !sc.StartCold {
		spec.ServerFlags = []string{"--warm"}
	}
	if method != Owner {
		spec.Baseline = method
	}
	if err := os.RemoveAll(opt.Dir); err != nil {
		return rn.run, err
	}
	var err error
	rn.cl, err = jpcluster.Start(ctx, spec)
	defer rn.cl.Stop()
	if err != nil {
		return rn.run, err
	}
	for _, in := range rn.cl.Instances {
		rn.inFabric[in.ID] = true
	}
	if err := rn.prepare(ctx); err != nil {
		return rn.run, err
	}
	if err := rn.runLoad(ctx); err != nil {
		return rn.run, err
	}
	return rn.run, rn.collectResults(ctx)
}

// prepare removes the servers that the scenario adds later and waits until the
// others are warm, unless the scenario starts with cold servers.
func (rn *runner) prepare(ctx context.Context) error {
	var added []string
	for _, ev := range rn.run.Scenario.Events {
		if ev.Verb == "add server" {
			added = append(added, ev.Args[0])
		}
	}
	if len(added) > 0 {
		if err := rn.removeServers(ctx, added); err != nil {
			return err
		}
	}
	if err := sleep(ctx, settleTime); err != nil || rn.run.Scenario.StartCold {
		return err
	}
	return rn.awaitWarm(ctx)
}

// awaitWarm waits until every owner regards its servers as warm.
func (rn *runner) awaitWarm(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, warmTimeout)
	defer cancel()
	for {
		cold := 0
		for _, in := range rn.cl.Instances {
			status, err := rn.cl.Operator(in).Status(ctx)
			if err != nil {
				return err
			}
			for _, sr := range status.Owned {
				if sr.State != jpoperator.Warm {
					cold++
				}
			}
		}
		if cold == 0 {
			return nil
		}
		if err := sleep(ctx, 200*time.Millisecond); err != nil {
			return fmt.Errorf("%d servers are still cold: %w", cold, err)
		}
	}
}

// runLoad starts the callers, executes the events and waits for the end of the load.
func (rn *runner) runLoad(ctx context.Context) error {
	for _, ld := range rn.run.Scenario.Loads {
		ca, err := rn.cl.StartCallers(ctx, "callers-"+ld.Service, ld.Service,
			"--standing", fmt.Sprint(ld.Standing), "--ramp", fmt.Sprint(ld.Ramp),
			"--rate", fmt.Sprint(ld.Rate), "--work", ld.Work.String(),
			"--alert-every", ld.AlertInterval.String(), "--silent-after", silentAfter.String(), "--addresses", "64",
			fmt.Sprintf("--reopen=%t", ld.Reopen))
		if err != nil {
			return err
		}
		rn.callers[ld.Service] = ca
	}
	rn.run.LoadStart = time.Now()
	loadCtx, cancel := context.WithDeadline(ctx, rn.run.LoadStart.Add(rn.run.Scenario.Duration))
	defer cancel()
	sampled := make(chan struct{})
	go func() {
		defer close(sampled)
		rn.sampleMetrics(loadCtx)
	}()
	go rn.reportProgress(loadCtx)
	rn.executeEvents(loadCtx)
	<-sampled
	rn.eventGroup.Wait()
	return ctx.Err()
}

// executeEvents starts each event at its time and waits for the end of the load.
func (rn *runner) executeEvents(ctx context.Context) {
	for _, ev := range rn.run.Scenario.Events {
		if sleep(ctx, time.Until(rn.run.LoadStart.Add(ev.At))) != nil {
			return
		}
		rn.progress("%s: %s", ev.At, ev)
		rn.mu.Lock()
		rn.run.Executed = append(rn.run.Executed, ExecutedEvent{time.Now(), ev})
		rn.mu.Unlock()
		rn.eventGroup.Go(func() {
			if err := rn.execute(ctx, ev); err != nil && ctx.Err() == nil {
				rn.progress("%s: %s failed: %v", ev.At, ev, err)
				rn.mu.Lock()
				defer rn.mu.Unlock()
				rn.run.EventErrors = append(rn.run.EventErrors, fmt.Errorf("%s: %w", ev, err))
			}
		})
	}
	<-ctx.Done()
}

// collectResults collects the results of the run and stops the load.
func (rn *runner) collectResults(ctx context.Context) error {
	err := rn.collectServers(ctx)
	for _, ld := range rn.run.Scenario.Loads {
		rs, e := rn.callers[ld.Service].Finish(ctx)
		err = errors.Join(err, e)
		rn.run.Results = append(rn.run.Results, rs)
	}
	err = errors.Join(err, rn.collectExecutions(ctx))
	for _, in := range rn.cl.Instances {
		if !in.Running() {
			continue
		}
		if tl, e := rn.cl.Operator(in).Timeline(ctx, time.Time{}, 0); e == nil {
			rn.run.Timeline = tl.Events
			break
		}
	}
	return errors.Join(err, rn.writeTimeline())
}

// collectServers reads the servers' counters while the load still runs, so that they
// include the open connections.
func (rn *runner) collectServers(ctx context.Context) error {
	var all error
	for _, sr := range rn.cl.Servers {
		res := ServerResult{
			Service: sr.Service, Name: sr.Config.Name, DataCentre: sr.Config.DataCentre,
			Unchanged: !rn.changed[sr.Config.Name],
		}
		if sr.Running() {
			stats, err := sr.Stats(ctx)
			all = errors.Join(all, err)
			res.Stats = stats
		}
		rn.run.Servers = append(rn.run.Servers, res)
	}
	return all
}

func (rn *runner) collectExecutions(ctx context.Context) error {
	var all error
	for ix, sr := range rn.cl.Servers {
		res := &rn.run.Servers[ix]
		res.Executions = rn.savedExecutions[res.Name]
		if sr.Running() {
			var list []jpserver.Execution
			all = errors.Join(all, jpcluster.GetJSON(ctx, sr.Control+"/lab/executions", &list))
			res.Executions = append(res.Executions, list...)
		}
	}
	return all
}

// writeTimeline writes the timeline to the directory of the log files. Times are
// in seconds after the start of the load.
func (rn *runner) writeTimeline() error {
	file, err := os.Create(filepath.Join(rn.opt.Dir, "timeline.txt"))
	if err != nil {
		return err
	}
	defer file.Close()
	for _, ev := range rn.run.Timeline {
		at := ev.At.Sub(rn.run.LoadStart).Seconds()
		fmt.Fprintf(file, "%8.3f %s %s %s %s %s\n", at, ev.Instance, ev.Part, ev.Name, ev.Subject, ev.Detail)
	}
	return nil
}

func (rn *runner) progress(format string, args ...any) {
	if rn.opt.Progress != nil {
		rn.opt.Progress(format, args...)
	}
}

func sleep(ctx context.Context, wait time.Duration) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
