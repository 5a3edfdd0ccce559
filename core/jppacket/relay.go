package jppacket

import "net/netip"

// RelayKind is the purpose of a relayed packet.
type RelayKind uint8

// Kinds of relayed packets. The zero value means that the packet was not relayed
// but came from the fabric.
const (
	RelayNone    RelayKind = iota
	RelayForward           // from a caller, for the owner of Relay.Server
	RelayReply             // from the backend server Relay.Server, for its owner
)

// Relay is the content of the Geneve option of a packet relayed between instances.
type Relay struct {
	Kind   RelayKind
	Rank   uint8      // position of Server in the row of the rank table
	Hops   uint8      // number of times that the packet was relayed
	Flags  uint8      // see the Flag constants
	Server netip.Addr // IPv4 address of the backend server
}

// Flags of a relayed packet.
const (
	// FlagSecondPass marks a new flow that no candidate of the first pass
	// accepted under the soft cap; only hard limits apply to it.
	FlagSecondPass uint8 = 1 << iota
	// FlagSearch marks a packet of an existing flow that is relayed from one
	// candidate's owner to the next until the flow is found. The receiver ignores
	// what it has stored about the flow's location.
	FlagSearch
	// FlagUncertain marks a search in which a candidate did not answer, so that
	// the flow may exist although no other candidate holds it.
	FlagUncertain
)

// RankDirect is the Rank of a packet whose sender knows which server holds the flow.
const RankDirect = 255

// MaxHops bounds how often a packet is relayed, so that instances with different
// views cannot relay it in a loop forever.
const MaxHops = 16
