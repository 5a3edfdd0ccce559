package jpstore_test

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"reflect"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"jacinthpass/core/jprollout"
	"jacinthpass/core/jpsettings"
	"jacinthpass/io/jpstore"
	"jacinthpass/lab/jpstorestand"
)

// seed determines the operations and faults of TestSubmitLinearizable, but not
// their timing.
const seed = 20

// outcomeKind is the result of an operation as its caller observed it.
type outcomeKind uint8

const (
	readSucceeded outcomeKind = iota
	accepted
	conflicted
	notApplied
	unknown
)

// outcome is the output of an operation. The input is the change id.
type outcome struct {
	kind     outcomeKind
	version  uint64
	changeID string // change id of the record read
}

// storeState is the model's state: the record in the store.
type storeState struct {
	version  uint64
	changeID string
}

// storeModel is a sequential specification of the store: one record, whose
// version increases by one with each change.
var storeModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{storeState{}} },
	Step: func(state, input, output any) []any {
		st, out := state.(storeState), output.(outcome)
		next := storeState{st.version + 1, input.(string)}
		switch {
		case out.kind == readSucceeded && st == storeState{out.version, out.changeID},
			out.kind == conflicted && st.version == out.version,
			out.kind == notApplied:
			return []any{st}
		case out.kind == accepted && next.version == out.version:
			return []any{next}
		case out.kind == unknown:
			return []any{st, next}
		}
		return nil
	},
}

// TestSubmitLinearizable guards against changes that are lost, applied twice or
// reported with a wrong outcome, and against versions that go back, while the
// store has outages, loses responses and is slow.
func TestSubmitLinearizable(t *testing.T) {
	standIn, client := openStandIn(t)
	text, err := os.ReadFile("../../examples/derwent.ini")
	if err != nil {
		t.Fatal(err)
	}
	hist := &history{start: time.Now(), kinds: map[outcomeKind]int{}}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var workers, helpers sync.WaitGroup
	for i := range 3 {
		helpers.Go(func() { followSettings(ctx, t, client, uint64(i)) })
	}
	helpers.Go(func() { injectFaults(ctx, standIn) })
	for i := range 6 {
		workers.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(i)))
			for j := range 25 {
				hist.run(t, client, rng, i, fmt.Sprintf("w%d-%d", i, j), text)
			}
		})
	}
	workers.Wait()
	stop()
	helpers.Wait()
	t.Logf("reads, accepted, conflicts, not applied, unknown: %v", hist.kinds)
	for kind := readSucceeded; kind <= notApplied; kind++ {
		if hist.kinds[kind] == 0 {
			t.Errorf("no operation with outcome %d", kind)
		}
	}
	if res := porcupine.CheckOperationsTimeout(storeModel.ToModel(), hist.operations, time.Minute); res != porcupine.Ok {
		t.Errorf("history is not linearizable: %v", res)
	}
}

// history collects the operations of all workers.
type history struct {
	start      time.Time
	mu         sync.Mutex
	operations []porcupine.Operation
	kinds      map[outcomeKind]int
}

// run performs one operation and records it.
func (hi *history) run(t *testing.T, client *jpstore.Client, rng *rand.Rand, worker int, id string, text []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(50+rng.IntN(1000))*time.Millisecond)
	defer cancel()
	ch := jprollout.Change{ID: id, Author: "test"}
	choice := rng.IntN(3)
	switch choice {
	case 1:
		ch.Edits = []jprollout.Edit{{Section: "defaults", Key: "retry_percent", Value: fmt.Sprint(rng.IntN(100))}}
	case 2:
		rec, _, _ := client.ReadSettings(ctx)
		ch.Base, ch.Text = rec.Version, text
	}
	call := time.Since(hi.start)
	var rec jprollout.Record
	var err error
	if choice == 0 {
		rec, _, err = client.ReadSettings(ctx)
	} else {
		rec, err = jpstore.Submit(ctx, client, ch)
	}
	ret := int64(time.Since(hi.start))
	out, ok := classify(t, choice == 0, id, rec, err)
	if !ok {
		return
	}
	if out.kind == unknown {
		ret = math.MaxInt64 // may take effect at any later time
	}
	hi.mu.Lock()
	defer hi.mu.Unlock()
	hi.kinds[out.kind]++
	hi.operations = append(hi.operations, porcupine.Operation{ClientId: worker, Input: id, Call: int64(call), Output: out, Return: ret})
}

// classify returns the outcome of an operation, or false if it is not part of the
// history.
func classify(t *testing.T, read bool, id string, rec jprollout.Record, err error) (outcome, bool) {
	var conflict *jprollout.ConflictError
	var nae *jpstore.NotAppliedError
	var uoe *jpstore.UnknownOutcomeError
	switch {
	case read && (err == nil || errors.Is(err, jpstore.ErrNoSettings)):
		return outcome{readSucceeded, rec.Version, rec.ChangeID}, true
	case read:
		return outcome{}, false
	case errors.As(err, &conflict):
		return outcome{kind: conflicted, version: conflict.Version}, true
	case errors.As(err, &nae):
		return outcome{kind: notApplied}, true
	case errors.As(err, &uoe):
		return outcome{kind: unknown}, true
	case err != nil:
		// Edits of an empty store give an invalid text, which is refused.
		return outcome{}, false
	}
	version, ok := jprollout.AcceptedVersion(rec, id)
	if !ok {
		t.Errorf("change %s is not in the record of version %d", id, rec.Version)
	}
	return outcome{kind: accepted, version: version}, true
}

