package jpnetwork

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/oops"
)

// Endpoint is the sender or the receiver of a link.
type Endpoint struct {
	Address    netip.Addr
	DataCentre string
	Name       string // name of the rule or instance, empty for senders
}

// Fault impairs the traffic of the links that From and To select. A selector
// is empty (everything), "dc=NAME", "ip=ADDRESS" or "name=NAME"; "dc!=NAME"
// selects everything outside a data centre.
type Fault struct {
	ID                 string  `json:"id"`
	From               string  `json:"from"`
	To                 string  `json:"to"`
	Both               bool    `json:"both"`      // also in the opposite direction
	BetweenDataCentres bool    `json:"between"`   // only links whose ends are in different data centres
	Cut                bool    `json:"cut"`       // blocks all packets
	ResetTCP           bool    `json:"reset_tcp"` // with Cut: reset TCP connections instead of stalling them
	DelayMS            float64 `json:"delay_ms"`
	JitterMS           float64 `json:"jitter_ms"`
	DropPercent        float64 `json:"drop_percent"`
	DuplicatePercent   float64 `json:"duplicate_percent"`
	ReorderPercent     float64 `json:"reorder_percent"`
	ReorderMS          float64 `json:"reorder_ms"` // extra delay of a reordered packet; 0 means 5
}

// defaultReorderMS is the default extra delay of a reordered packet in
// milliseconds. It is longer than the gaps between packets of a busy flow, so
// that later packets overtake the delayed one.
const defaultReorderMS = 5.0

// impairment is the combined effect of all faults on one link.
type impairment struct {
	cut            bool
	routeWithdrawn bool // cut between data centres, to which routing has adapted
	resetTCP       bool
	delay          time.Duration
	jitter         time.Duration
	drop           float64 // percent, as the next two
	duplicate      float64
	reorder        float64
	reorderDelay   time.Duration
}

// faultSet holds the active faults.
type faultSet struct {
	mu     sync.Mutex
	list   []Fault
	nextID int
	epoch  atomic.Uint64 // number of changes; links use it to invalidate their cached impairment
	change chan struct{} // closed and replaced on each change
}

func newFaultSet() *faultSet {
	return &faultSet{change: make(chan struct{})}
}

func checkSelector(sel string) error {
	if sel == "" {
		return nil
	}
	key, val, ok := strings.Cut(sel, "=")
	if ok && key == "ip" {
		_, err := netip.ParseAddr(val)
		return err
	}
	if !ok || !slices.Contains([]string{"dc", "dc!", "name"}, key) {
		return oops.Errorf("network: invalid selector %q: want dc=, dc!=, ip= or name=", sel)
	}
	return nil
}

func matchesSelector(sel string, end Endpoint) bool {
	key, val, _ := strings.Cut(sel, "=")
	switch key {
	case "dc":
		return end.DataCentre == val
	case "dc!":
		return end.DataCentre != val
	case "ip":
		return end.Address.String() == val
	case "name":
		return end.Name == val
	}
	return true
}

// selects reports whether the fault applies to packets from one end to another.
func (ft *Fault) selects(from, to Endpoint) bool {
	if ft.BetweenDataCentres && from.DataCentre == to.DataCentre {
		return false
	}
	if matchesSelector(ft.From, from) && matchesSelector(ft.To, to) {
		return true
	}
	return ft.Both && matchesSelector(ft.From, to) && matchesSelector(ft.To, from)
}

func (ft *Fault) selectsDataCentres() bool {
	return strings.HasPrefix(ft.From, "dc") && strings.HasPrefix(ft.To, "dc")
}

// add activates a fault and returns it with its id. It replaces an active fault
// with the same id.
func (fs *faultSet) add(ft Fault) (Fault, error) {
	for _, sel := range []string{ft.From, ft.To} {
		if err := checkSelector(sel); err != nil {
			return ft, err
		}
	}
	fs.mu.Lock()
	defer fs.mu.Unlock()
	if ft.ID == "" {
		fs.nextID++
		ft.ID = "fault-" + strconv.Itoa(fs.nextID)
	}
	fs.list = slices.DeleteFunc(fs.list, func(old Fault) bool { return old.ID == ft.ID })
	fs.list = append(fs.list, ft)
	fs.notifyChange()
	return ft, nil
}

// remove deactivates the fault with an id, or all faults if the id is empty.
func (fs *faultSet) remove(id string) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	fs.list = slices.DeleteFunc(fs.list, func(ft Fault) bool { return id == "" || ft.ID == id })
	fs.notifyChange()
}

func (fs *faultSet) notifyChange() {
	fs.epoch.Add(1)
	close(fs.change)
	fs.change = make(chan struct{})
}

func (fs *faultSet) all() []Fault {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	return append([]Fault{}, fs.list...)
}

// impairmentOn combines the faults on a link: delays add up, and the largest
// percentage applies. It also returns the epoch and the channel that is closed
// at the next change.
func (fs *faultSet) impairmentOn(from, to Endpoint) (impairment, uint64, <-chan struct{}) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	var imp impairment
	for i := range fs.list {
		ft := &fs.list[i]
		if !ft.selects(from, to) {
			continue
		}
		imp.cut = imp.cut || ft.Cut
		imp.routeWithdrawn = imp.routeWithdrawn || (ft.Cut && ft.selectsDataCentres())
		imp.resetTCP = imp.resetTCP || (ft.Cut && ft.ResetTCP)
		imp.delay += milliseconds(ft.DelayMS)
		imp.jitter += milliseconds(ft.JitterMS)
		imp.drop = max(imp.drop, ft.DropPercent)
		imp.duplicate = max(imp.duplicate, ft.DuplicatePercent)
		imp.reorder = max(imp.reorder, ft.ReorderPercent)
		reorderMS := ft.ReorderMS
		if reorderMS == 0 {
			reorderMS = defaultReorderMS
		}
		imp.reorderDelay = max(imp.reorderDelay, milliseconds(reorderMS))
	}
	return imp, fs.epoch.Load(), fs.change
}

func milliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}

// randomSource is a seeded random number generator that is safe for concurrent use.
type randomSource struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func newRandomSource(seed uint64) *randomSource {
	return &randomSource{rng: rand.New(rand.NewPCG(seed, 0x6a70))}
}

func (rs *randomSource) float() float64 {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return rs.rng.Float64()
}

func (rs *randomSource) chance(percent float64) bool {
	return percent > 0 && rs.float()*100 < percent
}
