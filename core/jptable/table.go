// Package jptable ranks the backend servers of a service for each flow and
// determines the owner of each server, both by rendezvous hashing. All results
// depend only on the arguments, so instances with the same settings and view agree.
package jptable

import (
	"cmp"
	"encoding/binary"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"

	"jacinthpass/core/jppacket"
	"jacinthpass/core/jpsettings"
)

const (
	// MaxRowWidth bounds the servers in a row. A new flow is offered to 12
	// servers at most.
	MaxRowWidth = 16

	// rowsPerServer keeps the random imbalance of the home servers, the first
	// ones of the rows, well below the target of 1.10: the standard deviation of
	// a server's share is about 1/sqrt(rows per server), which is 4.4% with 512
	// and 8.8% with 128.
	rowsPerServer = 512

	minRows = 256
	maxRows = 65536 // bounds a table to 2 MB
)

// Table is the rank table of one service: for each row, that is for each hash
// modulo the number of rows, the servers in the order in which flows try them.
// It is immutable and safe for concurrent use.
type Table struct {
	width   int      // entries in a row
	mask    uint64   // rows - 1
	entries []uint16 // rows of width entries
}

// Build computes the rank table of sv. Servers that are out are omitted.
func Build(sv *jpsettings.Service) *Table {
	// The number of rows includes servers that are out: taking a data centre
	// out and back in must not change it, because that would change the rows of
	// all flows.
	return buildRows(candidates(sv), rowCount(len(sv.Servers)))
}

// candidates returns the servers of sv that are not out, sorted by name.
func candidates(sv *jpsettings.Service) []candidate {
	var included []candidate
	for i, sr := range sv.Servers {
		if !sr.Out {
			included = append(included, candidate{seed: xxhash.Sum64String(sr.Name), index: uint16(i)})
		}
	}
	slices.SortFunc(included, func(a, b candidate) int {
		return cmp.Compare(sv.Servers[a.index].Name, sv.Servers[b.index].Name)
	})
	return included
}

func buildRows(included []candidate, rows int) *Table {
	tb := &Table{width: min(len(included), MaxRowWidth), mask: uint64(rows - 1)}
	tb.entries = make([]uint16, 0, rows*tb.width)
	for row := range rows {
		tb.appendRow(included, uint64(row))
	}
	return tb
}

// Rows returns the number of rows, a power of two.
func (tb *Table) Rows() int {
	return int(tb.mask + 1)
}

// Row returns the indexes into the service's servers in the order in which a
// flow with this hash tries them. It is empty if every server is out. The
// caller must not change it.
func (tb *Table) Row(hash uint64) []uint16 {
	start := int(hash&tb.mask) * tb.width
	return tb.entries[start : start+tb.width : start+tb.width]
}

// Hash returns the hash of a flow. It is the same on every machine.
func Hash(fl jppacket.Flow) uint64 {
	var key [13]byte
	copy(key[0:4], fl.Caller[:])
	copy(key[4:8], fl.Service[:])
	binary.BigEndian.PutUint16(key[8:], fl.CallerPort)
	binary.BigEndian.PutUint16(key[10:], fl.ServicePort)
	key[12] = fl.Protocol
	return xxhash.Sum64(key[:])
}

// Score returns the score of a server for a flow in the rank table of a service
// with the given number of servers. A row lists its servers by falling scores.
func Score(name string, servers int, hash uint64) uint64 {
	row := hash & uint64(rowCount(servers)-1)
	return mix(xxhash.Sum64String(name) ^ mix(row+1))
}

// rowCount returns the number of rows for a number of servers.
func rowCount(servers int) int {
	wanted := max(minRows, min(maxRows, servers*rowsPerServer))
	return powerOfTwo(wanted)
}

// powerOfTwo rounds count up to a power of two.
func powerOfTwo(count int) int {
	return 1 << bits.Len(uint(count-1))
}

// candidate is a server that is ranked.
type candidate struct {
	seed  uint64
	index uint16
}

// appendRow appends the candidates with the highest scores. They come sorted
// by name, which decides between equal scores.
func (tb *Table) appendRow(included []candidate, row uint64) {
	var scores [MaxRowWidth]uint64
	var best [MaxRowWidth]uint16
	count := 0
	salt := mix(row + 1)
	for _, cd := range included {
		score := mix(cd.seed ^ salt)
		at := count
		for at > 0 && scores[at-1] < score {
			at--
		}
		if at == tb.width {
			continue
		}
		count = min(count+1, tb.width)
		copy(scores[at+1:count], scores[at:count])
		copy(best[at+1:count], best[at:count])
		scores[at], best[at] = score, cd.index
	}
	tb.entries = append(tb.entries, best[:tb.width]...)
}

// mix is the finalizer of MurmurHash3: a bijection in which each input bit
// affects all output bits.
func mix(val uint64) uint64 {
	val ^= val >> 33
	val *= 0xff51afd7ed558ccd
	val ^= val >> 33
	val *= 0xc4ceb9fe1a85ec53
	val ^= val >> 33
	return val
}
