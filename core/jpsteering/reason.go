package jpsteering

// Reason is the reason why a packet was dropped, or the kind of a timeline event.
type Reason uint8

// Reasons of drops, followed by kinds of events.
const (
	ReasonNone         Reason = iota
	DropMalformed             // not a valid IPv4 packet with TCP or UDP
	DropNoService             // not a service address, or no longer one
	DropHops                  // relayed too often
	DropNoOwner               // the server has no owner
	DropCrossedAnswer         // from a server other than the one that holds the flow
	DropLateAnswer            // outdated: of an ended flow, an earlier probe or a duplicate SYN
	DropUnconfirmed           // no server confirmed the flow, but one may hold it, for example an unreachable one
	DropSYNPayload            // SYN with payload
	DropTableFull             // no room for an entry or a held packet
	DropTakeover              // new flow shortly after a takeover or an instance's death
	DropProbeAnswer           // answer to a probe, not meant for the caller
	DropSettings              // no settings yet
	DropNoRoom                // no server has room for the new flow
	DropStale                 // the first packet of a flow waited too long in the socket
	DropWaiting               // another packet of the flow is already held
	EventRefused              // new flow refused for lack of room
	EventShed                 // a server refused a handshake
	EventFlowSilent           // flow ended because an end did not answer probes
	EventFlowGivenUp          // flows ended because their data centre was taken out of service
	EventFlowLocated          // a flow was located at a server (not recorded at present)
	EventFlowUnlocated        // flow reset because no server holds it
	EventTakeover             // this instance became the owner of a server
	EventTurnedCold           // a server counts as cold again
	EventWarm                 // a server finished its cold start
	EventUnresponsive         // a server stopped answering handshakes and probes
)
