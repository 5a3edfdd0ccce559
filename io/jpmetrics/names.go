package jpmetrics

import (
	"fmt"

	"jacinthpass/core/jpsteering"
)

type reasonName struct {
	reason jpsteering.Reason
	name   string
}

// unknownSender is the drop reason of relayed packets that do not come from an
// instance. They do not reach the steerer, which sets the other reasons.
const unknownSender = "unknown_sender"

// interfaceNames are the label values of the interfaces that refuse connections.
var interfaceNames = [...]string{
	PeerInterface:     "peer",
	OperatorInterface: "operator",
}

// dropNames are the names of drop reasons.
var dropNames = []reasonName{
	{jpsteering.DropMalformed, "malformed"},
	{jpsteering.DropNoService, "no_service"},
	{jpsteering.DropHops, "hops"},
	{jpsteering.DropNoOwner, "no_owner"},
	{jpsteering.DropCrossedAnswer, "crossed_answer"},
	{jpsteering.DropLateAnswer, "late_answer"},
	{jpsteering.DropUnconfirmed, "unconfirmed"},
	{jpsteering.DropSYNPayload, "syn_payload"},
	{jpsteering.DropTableFull, "table_full"},
	{jpsteering.DropTakeover, "takeover"},
	{jpsteering.DropProbeAnswer, "probe_answer"},
	{jpsteering.DropSettings, "settings"},
	{jpsteering.DropNoRoom, "no_room"},
	{jpsteering.DropWaiting, "waiting"},
	{jpsteering.DropStale, "stale"},
}

// eventNames are the names of the reasons of recorded events.
var eventNames = []reasonName{
	{jpsteering.EventRefused, "refused"},
	{jpsteering.EventShed, "shed"},
	{jpsteering.EventFlowSilent, "flow_silent"},
	{jpsteering.EventFlowGivenUp, "flow_given_up"},
	{jpsteering.EventFlowLocated, "flow_located"},
	{jpsteering.EventFlowUnlocated, "flow_unlocated"},
	{jpsteering.EventTakeover, "takeover"},
	{jpsteering.EventTurnedCold, "turned_cold"},
	{jpsteering.EventWarm, "warm"},
	{jpsteering.EventUnresponsive, "unresponsive"},
}

// ReasonName returns the name of a reason in metrics, the timeline and the
// operators' API.
func ReasonName(reason jpsteering.Reason) string {
	for _, names := range [][]reasonName{dropNames, eventNames} {
		for _, rn := range names {
			if rn.reason == reason {
				return rn.name
			}
		}
	}
	return fmt.Sprintf("reason_%d", reason)
}
