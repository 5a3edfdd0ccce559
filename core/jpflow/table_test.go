package jpflow

import (
	"errors"
	"fmt"
	"runtime"
	"testing"

	"pgregory.net/rapid"

	"jacinthpass/core/jppacket"
)

type entry48 struct {
	count uint64
	_     [5]uint64
}

// Guards against entries that get lost, move or remain after Remove: every step is
// compared with a Go map.
func TestTableAgainstMap(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const limit = 8
		tb := New[int, int](limit)
		model := map[int]*int{}
		keys := rapid.IntRange(0, 12)
		rt.Repeat(map[string]func(*rapid.T){
			"add": func(rt *rapid.T) {
				key := keys.Draw(rt, "key")
				got, err := tb.Add(key)
				old, had := model[key]
				if !had && len(model) == limit {
					if full := (FullError{}); !errors.As(err, &full) || full.Limit != limit {
						rt.Fatalf("error %v, want a FullError", err)
					}
					return
				}
				if err != nil || had && got != old || !had && *got != 0 {
					rt.Fatalf("Add(%d) = %v, %v", key, got, err)
				}
				*got = key + 100
				model[key] = got
			},
			"remove": func(rt *rapid.T) {
				key := keys.Draw(rt, "key")
				tb.Remove(key)
				delete(model, key)
			},
			"sweep": func(rt *rapid.T) {
				gone := keys.Draw(rt, "key")
				tb.Sweep(100, func(key int, entry *int) bool {
					if model[key] != entry {
						rt.Fatalf("Sweep passed %d, %p", key, entry)
					}
					return key != gone
				})
				delete(model, gone)
			},
			"": func(rt *rapid.T) {
				if tb.Len() != len(model) {
					rt.Fatalf("length %d, want %d", tb.Len(), len(model))
				}
				for key := range 13 {
					if got := tb.Get(key); got != model[key] || got != nil && *got != key+100 {
						rt.Fatalf("Get(%d) = %v", key, got)
					}
				}
				seen := 0
				tb.Each(func(key int, entry *int) bool { seen++; return model[key] == entry })
				if seen != len(model) {
					rt.Fatalf("Each passed %d entries, want %d", seen, len(model))
				}
			},
		})
	})
}

// Guards against entries that get lost when runs of occupied slots in the index
// overlap, grow and shrink, and against pointers that become invalid when the table
// grows.
func TestIndexUnderLoad(t *testing.T) {
	const count = 20_000
	tb := New[int, int](count + 1)
	first, _ := tb.Add(-1)
	for round := range 4 {
		for key := range count {
			entry, err := tb.Add(key)
			if err != nil {
				t.Fatal(err)
			}
			*entry = key
		}
		for key := round % 2; key < count; key += 2 {
			tb.Remove(key)
		}
		for key := range count {
			got := tb.Get(key)
			if gone := key%2 == round%2; gone != (got == nil) || got != nil && *got != key {
				t.Fatalf("round %d: Get(%d) = %v", round, key, got)
			}
		}
	}
	if got := tb.Get(-1); got != first {
		t.Errorf("entry moved from %p to %p", first, got)
	}
}

// Guards against expiry that skips entries or does all its work in one call.
func TestSweepRotates(t *testing.T) {
	tb := New[int, int](100)
	for key := range 25 {
		_, _ = tb.Add(key)
	}
	seen := map[int]int{}
	for range 5 {
		calls := 0
		tb.Sweep(10, func(key int, _ *int) bool { calls++; seen[key]++; return true })
		if calls != 10 {
			t.Errorf("%d entries visited, want 10", calls)
		}
	}
	for key := range 25 {
		if seen[key] != 2 {
			t.Errorf("entry %d visited %d times, want 2", key, seen[key])
		}
	}
}

func numberedFlow(num int) jppacket.Flow {
	return jppacket.Flow{Caller: [4]byte{10, 0, byte(num >> 24), byte(num >> 16)}, CallerPort: uint16(num), ServicePort: 443}
}

func filledTable(count int) *Table[jppacket.Flow, entry48] {
	tb := New[jppacket.Flow, entry48](count)
	for num := range count {
		_, _ = tb.Add(numberedFlow(num))
	}
	return tb
}

// heapPerFlow returns the heap memory per flow of a table with count flows, in
// bytes.
func heapPerFlow(count int) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	tb := filledTable(count)
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(tb)
	return float64(after.HeapAlloc-before.HeapAlloc) / float64(count)
}

// Guards against flows that take more memory than the design allows, which is 100
// bytes of heap each.
func TestMemory(t *testing.T) {
	for _, count := range []int{100_000, 150_000, 200_000, 300_000, 450_000} {
		got := heapPerFlow(count)
		t.Logf("%d flows: %.1f bytes each", count, got)
		if got > 100 {
			t.Errorf("%d flows: %.1f bytes each, want at most 100", count, got)
		}
	}
}

// Guards against allocations in Get, which is called for each packet.
func TestGetDoesNotAllocate(t *testing.T) {
	tb := filledTable(2)
	if allocs := testing.AllocsPerRun(100, func() { tb.Get(numberedFlow(1)); tb.Get(numberedFlow(3)) }); allocs != 0 {
		t.Errorf("%v allocations, want 0", allocs)
	}
}

func ExampleTable() {
	tb := New[string, int](1)
	entry, _ := tb.Add("a")
	*entry = 5
	_, err := tb.Add("b")
	fmt.Println(*tb.Get("a"), err)
	// Output: 5 flow table is full at 1 entries
}

// BenchmarkGet looks up flows in a non-sequential order. The larger tables don't
// fit into the processor's caches.
func BenchmarkGet(b *testing.B) {
	for _, count := range []int{1_000, 30_000, 300_000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			tb := filledTable(count)
			b.ReportAllocs()
			num := 0
			for b.Loop() {
				num = (num + 7919) % count
				tb.Get(numberedFlow(num)).count++
			}
		})
	}
}

func BenchmarkSweep(b *testing.B) {
	tb := filledTable(300_000)
	for b.Loop() {
		tb.Sweep(10_000, func(jppacket.Flow, *entry48) bool { return true })
	}
}
