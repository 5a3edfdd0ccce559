// Package jpflow provides a hash table for flow entries with a bounded size.
package jpflow

import (
	"fmt"
	"hash/maphash"
)

// blockSize is the number of entries that are allocated together. Blocks never
// move, so pointers to entries stay valid while the table grows.
const blockSize = 1024

// FullError is returned by Add when the table holds its limit of entries.
type FullError struct {
	Limit int
}

// Error returns the text of the error.
func (er FullError) Error() string {
	return fmt.Sprintf("flow table is full at %d entries", er.Limit)
}

// Table maps keys to entries that are allocated in blocks. Its memory grows with
// the largest number of entries it has held and does not shrink.
// It is not safe for concurrent use.
type Table[K comparable, E any] struct {
	index  [segmentCount]segment
	seed   maphash.Seed
	blocks []*[blockSize]cell[K, E]
	free   []uint32 // cells freed by Remove
	used   uint32   // cells allocated so far, including free ones
	cursor uint32   // cell that Sweep visits next
	count  int
	limit  int
}

type cell[K comparable, E any] struct {
	key   K
	inUse bool
	entry E
}

// New returns an empty table that holds at most limit entries.
func New[K comparable, E any](limit int) *Table[K, E] {
	return &Table[K, E]{seed: maphash.MakeSeed(), limit: limit}
}

// Len returns the number of entries.
func (tb *Table[K, E]) Len() int {
	return tb.count
}

// Get returns the entry of key, or nil. The pointer is valid until key is removed.
func (tb *Table[K, E]) Get(key K) *E {
	hash := tb.hash(key)
	sg := tb.segment(hash)
	index, ok := tb.find(sg, hash, key)
	if !ok {
		return nil
	}
	return &tb.cell(sg.slots[index].position()).entry
}

// Add returns a new zero entry for key, or the existing entry. The pointer is
// valid until key is removed. The error is a FullError.
func (tb *Table[K, E]) Add(key K) (*E, error) {
	hash := tb.hash(key)
	sg := tb.segment(hash)
	if index, ok := tb.find(sg, hash, key); ok {
		return &tb.cell(sg.slots[index].position()).entry, nil
	}
	if tb.count >= tb.limit {
		return nil, FullError{Limit: tb.limit}
	}
	at := tb.allocate()
	sg.insert(newSlot(hash, at))
	tb.count++
	cl := tb.cell(at)
	cl.key = key
	cl.inUse = true
	return &cl.entry, nil
}

// Remove removes the entry of key, if there is one.
func (tb *Table[K, E]) Remove(key K) {
	hash := tb.hash(key)
	sg := tb.segment(hash)
	index, ok := tb.find(sg, hash, key)
	if !ok {
		return
	}
	at := sg.slots[index].position()
	sg.erase(index)
	tb.count--
	*tb.cell(at) = cell[K, E]{}
	tb.free = append(tb.free, at)
}

// Each calls visit for each entry until visit returns false. The order depends
// only on the earlier calls of Add and Remove. visit may remove entries; entries
// that it adds may or may not be visited.
func (tb *Table[K, E]) Each(visit func(key K, entry *E) bool) {
	for at := uint32(0); at < tb.used; at++ {
		cl := tb.cell(at)
		if cl.inUse && !visit(cl.key, &cl.entry) {
			return
		}
	}
}

// Sweep visits the count cells after those of the previous call, each at most
// once, and removes the entries for which keep returns false. Empty cells count
// too. Repeated calls visit every entry, so that entries expire with an amount of
// work per call that count bounds. keep may remove entries itself.
func (tb *Table[K, E]) Sweep(count int, keep func(key K, entry *E) bool) {
	for range min(count, int(tb.used)) {
		if tb.cursor >= tb.used {
			tb.cursor = 0
		}
		cl := tb.cell(tb.cursor)
		tb.cursor++
		if !cl.inUse {
			continue
		}
		if key := cl.key; !keep(key, &cl.entry) {
			tb.Remove(key)
		}
	}
}

func (tb *Table[K, E]) cell(at uint32) *cell[K, E] {
	return &tb.blocks[at/blockSize][at%blockSize]
}

// allocate returns the position of a cell that is not in use.
func (tb *Table[K, E]) allocate() uint32 {
	if last := len(tb.free) - 1; last >= 0 {
		at := tb.free[last]
		tb.free = tb.free[:last]
		return at
	}
	if int(tb.used) == len(tb.blocks)*blockSize {
		tb.blocks = append(tb.blocks, new([blockSize]cell[K, E]))
	}
	tb.used++
	return tb.used - 1
}
