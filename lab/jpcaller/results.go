package jpcaller

import (
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Results is the response to GET /lab/results.
type Results struct {
	Name     string    `json:"name"`
	Seed     uint64    `json:"seed"`
	Started  time.Time `json:"started"`
	Standing Standing  `json:"standing"`
	Requests Requests  `json:"requests"`
	UDP      UDP       `json:"udp"`
	Seconds  []Second  `json:"seconds"`
	Stray    uint64    `json:"stray"` // packets to addresses that the callers don't have
}

// Standing counts standing connections.
type Standing struct {
	Attempted   int            `json:"attempted"`
	Established int            `json:"established"`
	Open        int            `json:"open"`
	Refused     int            `json:"refused"`
	Unanswered  int            `json:"unanswered"`
	Broken      int            `json:"broken"` // failed after the handshake
	Wrong       int            `json:"wrong"`  // broken, with an Ending of kind Wrong
	Endings     []Ending       `json:"endings"`
	Alerts      int            `json:"alerts"`
	Asks        int            `json:"asks"`     // requests sent on standing connections
	Answered    int            `json:"answered"` // of these
	ByServer    map[string]int `json:"by_server"`
	AlertGap    Histogram      `json:"alert_gap"` // time between two alerts of a connection
}

// Requests counts request flows.
type Requests struct {
	Attempted  int            `json:"attempted"`
	Served     int            `json:"served"`
	Refused    int            `json:"refused"`    // not executed
	Unanswered int            `json:"unanswered"` // no handshake: no request was sent
	Unknown    int            `json:"unknown"`    // failed after the handshake without an answer
	Overtime   int            `json:"overtime"`   // answered as not executed
	Wrong      int            `json:"wrong"`      // the answer is not the expected one
	Skipped    int            `json:"skipped"`    // not started because too many were open
	Endings    []Ending       `json:"endings"`
	ByServer   map[string]int `json:"by_server"`
	Latency    Histogram      `json:"latency"` // from the planned start to the whole answer
}

// UDP counts datagrams, one for each flow.
type UDP struct {
	Sent   int `json:"sent"`
	Echoed int `json:"echoed"`
	Lost   int `json:"lost"`
	Wrong  int `json:"wrong"`
}

// Ending describes a flow that failed.
type Ending struct {
	ID     uint64    `json:"id"`
	Caller string    `json:"caller"` // address and port
	Server string    `json:"server,omitempty"`
	Kind   string    `json:"kind"`
	Detail string    `json:"detail"`
	At     time.Time `json:"at"`
}

// Second counts the flows attempted in one second of Unix time, and their outcomes.
type Second struct {
	Unix        int64 `json:"unix"`
	Attempted   int   `json:"attempted"`
	Served      int   `json:"served"`
	Connects    int   `json:"connects"`    // standing connections attempted
	Established int   `json:"established"` // of them
}

// Histogram is an HDR histogram in microseconds.
type Histogram struct {
	Count   int64  `json:"count"`
	P50     int64  `json:"p50_us"`
	P90     int64  `json:"p90_us"`
	P99     int64  `json:"p99_us"`
	P999    int64  `json:"p999_us"`
	Max     int64  `json:"max_us"`
	Encoded []byte `json:"encoded"` // HdrHistogram V2, compressed, base64
}

const (
	// maxEndings is the maximum length of a list of endings. Later failures are only
	// counted.
	maxEndings = 20000
	// maxHistogramMicros is the largest value of a histogram, 2 minutes, in
	// microseconds.
	maxHistogramMicros = 120e6
	significantDigits  = 3
)

type results struct {
	mu       sync.Mutex
	res      Results
	latency  *hdrhistogram.Histogram
	alertGap *hdrhistogram.Histogram
	seconds  map[int64]*Second
	stray    func() uint64
}

func newResults(conf Config) *results {
	rs := &results{
		latency:  hdrhistogram.New(1, maxHistogramMicros, significantDigits),
		alertGap: hdrhistogram.New(1, maxHistogramMicros, significantDigits),
		seconds:  make(map[int64]*Second),
	}
	rs.res = Results{Name: conf.Name, Seed: conf.Seed, Started: time.Now()}
	rs.res.Standing.ByServer = make(map[string]int)
	rs.res.Requests.ByServer = make(map[string]int)
	return rs
}

// update changes the counters under the lock.
func (rs *results) update(act func(*Results)) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	act(&rs.res)
}

// secondFor returns the counters of the second of a time. The caller must hold
// rs.mu.
func (rs *results) secondFor(at time.Time) *Second {
	sc := rs.seconds[at.Unix()]
	if sc == nil {
		sc = &Second{Unix: at.Unix()}
		rs.seconds[at.Unix()] = sc
	}
	return sc
}

func appendEnding(list *[]Ending, end Ending) {
	if len(*list) < maxEndings {
		end.At = time.Now()
		*list = append(*list, end)
	}
}

func recordDuration(hg *hdrhistogram.Histogram, d time.Duration) {
	hg.RecordValue(min(max(d.Microseconds(), 1), maxHistogramMicros))
}

func (rs *results) snapshot() Results {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	res := rs.res
	res.Standing.Endings = append([]Ending{}, rs.res.Standing.Endings...)
	res.Requests.Endings = append([]Ending{}, rs.res.Requests.Endings...)
	res.Standing.ByServer = copyCounts(rs.res.Standing.ByServer)
	res.Requests.ByServer = copyCounts(rs.res.Requests.ByServer)
	res.Standing.AlertGap = summarise(rs.alertGap)
	res.Requests.Latency = summarise(rs.latency)
	res.Seconds = []Second{}
	for _, sc := range rs.seconds {
		res.Seconds = append(res.Seconds, *sc)
	}
	slices.SortFunc(res.Seconds, func(a, b Second) int { return int(a.Unix - b.Unix) })
	if rs.stray != nil {
		res.Stray = rs.stray()
	}
	return res
}

func copyCounts(from map[string]int) map[string]int {
	res := make(map[string]int, len(from))
	for key, val := range from {
		if val != 0 {
			res[key] = val
		}
	}
	return res
}

func summarise(hg *hdrhistogram.Histogram) Histogram {
	enc, err := hg.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	if err != nil {
		enc = nil
	}
	return Histogram{
		Count: hg.TotalCount(),
		P50:   hg.ValueAtQuantile(50), P90: hg.ValueAtQuantile(90),
		P99: hg.ValueAtQuantile(99), P999: hg.ValueAtQuantile(99.9),
		Max: hg.Max(), Encoded: enc,
	}
}
