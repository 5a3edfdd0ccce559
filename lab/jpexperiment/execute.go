package jpexperiment

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"jacinthpass/core/jpsettings"
	"jacinthpass/io/jpoperator"
	"jacinthpass/lab/jpcluster"
	"jacinthpass/lab/jpnetwork"
	"jacinthpass/lab/jpstorestand"
)

const author = "experiment"

// execute applies an event to the cluster.
func (rn *runner) execute(ctx context.Context, ev Event) error {
	verb, object, _ := strings.Cut(ev.Verb, " ")
	if object == "server" || object == "data_centre" {
		// Concurrent changes of the settings may conflict, so they are made one at a
		// time.
		rn.settingsMutex.Lock()
		defer rn.settingsMutex.Unlock()
	}
	switch {
	case verb == "replace":
		return rn.replaceAll(ctx)
	case object == "instance":
		return rn.changeInstance(ctx, verb, ev.Args[0])
	case object == "server":
		return rn.changeServer(ctx, verb, ev.Args)
	case object == "data_centre" && verb != "cut":
		return rn.changeDataCentre(ctx, verb, ev.Args[0])
	case verb == "cut", verb == "delay", verb == "heal":
		return rn.changeNetwork(ctx, ev)
	case verb == "store":
		return rn.changeStore(ctx, object, ev.Args)
	}
	return rn.changeLoad(ctx, ev)
}

func (rn *runner) changeInstance(ctx context.Context, verb, id string) error {
	in := rn.cl.Instance(id)
	if in == nil {
		return fmt.Errorf("unknown instance %s", id)
	}
	switch verb {
	case "kill":
		if err := in.Kill(); err != nil {
			return err
		}
		if err := sleep(ctx, rn.run.Scenario.ListLag); err != nil {
			return err
		}
		return rn.unregister(ctx, in)
	case "stop":
		return rn.stopInstance(ctx, in)
	case "start":
		return rn.startInstance(ctx, in)
	case "pause":
		// The fabric detects an unresponsive instance and removes it, like a dead one.
		if err := in.Pause(); err != nil {
			return err
		}
		if err := sleep(ctx, rn.run.Scenario.ListLag); err != nil {
			return err
		}
		return rn.setInFabric(ctx, in, false)
	}
	if err := in.Resume(); err != nil {
		return err
	}
	if err := sleep(ctx, rn.run.Scenario.ListLag); err != nil {
		return err
	}
	return rn.setInFabric(ctx, in, true)
}

// stopInstance makes a planned stop of an instance. The instance list shows it as
// leaving, and the fabric drops it, after the list lag.
func (rn *runner) stopInstance(ctx context.Context, in *jpcluster.Instance) error {
	if err := rn.cl.Operator(in).Stop(ctx); err != nil {
		return err
	}
	if err := sleep(ctx, rn.run.Scenario.ListLag); err != nil {
		return err
	}
	listed := in.Listed
	listed.Leaving = true
	if err := jpstorestand.Register(ctx, rn.cl.StoreControl(), listed); err != nil {
		return err
	}
	if err := rn.setInFabric(ctx, in, false); err != nil {
		return err
	}
	select {
	case <-in.Done():
	case <-ctx.Done():
		return ctx.Err()
	}
	return rn.unregister(ctx, in)
}

// unregister removes an instance that has exited from the fabric and from the
// instance list.
func (rn *runner) unregister(ctx context.Context, in *jpcluster.Instance) error {
	if err := rn.setInFabric(ctx, in, false); err != nil {
		return err
	}
	return jpstorestand.Unregister(ctx, rn.cl.StoreControl(), in.ID)
}

// startInstance starts an instance and adds it to the fabric once it has the
// settings and the list lag has passed.
func (rn *runner) startInstance(ctx context.Context, in *jpcluster.Instance) error {
	if err := rn.cl.StartInstance(ctx, in); err != nil {
		return err
	}
	for {
		status, err := rn.cl.Operator(in).Status(ctx)
		if err == nil && status.SettingsVersion > 0 {
			break
		}
		if err := sleep(ctx, 100*time.Millisecond); err != nil {
			return err
		}
	}
	if err := sleep(ctx, rn.run.Scenario.ListLag); err != nil {
		return err
	}
	return rn.setInFabric(ctx, in, true)
}

// replaceAll stops and restarts the instances one at a time.
func (rn *runner) replaceAll(ctx context.Context) error {
	for _, in := range rn.cl.Instances {
		if err := rn.stopInstance(ctx, in); err != nil {
			return err
		}
		if err := rn.startInstance(ctx, in); err != nil {
			return err
		}
		rn.progress("%s has been replaced", in.ID)
	}
	return nil
}

func (rn *runner) setInFabric(ctx context.Context, in *jpcluster.Instance, on bool) error {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	rn.inFabric[in.ID] = on
	var list []*jpcluster.Instance
	for _, other := range rn.cl.Instances {
		if rn.inFabric[other.ID] {
			list = append(list, other)
		}
	}
	return rn.cl.SetFabric(ctx, list)
}

// operator returns a client of a running instance.
func (rn *runner) operator() *jpoperator.Client {
	for _, in := range rn.cl.RunningInstances() {
		return rn.cl.Operator(in)
	}
	return rn.cl.Operator(rn.cl.Instances[0])
}

