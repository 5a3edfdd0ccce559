package jpmember_test

import (
	"fmt"
	"time"

	"jacinthpass/core/jpmember"
)

// Two instances exchange heartbeats; then one stops.
func ExampleGroup() {
	now := time.Unix(1_790_000_000, 0)
	list := []jpmember.Listed{{ID: "hobart-1"}, {ID: "hobart-2"}}
	groups := make(map[string]*jpmember.Group)
	for _, row := range list {
		self := jpmember.Member{ID: row.ID, Incarnation: uint64(now.UnixNano())}
		groups[row.ID] = jpmember.NewGroup(self, now)
		groups[row.ID].HandleList(now, list)
	}
	deliver := func(id string) {
		for _, ad := range groups[id].Tick(now) {
			groups[ad.To].HandleHeartbeat(now, ad.Heartbeat)
		}
	}
	show := func(what string) {
		vw, _ := groups["hobart-1"].View()
		fmt.Println(what, len(vw.Alive()), "alive,", len(groups["hobart-1"].Confirmations(now)), "confirmations")
	}
	show("start:")
	deliver("hobart-1")
	deliver("hobart-2")
	show("after heartbeats:")
	for range 6 {
		now = now.Add(jpmember.HeartbeatInterval)
		deliver("hobart-1")
	}
	show("death of hobart-2:")
	// Output:
	// start: 1 alive, 0 confirmations
	// after heartbeats: 2 alive, 1 confirmations
	// death of hobart-2: 1 alive, 0 confirmations
}
