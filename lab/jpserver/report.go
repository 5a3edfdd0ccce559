package jpserver

import (
	"cmp"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"jacinthpass/lab/jpcontrol"
)

// Load is the response to GET /load.
type Load struct {
	InFlight    int    `json:"in_flight"`
	Connections int    `json:"connections"`
	State       string `json:"state"` // cold, warm or draining
}

// Stats is the response to GET /lab/stats.
type Stats struct {
	Server              string    `json:"server"`
	State               string    `json:"state"`
	Running             int       `json:"running"`
	Queued              int       `json:"queued"`
	Connections         int       `json:"connections"`
	PeakRunning         int       `json:"peak_running"`
	PeakQueue           int       `json:"peak_queue"`
	PeakConnections     int       `json:"peak_connections"`
	PeakColdRunning     int       `json:"peak_cold_running"`
	PeakColdConnections int       `json:"peak_cold_connections"`
	Accepted            int       `json:"accepted"`
	AcceptedDraining    int       `json:"accepted_draining"`
	LastAccepted        time.Time `json:"last_accepted"`
	Refused             int       `json:"refused"`         // SYNs above a limit or during an outage after an overload
	Shed                int       `json:"shed"`            // SYNs refused on request
	QueueOverflows      int       `json:"queue_overflows"` // connections reset because the queue was full
	Overloads           int       `json:"overloads"`       // overloads of the cold server
	LastOverload        time.Time `json:"last_overload"`
	TurnedCold          int       `json:"turned_cold"`
	Executions          int       `json:"executions"`
	Repeated            int       `json:"repeated"`    // executions of an id after its first
	Echoed              int       `json:"echoed"`      // UDP datagrams
	Stray               uint64    `json:"stray"`       // packets to addresses that the server doesn't have
	WrongPort           int       `json:"wrong_port"`  // SYNs to ports without a service
	Unconfirmed         int       `json:"unconfirmed"` // segments with payload of flows that the server never accepted
}

// Execution is one row of GET /lab/executions.
type Execution struct {
	ID        uint64    `json:"id"`
	Count     int       `json:"count"`
	Cancelled int       `json:"cancelled"`
	Start     time.Time `json:"start"` // of the first execution
	End       time.Time `json:"end"`   // of the last execution to end, zero if none has ended
}

// Flow is one row of GET /lab/flows: a caller whose SYN the server accepted.
type Flow struct {
	Caller   netip.AddrPort `json:"caller"`
	Accepted time.Time      `json:"accepted"` // when its first SYN was accepted
	Refused  time.Time      `json:"refused"`  // when its first SYN was refused, zero if none was
}

// Flows returns all flows that the server has accepted, sorted by caller.
func (sv *Server) Flows() []Flow {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	res := make([]Flow, 0, len(sv.flows))
	for caller, at := range sv.flows {
		res = append(res, Flow{Caller: caller, Accepted: at, Refused: sv.refusals[caller]})
	}
	slices.SortFunc(res, func(a, b Flow) int { return a.Caller.Compare(b.Caller) })
	return res
}

func (sv *Server) executionStarted(id uint64) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.stats.Executions++
	ex := sv.executions[id]
	if ex == nil {
		ex = &Execution{ID: id, Start: time.Now()}
		sv.executions[id] = ex
	} else {
		sv.stats.Repeated++
	}
	ex.Count++
}

func (sv *Server) executionEnded(id uint64, cancelled bool) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	ex := sv.executions[id]
	ex.End = time.Now()
	if cancelled {
		ex.Cancelled++
	}
}

// Executions returns all executions, sorted by id.
func (sv *Server) Executions() []Execution {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	res := make([]Execution, 0, len(sv.executions))
	for _, ex := range sv.executions {
		res = append(res, *ex)
	}
	slices.SortFunc(res, func(a, b Execution) int { return cmp.Compare(a.ID, b.ID) })
	return res
}

// Stats returns the counters.
func (sv *Server) Stats() Stats {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	res := sv.stats
	res.Server = sv.conf.Name
	load := sv.actualLoad(time.Now())
	res.State = load.State
	res.Running = sv.running
	res.Queued = len(sv.queue)
	res.Connections = sv.openConns
	res.Stray = sv.tunnel.Stray()
	return res
}