// followSettings watches the store as an instance does, until ctx ends, and
// checks that neither the index nor the version goes back.
func followSettings(ctx context.Context, t *testing.T, client *jpstore.Client, id uint64) {
	var ro jprollout.Rollout
	var index uint64
	for ctx.Err() == nil {
		rec, next, err := client.WatchSettings(ctx, index)
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		if next < index {
			t.Errorf("watch %d: index went back from %d to %d", id, index, next)
		}
		index = next
		if ad := ro.Offer(time.Now(), rec, jprollout.FromStore); ad.Kind == jprollout.Refused || rec.Version < ad.Previous {
			t.Errorf("watch %d: %+v", id, ad)
		}
	}
}

// injectFaults changes the store's faults at random until ctx ends.
func injectFaults(ctx context.Context, standIn *jpstorestand.Store) {
	rng := rand.New(rand.NewPCG(seed, math.MaxUint64))
	conditions := []jpstorestand.Faults{
		{},
		{Outage: true},
		{LoseAnswersEvery: 2},
		{Delay: 60 * time.Millisecond},
		{Delay: 30 * time.Millisecond, LoseAnswersEvery: 3},
	}
	for ctx.Err() == nil {
		standIn.SetFaults(conditions[rng.IntN(len(conditions))])
		time.Sleep(time.Duration(20+rng.IntN(150)) * time.Millisecond)
	}
	standIn.SetFaults(jpstorestand.Faults{})
}

// TestSubmitRepeated guards against a change that is applied twice when an operator
// repeats it after an unknown outcome.
func TestSubmitRepeated(t *testing.T) {
	standIn, client := openStandIn(t)
	ctx := context.Background()
	ch := jprollout.Change{ID: "c1", Text: []byte("[service.a]\naddress = 10.80.0.1\nport = 443\nkind = stream\n")}
	standIn.SetFaults(jpstorestand.Faults{LoseAnswersEvery: 1})
	first, err := jpstore.Submit(ctx, client, ch)
	if err != nil {
		t.Fatal(err)
	}
	again, err := jpstore.Submit(ctx, client, ch)
	if err != nil || again.Version != first.Version {
		t.Errorf("second submission: version %d after %d, %v", again.Version, first.Version, err)
	}
	standIn.SetFaults(jpstorestand.Faults{Outage: true})
	short, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
	defer cancel()
	var nae *jpstore.NotAppliedError
	if _, err := jpstore.Submit(short, client, jprollout.Change{ID: "c2", Base: 1, Text: ch.Text}); !errors.As(err, &nae) {
		t.Errorf("submission in an outage: %v", err)
	}
}

// TestSubmitUnknownOutcome guards against a write that is still in progress being
// reported as not applied.
func TestSubmitUnknownOutcome(t *testing.T) {
	standIn, client := openStandIn(t)
	ch := jprollout.Change{ID: "c1", Text: []byte("[service.a]\naddress = 10.80.0.1\nport = 443\nkind = stream\n")}
	const delay = 300 * time.Millisecond
	standIn.SetFaults(jpstorestand.Faults{Delay: delay})
	// The deadline expires after the swap is sent and before it takes effect.
	ctx, cancel := context.WithTimeout(context.Background(), delay*3/2)
	defer cancel()
	var uoe *jpstore.UnknownOutcomeError
	if _, err := jpstore.Submit(ctx, client, ch); !errors.As(err, &uoe) {
		t.Fatalf("write in progress: %v", err)
	}
	standIn.SetFaults(jpstorestand.Faults{})
	time.Sleep(delay)
	if rec, err := jpstore.Submit(context.Background(), client, ch); err != nil || rec.Version != 1 {
		t.Errorf("second submission: version %d, %v", rec.Version, err)
	}
}

// TestSubmitTruncatesFormer guards against a text that is refused because the list
// of former servers makes the record too large for the store.
func TestSubmitTruncatesFormer(t *testing.T) {
	_, client := openStandIn(t)
	ctx := context.Background()
	full := record(1, "")
	full.Former = slices.Repeat([]jpsettings.FormerServer{former(time.Now().Add(time.Hour))}, jprollout.MaxFormer)
	if ok, err := client.SwapSettings(ctx, 0, full); !ok || err != nil {
		t.Fatal(ok, err)
	}
	text := "[service.a]\naddress = 10.80.0.1\nport = 443\nkind = stream\n"
	text += strings.Repeat("#"+strings.Repeat("x", 98)+"\n", (jpstore.MaxRecordSize-60_000)/101)
	rec, err := jpstore.Submit(ctx, client, jprollout.Change{ID: "large", Base: 1, Text: []byte(text)})
	if err != nil || len(rec.Former) == 0 {
		t.Fatalf("%d entries, %v", len(rec.Former), err)
	}
	if read, _, err := client.ReadSettings(ctx); err != nil || !reflect.DeepEqual(read, rec) {
		t.Errorf("read %d entries, returned %d, %v", len(read.Former), len(rec.Former), err)
	}
}
