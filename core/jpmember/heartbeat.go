package jpmember

// Heartbeat is the message that an instance sends to each neighbour four times
// a second.
type Heartbeat struct {
	From        string
	DataCentre  string
	Incarnation uint64
	State       State // Alive or Leaving
	Sequence    uint64
	Echo        uint64 // latest Sequence received from the addressee, 0 if none
	Monitoring  bool   // the sender monitors the addressee; false if it only responds to its heartbeats
	Digest      uint64 // of the instances of the sender's data centre that it considers alive
	Changes     []Change
}

// AddressedHeartbeat is a heartbeat that is due and its addressee.
type AddressedHeartbeat struct {
	To        string
	Heartbeat Heartbeat
}

// Change is the state of an instance as spread by gossip on heartbeats.
type Change struct {
	ID          string
	Incarnation uint64
	State       State
}

// Listed is one row of the platform's instance list.
type Listed struct {
	ID         string
	DataCentre string
	Leaving    bool
	Addresses  Addresses
}