func (rn *runner) changeServer(ctx context.Context, verb string, args []string) error {
	name := args[0]
	sr := rn.cl.Server(name)
	rn.mu.Lock()
	rn.changed[name] = true
	rn.mu.Unlock()
	switch verb {
	case "kill":
		// A killed server loses the list of its executions, so it is read before.
		rn.saveExecutions(ctx, sr)
		rn.allowBreaks(name)
		return sr.Kill()
	case "start":
		return rn.startServer(ctx, sr)
	case "add":
		if err := jpcluster.PostJSON(ctx, sr.Control+"/lab/cold", struct{}{}, nil); err != nil {
			return err
		}
		_, err := rn.operator().Apply(ctx, jpoperator.Change{Text: rn.cl.Settings(), Author: author})
		return err
	case "stall":
		return rn.stallServer(ctx, sr, args[1])
	case "chill":
		return jpcluster.PostJSON(ctx, sr.Control+"/lab/cold", struct{}{}, nil)
	}
	_, err := rn.operator().SetServer(ctx, sr.Service, name, verb == "drain", author)
	return err
}

// stallServer pauses a server's process for a short time, as an operating system's
// scheduler may do.
func (rn *runner) stallServer(ctx context.Context, sr *jpcluster.Server, text string) error {
	wait, _ := time.ParseDuration(text)
	if err := sr.Pause(); err != nil {
		return err
	}
	_ = sleep(ctx, wait)
	return sr.Resume()
}

// startServer restarts a killed server in the cold state.
func (rn *runner) startServer(ctx context.Context, sr *jpcluster.Server) error {
	if err := sr.Restart(); err != nil {
		return err
	}
	for {
		err := jpcluster.PostJSON(ctx, sr.Control+"/lab/cold", struct{}{}, nil)
		if err == nil || sleep(ctx, 20*time.Millisecond) != nil {
			return err
		}
	}
}

func (rn *runner) saveExecutions(ctx context.Context, sr *jpcluster.Server) {
	list := rn.savedExecutions[sr.Config.Name]
	if err := jpcluster.GetJSON(ctx, sr.Control+"/lab/executions", &list); err == nil {
		rn.mu.Lock()
		defer rn.mu.Unlock()
		rn.savedExecutions[sr.Config.Name] = list
	}
}

// allowBreaks records that the flows of a server may break from now on.
func (rn *runner) allowBreaks(name string) {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	if _, ok := rn.run.BreaksAllowedSince[name]; !ok {
		rn.run.BreaksAllowedSince[name] = time.Now()
	}
}

// changeDataCentre takes a data centre out of service or back in. Its servers are
// cold when it comes back.
func (rn *runner) changeDataCentre(ctx context.Context, verb, name string) error {
	for _, sr := range rn.cl.ServersIn(name) {
		rn.mu.Lock()
		rn.changed[sr.Config.Name] = true
		rn.mu.Unlock()
		if verb == "out" {
			rn.allowBreaks(sr.Config.Name)
			continue
		}
		if err := jpcluster.PostJSON(ctx, sr.Control+"/lab/cold", struct{}{}, nil); err != nil {
			return err
		}
	}
	_, err := rn.operator().SetDataCentre(ctx, name, verb == "out", author)
	return err
}

func (rn *runner) changeNetwork(ctx context.Context, ev Event) error {
	rn.mu.Lock()
	rn.faultCount++
	id := fmt.Sprintf("event-%d", rn.faultCount)
	rn.mu.Unlock()
	ft := jpnetwork.Fault{ID: id, Both: true}
	switch ev.Verb {
	case "heal":
		for no := range rn.faultCount {
			_ = rn.cl.RemoveFault(ctx, fmt.Sprintf("event-%d", no+1))
		}
		return nil
	case "cut data_centre":
		ft.From, ft.To, ft.Cut = "dc="+ev.Args[0], "dc!="+ev.Args[0], true
	case "cut between":
		ft.From, ft.To, ft.Cut = "dc="+ev.Args[0], "dc="+ev.Args[1], true
	case "delay between":
		wait, _ := time.ParseDuration(ev.Args[2])
		ft.From, ft.To, ft.DelayMS = "dc="+ev.Args[0], "dc="+ev.Args[1], wait.Seconds()*1000
	}
	return rn.cl.AddFault(ctx, ft)
}

func (rn *runner) changeStore(ctx context.Context, what string, args []string) error {
	body := map[string]any{"outage": what == "outage", "delay": "0s"}
	if what == "delay" {
		body["delay"] = args[0]
	}
	return jpcluster.PostJSON(ctx, rn.cl.StoreControl()+"/lab/faults", body, nil)
}

func (rn *runner) changeLoad(ctx context.Context, ev Event) error {
	ca := rn.callers[ev.Args[0]]
	if ca == nil {
		return fmt.Errorf("no load is defined for service %s", ev.Args[0])
	}
	number, _ := strconv.ParseFloat(ev.Args[1], 64)
	if ev.Verb == "rate" {
		return jpcluster.PostJSON(ctx, ca.Control+"/lab/rate", map[string]any{"rate": number}, nil)
	}
	return jpcluster.PostJSON(ctx, ca.Control+"/lab/standing", map[string]any{"add": int(number)}, nil)
}

// removeServers removes servers from the settings before the load starts.
func (rn *runner) removeServers(ctx context.Context, names []string) error {
	text := string(rn.cl.Settings())
	for _, name := range names {
		rn.changed[name] = true
		text = withoutServer(text, name)
	}
	if _, err := jpsettings.Parse("settings", []byte(text)); err != nil {
		return err
	}
	_, err := rn.operator().Apply(ctx, jpoperator.Change{Text: []byte(text), Author: author})
	return err
}

// withoutServer returns the settings text without the sections of a server.
func withoutServer(text, name string) string {
	var kept []string
	skip := false
	for line := range strings.Lines(text) {
		if strings.HasPrefix(line, "[") {
			skip = strings.HasSuffix(strings.TrimSpace(line), "."+name+"]")
		}
		if !skip {
			kept = append(kept, line)
		}
	}
	return strings.Join(kept, "")
}