// actualLoad returns the actual load. The caller must hold sv.mu.
func (sv *Server) actualLoad(now time.Time) Load {
	state := "warm"
	if _, _, cold := sv.limits(now); cold {
		state = "cold"
	}
	if sv.draining {
		state = "draining"
	}
	return Load{InFlight: sv.running + len(sv.queue), Connections: sv.openConns, State: state}
}

// LoadMode changes what the load endpoint reports.
type LoadMode struct {
	LagMS    int   `json:"lag_ms"` // age of the reported load in milliseconds, at most 30000
	Override *Load `json:"lie"`    // reported instead of the actual load
	Down     bool  `json:"down"`   // answers 503
}

const (
	samplePeriod = 20 * time.Millisecond
	// sampleCount is the minimum number of samples to keep, for a lag of up to 30 s.
	sampleCount = 1500
)

// loadReport holds the mode of the load endpoint, and the samples from which it
// reports with a lag.
type loadReport struct {
	mode    LoadMode
	samples []Load // at intervals of samplePeriod, newest last
}

func (sv *Server) sampleLoad() {
	ticker := time.NewTicker(samplePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-sv.done:
			return
		case now := <-ticker.C:
			sv.mu.Lock()
			sv.loadReport.samples = append(sv.loadReport.samples, sv.actualLoad(now))
			if len(sv.loadReport.samples) > 2*sampleCount {
				sv.loadReport.samples = slices.Clone(sv.loadReport.samples[sampleCount:])
			}
			sv.mu.Unlock()
		}
	}
}

// reportedLoad returns the load that the load endpoint reports, or false if the
// endpoint is down.
func (sv *Server) reportedLoad(now time.Time) (Load, bool) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	mode := sv.loadReport.mode
	if mode.Down || now.Before(sv.outageUntil) {
		return Load{}, false
	}
	if mode.Override != nil {
		return *mode.Override, true
	}
	samplesBack := int(time.Duration(mode.LagMS) * time.Millisecond / samplePeriod)
	if samplesBack == 0 || len(sv.loadReport.samples) == 0 {
		return sv.actualLoad(now), true
	}
	return sv.loadReport.samples[max(0, len(sv.loadReport.samples)-1-samplesBack)], true
}

// handler returns the load endpoint and the control interface.
func (sv *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) {
		load, ok := sv.reportedLoad(time.Now())
		if !ok {
			http.Error(w, "not available", http.StatusServiceUnavailable)
			return
		}
		jpcontrol.WriteJSON(w, load)
	})
	mux.HandleFunc("GET /lab/stats", jpcontrol.Get(sv.Stats))
	mux.HandleFunc("GET /lab/executions", jpcontrol.Get(sv.Executions))
	mux.HandleFunc("GET /lab/flows", jpcontrol.Get(sv.Flows))
	mux.HandleFunc("POST /lab/load", sv.post(func(_ time.Time, body controlRequest) { sv.loadReport.mode = body.LoadMode }))
	mux.HandleFunc("POST /lab/cold", sv.post(func(now time.Time, body controlRequest) {
		sv.setCold(now)
		if body.DropConnections {
			sv.resetAll()
		}
	}))
	mux.HandleFunc("POST /lab/warm", sv.post(func(time.Time, controlRequest) { sv.coldSince = time.Time{} }))
	mux.HandleFunc("POST /lab/drain", sv.post(func(_ time.Time, body controlRequest) { sv.draining = body.On }))
	mux.HandleFunc("POST /lab/shed", sv.post(func(_ time.Time, body controlRequest) { sv.shed = body.Count }))
	mux.HandleFunc("POST /lab/freeze", sv.post(func(_ time.Time, body controlRequest) {
		sv.tunnel.Freeze(body.On)
		if body.On && body.ForMS > 0 {
			time.AfterFunc(time.Duration(body.ForMS)*time.Millisecond, func() { sv.tunnel.Freeze(false) })
		}
	}))
	return mux
}

// controlRequest is the body of all control requests; each uses some of its fields.
type controlRequest struct {
	LoadMode
	DropConnections bool `json:"drop_connections"`
	On              bool `json:"on"`
	Count           int  `json:"count"`
	ForMS           int  `json:"for_ms"`
}

// post returns a handler that executes a control request with act and answers with
// the resulting statistics.
func (sv *Server) post(act func(time.Time, controlRequest)) http.HandlerFunc {
	return jpcontrol.Post(func(body controlRequest) (Stats, error) {
		sv.mu.Lock()
		act(time.Now(), body)
		sv.mu.Unlock()
		return sv.Stats(), nil
	})
}
