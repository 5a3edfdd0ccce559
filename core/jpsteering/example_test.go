package jpsteering_test

import (
	"fmt"
	"net/netip"
	"time"

	"jacinthpass/core/jpmember"
	"jacinthpass/core/jppacket"
	"jacinthpass/core/jpsettings"
	"jacinthpass/core/jpsteering"
)

const exampleSettings = `
[service.order_desk]
address = 10.80.0.1
port = 443
kind = stream
[region.tasmania.hobart]
[region.tasmania.hobart.order_desk.od-1]
address = 127.2.1.1:5555
load = http://127.2.1.1:8080/load
`

// A Steerer does no I/O: the program passes in settings, a membership view, load
// reports of servers, and packets with the time at which they arrived.
func Example() {
	now := time.Unix(0, 0)
	tree, err := jpsettings.Parse("example.ini", []byte(exampleSettings))
	if err != nil {
		fmt.Println(err)
		return
	}
	tree.Version = 1
	st := jpsteering.New("hob-1", now)
	st.ApplySettings(now, tree, nil)
	st.ApplyView(now, jpmember.View{Self: "hob-1", Members: []jpmember.Member{
		{ID: "hob-1", DataCentre: "hobart", State: jpmember.Alive, Listed: true},
	}}, nil)
	server := netip.MustParseAddr("127.2.1.1")
	st.HandleReport(now, jpsteering.Report{Service: "order_desk", Server: server, State: jpsteering.ReportWarm})

	// An owner limits new flows in the first seconds after a takeover.
	now = now.Add(3 * time.Second)
	syn := jppacket.AppendSegment(nil, jppacket.Segment{
		Source: [4]byte{10, 90, 0, 1}, SourcePort: 40000,
		Destination: [4]byte{10, 80, 0, 1}, DestinationPort: 443,
		Flags: jppacket.SYN, Sequence: 1,
	})
	packet := jpsteering.Packet{Inner: syn, Outer: netip.MustParseAddr("127.4.0.1")}
	for _, oc := range st.HandlePacket(now, packet, nil) {
		if oc.Kind == jpsteering.ToServer {
			fmt.Println("to server", oc.Server)
		}
	}
	fmt.Println("flows:", st.Flows())
	// Output:
	// to server 127.2.1.1:5555
	// flows: 1
}
