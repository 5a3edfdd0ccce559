package jpstore

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"

	"k8s.io/klog/v2"

	"jacinthpass/core/jpmember"
)

// catalogRow is one row of a response of the catalogue endpoint.
type catalogRow struct {
	ServiceID   string
	ServiceMeta map[string]string
}

// Keys and values of ServiceMeta.
const (
	metaDataCentre = "data_centre"
	metaState      = "state"
	metaTraffic    = "traffic"
	metaRelay      = "relay"
	metaPeer       = "peer"
	metaOperator   = "operator"
	stateLeaving   = "leaving"
)

// ListInstances returns the platform's instance list, which lags behind the
// actual state. An address that cannot be parsed is left invalid, so that one
// malformed row hides neither its instance nor the rest of the list.
func (cl *Client) ListInstances(ctx context.Context) ([]jpmember.Listed, error) {
	list, _, err := cl.WatchInstances(ctx, 0)
	return list, err
}

// WatchInstances waits until the list differs from the one at index, for at most
// about two minutes, and returns the list and the index for the next call. With
// index 0 it returns immediately. The returned index is 0 if the next call has to
// start over: after an error, if the store's index went back, or if the response
// has no index.
func (cl *Client) WatchInstances(ctx context.Context, index uint64) ([]jpmember.Listed, uint64, error) {
	ca := blockingQuery("list instances", index, instancesWait)
	ca.path = "/v1/catalog/service/" + ServiceName
	rs, err := cl.do(ctx, ca)
	if err != nil {
		return nil, 0, err
	}
	var rows []catalogRow
	if err := json.Unmarshal(rs.body, &rows); err != nil || rs.status != http.StatusOK {
		return nil, 0, newUnreachableError(ca.operation, fmt.Errorf("unexpected response with status %d: %v", rs.status, err))
	}
	return parseInstances(rows), nextIndex(index, rs.index()), nil
}

func parseInstances(rows []catalogRow) []jpmember.Listed {
	list := make([]jpmember.Listed, 0, len(rows))
	for _, row := range rows {
		if row.ServiceID == "" {
			klog.Warning("store: ignoring a row of the instance list without an id")
			continue
		}
		list = append(list, row.instance())
	}
	return list
}

func (row catalogRow) instance() jpmember.Listed {
	return jpmember.Listed{
		ID:         row.ServiceID,
		DataCentre: row.ServiceMeta[metaDataCentre],
		Leaving:    row.ServiceMeta[metaState] == stateLeaving,
		Addresses: jpmember.Addresses{
			Traffic:  row.address(metaTraffic),
			Relay:    row.address(metaRelay),
			Peer:     row.address(metaPeer),
			Operator: row.address(metaOperator),
		},
	}
}

func (row catalogRow) address(key string) netip.AddrPort {
	addr, err := netip.ParseAddrPort(row.ServiceMeta[key])
	if err != nil {
		klog.Warningf("store: instance list: cannot parse address %s of %s: %v", key, row.ServiceID, err)
	}
	return addr
}
