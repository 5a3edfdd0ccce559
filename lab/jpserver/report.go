package jpserver

import (
	"cmp"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"jacinthpass/lab/jpcontrol"
)

// Load is the answer of GET /load.
type Load struct {
	InFlight    int    `json:"in_flight"`
	Connections int    `json:"connections"`
	State       string `json:"state"` // cold, warm or draining
}

// Stats is the answer of GET /lab/stats.
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
	Refused             int       `json:"refused"`         // SYNs above a limit or after falling over
	Shed                int       `json:"shed"`            // SYNs refused on request
	QueueOverflows      int       `json:"queue_overflows"` // connections reset because the queue was full
	Overloads           int       `json:"overloads"`       // times the cold server fell over
	LastOverload        time.Time `json:"last_overload"`
	TurnedCold          int       `json:"turned_cold"`
	Executions          int       `json:"executions"`
	Repeated            int       `json:"repeated"`    // executions beyond the first of an id
	Echoed              int       `json:"echoed"`      // UDP datagrams
	Stray               uint64    `json:"stray"`       // packets to addresses that the server doesn't have
	WrongPort           int       `json:"wrong_port"`  // SYNs to ports that are no service
	Unconfirmed         int       `json:"unconfirmed"` // segments with payload of flows that the server never accepted
}

// Execution is one row of GET /lab/executions.
type Execution struct {
	ID        uint64    `json:"id"`
	Count     int       `json:"count"`
	Cancelled int       `json:"cancelled"`
	Start     time.Time `json:"start"` // of the first
	End       time.Time `json:"end"`   // of the last, zero while it runs
}

// Flow is one row of GET /lab/flows: a caller whose SYN the server accepted.
type Flow struct {
	Caller   netip.AddrPort `json:"caller"`
	Accepted time.Time      `json:"accepted"` // the first time
}

// Flows returns the flows that the server ever accepted, sorted by caller.
func (sv *Server) Flows() []Flow {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	res := make([]Flow, 0, len(sv.flows))
	for caller, at := range sv.flows {
		res = append(res, Flow{Caller: caller, Accepted: at})
	}
	slices.SortFunc(res, func(a, b Flow) int { return a.Caller.Compare(b.Caller) })
	return res
}

func (sv *Server) began(id uint64) {
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

func (sv *Server) ended(id uint64, cancelled bool) {
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
	load := sv.load(time.Now())
	res.State = load.State
	res.Running = sv.running
	res.Queued = len(sv.queue)
	res.Connections = sv.accepted
	res.Stray = sv.tunnel.Stray()
	return res
}

// load returns the true load. It needs sv.mu.
func (sv *Server) load(now time.Time) Load {
	state := "warm"
	if _, _, cold := sv.limits(now); cold {
		state = "cold"
	}
	if sv.draining {
		state = "draining"
	}
	return Load{InFlight: sv.running + len(sv.queue), Connections: sv.accepted, State: state}
}

// LoadMode changes what the load endpoint reports.
type LoadMode struct {
	LagMS int   `json:"lag_ms"` // reports the load of so long ago, at most 30000
	Lie   *Load `json:"lie"`    // reported instead of the truth
	Down  bool  `json:"down"`   // answers 503
}

const (
	samplePeriod = 20 * time.Millisecond
	// sampleCount covers 30 s.
	sampleCount = 1500
)

// report holds the samples that a lagging load endpoint reports from.
type report struct {
	mode    LoadMode
	samples []Load // newest last
}

func (sv *Server) sample() {
	ticker := time.NewTicker(samplePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-sv.done:
			return
		case now := <-ticker.C:
			sv.mu.Lock()
			sv.report.samples = append(sv.report.samples, sv.load(now))
			if len(sv.report.samples) > 2*sampleCount {
				sv.report.samples = slices.Clone(sv.report.samples[sampleCount:])
			}
			sv.mu.Unlock()
		}
	}
}

// reported returns what the load endpoint claims, false if it is down.
func (sv *Server) reported(now time.Time) (Load, bool) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	mode := sv.report.mode
	if mode.Down || now.Before(sv.fallen) {
		return Load{}, false
	}
	if mode.Lie != nil {
		return *mode.Lie, true
	}
	back := int(time.Duration(mode.LagMS) * time.Millisecond / samplePeriod)
	if back == 0 || len(sv.report.samples) == 0 {
		return sv.load(now), true
	}
	return sv.report.samples[max(0, len(sv.report.samples)-1-back)], true
}

// handler returns the load endpoint and the control interface.
func (sv *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) {
		load, ok := sv.reported(time.Now())
		if !ok {
			http.Error(w, "not available", http.StatusServiceUnavailable)
			return
		}
		jpcontrol.WriteJSON(w, load)
	})
	mux.HandleFunc("GET /lab/stats", jpcontrol.Get(sv.Stats))
	mux.HandleFunc("GET /lab/executions", jpcontrol.Get(sv.Executions))
	mux.HandleFunc("GET /lab/flows", jpcontrol.Get(sv.Flows))
	mux.HandleFunc("POST /lab/load", sv.post(func(_ time.Time, body request) { sv.report.mode = body.LoadMode }))
	mux.HandleFunc("POST /lab/cold", sv.post(func(now time.Time, body request) {
		sv.turnCold(now)
		if body.DropConnections {
			sv.resetAll()
		}
	}))
	mux.HandleFunc("POST /lab/warm", sv.post(func(time.Time, request) { sv.coldSince = time.Time{} }))
	mux.HandleFunc("POST /lab/drain", sv.post(func(_ time.Time, body request) { sv.draining = body.On }))
	mux.HandleFunc("POST /lab/shed", sv.post(func(_ time.Time, body request) { sv.shed = body.Count }))
	mux.HandleFunc("POST /lab/freeze", sv.post(func(_ time.Time, body request) {
		sv.tunnel.Freeze(body.On)
		if body.On && body.ForMS > 0 {
			time.AfterFunc(time.Duration(body.ForMS)*time.Millisecond, func() { sv.tunnel.Freeze(false) })
		}
	}))
	return mux
}

// request is the body of the control requests; each uses a part of it.
type request struct {
	LoadMode
	DropConnections bool `json:"drop_connections"`
	On              bool `json:"on"`
	Count           int  `json:"count"`
	ForMS           int  `json:"for_ms"`
}

// post answers a control request with the statistics after it.
func (sv *Server) post(act func(time.Time, request)) http.HandlerFunc {
	return jpcontrol.Post(func(body request) (Stats, error) {
		sv.mu.Lock()
		act(time.Now(), body)
		sv.mu.Unlock()
		return sv.Stats(), nil
	})
}
