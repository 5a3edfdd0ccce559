package jpslope

import (
	"fmt"
	"runtime"

	"jacinthpass/core/jprollout"
)

const (
	instanceFlows   = 200_000
	settingsChanges = 20
)

// measureInstance measures the memory of one instance of the design size that has
// many more flows than its share of the fleet's, before and after changes of the
// settings. It must run in a process of its own, because it reads the memory of the
// whole process.
func measureInstance() ([]Measurement, error) {
	ft := DesignFleet
	var ro jprollout.Rollout
	ro.Offer(epoch, jprollout.Record{Version: 1, Text: ft.Settings()}, jprollout.FromStore)
	single := ft
	single.Instances = 1 // owns all servers, so all flows are its own
	fd := &flowDriver{st: single.steerer(single.InstanceList()[0].ID, ro.Tree())}
	for no := range instanceFlows {
		if _, err := fd.openFlow(ft.flowSegment(no)); err != nil {
			return nil, err
		}
	}
	size := fmt.Sprintf("%v, %d flows", ft, instanceFlows)
	out := []Measurement{
		{"heap in use", size, heapInUse() / 1e6, "MB"},
		{"resident memory", size, residentMB("VmRSS"), "MB"},
	}
	for no := range settingsChanges {
		ro.Offer(epoch, jprollout.Record{Version: uint64(no + 2), Text: ft.Settings()}, jprollout.FromPeer)
		fd.st.ApplySettings(epoch, ro.Tree(), nil)
		fd.st.ApplyView(epoch, single.View(single.InstanceList()[0].ID), nil)
	}
	out = append(out,
		Measurement{"heap in use after changes", size, heapInUse() / 1e6, "MB"},
		Measurement{"resident memory after changes", size, residentMB("VmRSS"), "MB"},
		Measurement{"resident memory, most", size, residentMB("VmHWM"), "MB"})
	runtime.KeepAlive(fd)
	return out, nil
}
