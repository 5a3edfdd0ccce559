package jpdispatch

import (
	"slices"
	"time"
)

const (
	// holdTimeout is how long a packet waits for the directory of a starting
	// instance. A caller sends its last copy of a SYN after 600 ms and gives up
	// 800 ms later, so a held SYN still belongs to an attempt.
	holdTimeout = 600 * time.Millisecond

	// maxHeld bounds the packets that wait. With the largest packets they take
	// 1.3 MB.
	maxHeld = 1024
)

// HoldQueue holds the packets that arrive before the directory of a starting
// instance is known, which takes 0.1 s after its start. Dropping them would delay
// their flows until the callers' next retransmissions, by up to 1.6 s after all
// instances have failed together. It is not safe for concurrent use.
type HoldQueue[P any] struct {
	packets []heldPacket[P]
}

type heldPacket[P any] struct {
	packet  P
	expires time.Time
}

// Add adds a packet that arrived now. It returns false if there is no room.
func (hq *HoldQueue[P]) Add(now time.Time, packet P) bool {
	for len(hq.packets) > 0 && !now.Before(hq.packets[0].expires) {
		hq.packets = hq.packets[1:]
	}
	if len(hq.packets) >= maxHeld {
		return false
	}
	hq.packets = append(hq.packets, heldPacket[P]{packet, now.Add(holdTimeout)})
	return true
}

// Take removes the packets that are ready and those that have waited for too long, and
// returns the former in order of their arrival.
func (hq *HoldQueue[P]) Take(now time.Time, ready func(P) bool) []P {
	var list []P
	hq.packets = slices.DeleteFunc(hq.packets, func(hp heldPacket[P]) bool {
		expired := !now.Before(hp.expires)
		taken := !expired && ready(hp.packet)
		if taken {
			list = append(list, hp.packet)
		}
		return expired || taken
	})
	return list
}
