package jpsteering

import (
	"time"

	"jacinthpass/core/jpadmission"
	"jacinthpass/core/jpsettings"
)

// ServerStatus is the state of a backend server as known to its owner.
type ServerStatus struct {
	Service    string
	Kind       jpsettings.Kind
	Server     jpsettings.Server
	Flows      int
	Requests   int
	Allowance  int // flows, or requests of a request service, allowed at the present stage
	Stage      jpadmission.Stage
	Responsive bool
	Confirmed  bool
	Complete   bool // every flow of the server has an entry here
}

// Status returns the state of the servers that this instance owns.
func (st *Steerer) Status(now time.Time) []ServerStatus {
	var list []ServerStatus
	for _, sr := range st.servers {
		if !sr.owned {
			continue
		}
		list = append(list, ServerStatus{
			Service: sr.service.cfg.Name, Kind: sr.service.cfg.Kind, Server: sr.cfg,
			Flows: sr.admission.Flows, Requests: sr.admission.Requests,
			Allowance: sr.admission.Allowance(), Stage: sr.admission.Stage(),
			Responsive: sr.admission.Responsive(), Confirmed: st.ownerConfirmed(now, sr),
			Complete: st.knowsAllFlows(now, sr),
		})
	}
	return list
}
