package jpslope

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"runtime"
	"time"

	"jacinthpass/core/jppacket"
	"jacinthpass/core/jpsteering"
)

// flowDriver sends packets to the Steerer of an instance that owns all servers.
type flowDriver struct {
	st  *jpsteering.Steerer
	out []jpsteering.Outcome
}

// flowSegment returns a segment with the addresses of the flow with number no. Flows
// go to the services in turn.
func (ft Fleet) flowSegment(no int) jppacket.Segment {
	sg := jppacket.Segment{SourcePort: uint16(1024 + no%60000), DestinationPort: 443, HasTimestamps: true, TimestampValue: 1}
	binary.BigEndian.PutUint32(sg.Source[:], 10<<24|90<<16+uint32(no/60000))
	sv := no % ft.Services
	sg.Destination = [4]byte{10, 80, byte(sv / 250), byte(sv%250 + 1)}
	return sg
}

// openFlow opens a flow with a handshake and returns the server that it was placed
// on.
func (fd *flowDriver) openFlow(sg jppacket.Segment) (netip.Addr, error) {
	sg.Flags = jppacket.SYN
	fd.out = fd.st.HandlePacket(epoch, jpsteering.Packet{Inner: jppacket.AppendSegment(nil, sg)}, fd.out[:0])
	if len(fd.out) != 1 || fd.out[0].Kind != jpsteering.ToServer {
		return netip.Addr{}, fmt.Errorf("flow of %v was not placed: %+v", sg, fd.out)
	}
	server := fd.out[0].Server.Addr()
	reply := jppacket.Segment{
		Source: sg.Destination, SourcePort: sg.DestinationPort, Destination: sg.Source, DestinationPort: sg.SourcePort,
		Flags: jppacket.SYN | jppacket.ACK, Sequence: 100, Acknowledgement: 1, HasTimestamps: true, TimestampValue: 1,
	}
	fd.out = fd.st.HandlePacket(epoch, jpsteering.Packet{Inner: jppacket.AppendSegment(nil, reply), Outer: server}, fd.out[:0])
	fd.out = fd.st.HandlePacket(epoch, jpsteering.Packet{Inner: ackPacket(sg)}, fd.out[:0])
	return server, nil
}

// ackPacket returns an ACK of the caller on an open flow.
func ackPacket(sg jppacket.Segment) []byte {
	sg.Flags, sg.Sequence, sg.Acknowledgement = jppacket.ACK, 1, 101
	return jppacket.AppendSegment(nil, sg)
}

func measureFlows() ([]Measurement, error) {
	var out []Measurement
	ft := Fleet{Instances: 1, Services: 100, Servers: 300, DataCentres: 6}
	tree, err := ft.tree(2)
	if err != nil {
		return nil, err
	}
	for _, flows := range []int{8000, 100_000, 500_000} {
		list, err := ft.flowCosts(&flowDriver{st: ft.steerer(ft.InstanceList()[0].ID, tree)}, flows)
		if err != nil {
			return nil, err
		}
		out = append(out, list...)
	}
	return out, nil
}

func (ft Fleet) flowCosts(fd *flowDriver, flows int) ([]Measurement, error) {
	size := fmt.Sprintf("%d flows", flows)
	before, start := heapInUse(), cpuTime()
	for no := range flows {
		if _, err := fd.openFlow(ft.flowSegment(no)); err != nil {
			return nil, err
		}
	}
	opened := cpuTime() - start
	used := heapInUse() - before
	if got := fd.st.Flows(); got != flows {
		return nil, fmt.Errorf("the flow table has %d entries for %d flows", got, flows)
	}
	out := []Measurement{
		{"memory of a flow", size, used / float64(flows), "bytes"},
		{"open a flow (3 packets)", size, float64(opened) / float64(flows) / 1e3, "µs"},
	}
	packets := make([][]byte, 1024)
	for ix := range packets {
		packets[ix] = ackPacket(ft.flowSegment(ix * flows / len(packets)))
	}
	co := measureCost(func() {
		for _, pkt := range packets {
			fd.out = fd.st.HandlePacket(epoch, jpsteering.Packet{Inner: pkt}, fd.out[:0])
		}
	})
	out = append(out, Measurement{"packet of a known flow", size, float64(co.cpu) / float64(len(packets)), "ns"})
	out = append(out, measureCost(func() { fd.st.Tick(epoch.Add(time.Second), fd.out[:0]) }).measurements("tick", size)...)
	runtime.KeepAlive(fd)
	return out, nil
}
