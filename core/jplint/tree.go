package jplint

import (
	"fmt"

	"jacinthpass/core/jpsettings"
)

// ReviewTree reviews settings. inForce are those that they would replace, or nil.
func ReviewTree(tree, inForce *jpsettings.Tree) Report {
	rv := &treeReview{Tree: tree}
	for _, sv := range tree.Services {
		rv.reviewService(sv)
	}
	rv.reviewDataCentres()
	var rp Report
	if inForce != nil {
		rv.reviewReplacement(inForce)
		rp.Changes = changes(treeValues(inForce), treeValues(tree))
	}
	rp.Findings = sorted(rv.findings)
	return rp
}

// TreeErrors returns the problems for which settings were not accepted, as findings.
func TreeErrors(err error) []Finding {
	var list []Finding
	for _, se := range jpsettings.Problems(err) {
		at := *se
		at.Problem = ""
		list = append(list, Finding{Error, trimPlace(at.Error()), se.Problem})
	}
	if len(list) == 0 && err != nil {
		list = append(list, Finding{Error, "", err.Error()})
	}
	return list
}

// trimPlace removes the separators at the end of a location.
func trimPlace(place string) string {
	for len(place) > 0 && (place[len(place)-1] == ' ' || place[len(place)-1] == ':') {
		place = place[:len(place)-1]
	}
	return place
}

type treeReview struct {
	*jpsettings.Tree
	findings []Finding
}

func (rv *treeReview) add(level Level, place, format string, args ...any) {
	rv.findings = append(rv.findings, Finding{level, place, fmt.Sprintf(format, args...)})
}

func serverPlace(sv jpsettings.Service, sr jpsettings.Server) string {
	return fmt.Sprintf("server %q of service %q", sr.Name, sv.Name)
}

func (rv *treeReview) reviewService(sv jpsettings.Service) {
	inForce := 0
	for _, sr := range sv.Servers {
		if !sr.Out && !sr.Draining {
			inForce++
		}
		rv.reviewLimits(serverPlace(sv, sr), sr.Limits)
	}
	switch {
	case len(sv.Servers) == 0:
		rv.add(Warning, servicePlace(sv.Name), "it has no server, so none of its flows is served")
	case inForce == 0:
		rv.add(Warning, servicePlace(sv.Name), "all its servers drain or are in data centres that are out, so no new flow is served")
	}
}

func (rv *treeReview) reviewLimits(place string, lm jpsettings.Limits) {
	if lm.Connections < lm.Slots {
		rv.add(Warning, place, "%d connections can't fill %d slots", lm.Connections, lm.Slots)
	}
	if lm.ColdConnections < lm.ColdSlots {
		rv.add(Warning, place, "%d cold connections can't fill %d cold slots", lm.ColdConnections, lm.ColdSlots)
	}
}

func (rv *treeReview) reviewDataCentres() {
	used := map[string]bool{}
	for _, sv := range rv.Services {
		for _, sr := range sv.Servers {
			used[sr.DataCentre] = true
		}
	}
	out := 0
	for _, dc := range rv.DataCentres {
		if dc.Out {
			out++
		}
		if !used[dc.Name] {
			rv.add(Warning, fmt.Sprintf("data centre %q", dc.Name), "it has no server")
		}
	}
	if out > 0 && out == len(rv.DataCentres) {
		rv.add(Error, "data centres", "all are out")
	}
}

// reviewReplacement reports services that end.
func (rv *treeReview) reviewReplacement(inForce *jpsettings.Tree) {
	kept := map[string]bool{}
	for _, sv := range rv.Services {
		kept[sv.Name] = true
	}
	for _, sv := range inForce.Services {
		if !kept[sv.Name] {
			rv.add(Warning, servicePlace(sv.Name), "it is in force and missing here: its new flows are not served")
		}
	}
}

// treeValues returns the values of settings, inherited ones included.
func treeValues(tree *jpsettings.Tree) []Value {
	var list []Value
	for _, dc := range tree.DataCentres {
		list = append(list, Value{fmt.Sprintf("data centre %q", dc.Name), "out", fmt.Sprint(dc.Out)})
	}
	for _, sv := range tree.Services {
		place := servicePlace(sv.Name)
		list = append(list,
			Value{place, "address", sv.Address.String()},
			Value{place, "protocol", map[jpsettings.Protocol]string{jpsettings.TCP: "tcp", jpsettings.UDP: "udp"}[sv.Protocol]},
			Value{place, "kind", map[jpsettings.Kind]string{jpsettings.Stream: "stream", jpsettings.Request: "request"}[sv.Kind]},
			Value{place, "repeatable", fmt.Sprint(sv.Repeatable)},
		)
		for _, sr := range sv.Servers {
			place, lm := serverPlace(sv, sr), sr.Limits
			list = append(list,
				Value{place, "data_centre", sr.DataCentre},
				Value{place, "address", sr.Address.String()},
				Value{place, "load", sr.LoadURL},
				Value{place, "draining", fmt.Sprint(sr.Draining)},
				Value{place, "slots", fmt.Sprint(lm.Slots)},
				Value{place, "connections", fmt.Sprint(lm.Connections)},
				Value{place, "cold_slots", fmt.Sprint(lm.ColdSlots)},
				Value{place, "cold_connections", fmt.Sprint(lm.ColdConnections)},
				Value{place, "cold_duration", lm.ColdDuration.String()},
				Value{place, "idle_probe", lm.IdleProbe.String()},
				Value{place, "retry_percent", fmt.Sprint(lm.RetryPercent)},
			)
		}
	}
	return list
}
