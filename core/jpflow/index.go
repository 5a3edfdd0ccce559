package jpflow

import "hash/maphash"

const (
	// segmentCount is the number of segments of the index. Each segment grows by
	// itself, so that growth rehashes about 2,000 entries at 500,000 flows
	// instead of all of them.
	segmentCount = 256

	minSlots = 8
)

// segment is a hash table of positions of cells with linear probing. A slot
// holds the low 32 bits of the key's hash and a position plus one; zero marks
// an empty slot. The hash bits keep probes from reading the cells of other
// keys, each of which would be a cache miss. A slot takes 10 to 20 bytes for
// each entry, where a Go map that repeats the key takes 24 to 48.
type segment struct {
	slots []slot // a power of two, at most 4/5 in use
	used  int
}

type slot uint64

func newSlot(hash uint64, at uint32) slot {
	return slot(hash<<32 | uint64(at+1))
}

func (st slot) position() uint32 {
	return uint32(st) - 1
}

func (st slot) hash() uint64 {
	return uint64(st >> 32)
}

// hash returns the hash of key. Its seed is random, which affects the order of
// slots but not the results of the table.
func (tb *Table[K, E]) hash(key K) uint64 {
	return maphash.Comparable(tb.seed, key)
}

// segment returns the segment of the index for a hash. It uses the high bits of
// the hash; slots are selected by the low ones.
func (tb *Table[K, E]) segment(hash uint64) *segment {
	return &tb.index[hash>>56]
}

// find returns the index of the slot of key. ok is false if key is not in the table.
func (tb *Table[K, E]) find(sg *segment, hash uint64, key K) (index uint64, ok bool) {
	if len(sg.slots) == 0 {
		return 0, false
	}
	mask := uint64(len(sg.slots) - 1)
	low := hash & 0xffffffff
	for index = low & mask; sg.slots[index] != 0; index = (index + 1) & mask {
		st := sg.slots[index]
		if st.hash() == low && tb.cell(st.position()).key == key {
			return index, true
		}
	}
	return 0, false
}

// insert adds the slot of a key that is not in the segment.
func (sg *segment) insert(st slot) {
	if (sg.used+1)*5 > len(sg.slots)*4 {
		sg.grow()
	}
	sg.place(st)
	sg.used++
}

func (sg *segment) grow() {
	old := sg.slots
	sg.slots = make([]slot, max(minSlots, 2*len(old)))
	for _, st := range old {
		if st != 0 {
			sg.place(st)
		}
	}
}

// place stores st in the first empty slot at or after the one that its hash
// selects.
func (sg *segment) place(st slot) {
	mask := uint64(len(sg.slots) - 1)
	index := st.hash() & mask
	for sg.slots[index] != 0 {
		index = (index + 1) & mask
	}
	sg.slots[index] = st
}

// erase empties a slot and moves later slots of the same run back, so that no
// search ends before the slot it looks for. No tombstones are needed.
func (sg *segment) erase(index uint64) {
	mask := uint64(len(sg.slots) - 1)
	next := index
	for {
		next = (next + 1) & mask
		st := sg.slots[next]
		if st == 0 {
			break
		}
		if (next-st.hash())&mask >= (next-index)&mask {
			sg.slots[index] = st
			index = next
		}
	}
	sg.slots[index] = 0
	sg.used--
}
