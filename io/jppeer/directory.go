package jppeer

import (
	"math"
	"net/netip"
	"time"

	"github.com/samber/oops"

	"jacinthpass/core/jpdirectory"
	"jacinthpass/core/jpdispatch"
	"jacinthpass/core/jpspeed"
)

// DirectoryStatus reports the progress of the sender's directory and the servers
// that it has found silent, and to instances of its own data centre the loads that
// its flows put on servers. It is sent to each neighbour twice a second, and at once
// after a change of the revision or when a check finds a server silent.
type DirectoryStatus struct {
	Progress      jpdirectory.Progress
	SentAt        time.Duration // since the sender's start, see jpdirectory.Transits
	Age           time.Duration // since the revision was last known to be the store's latest
	StoreUptime   time.Duration // for which the store has answered without interruption
	Loads         []jpdispatch.Load
	SilentServers []string // ids of servers whose latest check failed
}

// DirectoryRequest asks for what a directory with a progress lacks, and for the servers with
// tags that no server in it has.
type DirectoryRequest struct {
	Progress    jpdirectory.Progress
	UnknownTags []uint32
}

// DirectoryUpdate is the response to a DirectoryRequest. SinceRevision is the
// revision of the request. Deadlines in records and the time at which the records
// were current are sent relative to ReferenceTime.
type DirectoryUpdate struct {
	SinceRevision jpdirectory.Revision
	Update        jpdirectory.Update
	Servers       []jpdirectory.Server // with the tags of the request
	SentAt        time.Duration        // since the sender's start, see jpdirectory.Transits
	ReferenceTime time.Time            // time of sending at the sender, of decoding at the receiver
}

type wireRevision struct {
	_      struct{} `cbor:",toarray"`
	Era    uint64
	Number uint64
}

type wireProgress struct {
	_               struct{} `cbor:",toarray"`
	Revision        wireRevision
	ManifestVersion uint64
}

type wireDirectoryStatus struct {
	_             struct{} `cbor:",toarray"`
	Progress      wireProgress
	SentAt        int64 // ns
	Age           int64 // ns
	StoreUptime   int64 // ns
	Loads         []wireServerLoad
	SilentServers []string
}

type wireServerLoad struct {
	_            struct{} `cbor:",toarray"`
	Tag          uint32
	Flows        uint32
	Held         uint32
	Requests     uint32 // hundredths
	Begun        uint32
	Slowness     uint32 // hundredths
	SpeedSamples uint32
}

type wireDirectoryRequest struct {
	_           struct{} `cbor:",toarray"`
	Progress    wireProgress
	UnknownTags []uint32
}

type wireDirectoryUpdate struct {
	_             struct{} `cbor:",toarray"`
	SinceRevision wireRevision
	Revision      wireRevision
	Full          bool
	SentAt        int64 // ns
	Age           int64 // ns
	Records       []wireRecord
	Servers       []wireServer
}

type wireRecord struct {
	_             struct{} `cbor:",toarray"`
	Kind          uint8
	Name          string
	Revision      wireRevision
	DataCentreOut bool
	Manifest      *wireManifest
	Server        *wireServer
	Instance      *wireInstance
}

type wireManifest struct {
	_           struct{} `cbor:",toarray"`
	Version     uint64
	Routes      []wireRoute
	Services    []wireService
	IdleTimeout int64 // ns
}

type wireRoute struct {
	_             struct{} `cbor:",toarray"`
	Name          string
	Address       netip.AddrPort
	Kind          uint8
	Targets       []wireTarget
	Timeout       int64 // ns
	TargetLatency int64 // ns
	Priority      int
}

type wireTarget struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Weight  int
}

type wireService struct {
	_             struct{} `cbor:",toarray"`
	Name          string
	MaxFlows      int
	ColdTime      int64 // ns
	ColdPerSecond float64
}

type wireServer struct {
	_          struct{} `cbor:",toarray"`
	ID         string
	Number     uint64
	Service    string
	Address    netip.AddrPort
	DataCentre string
	Slots      int
	Draining   bool
	ColdLeft   int64 // ns
	Started    int64 // Unix ms, 0 if unknown
}

type wireInstance struct {
	_          struct{} `cbor:",toarray"`
	ID         string
	DataCentre string
	Peer       netip.AddrPort
}

func revisionToWire(rv jpdirectory.Revision) wireRevision {
	return wireRevision{Era: rv.Era, Number: rv.Number}
}

func revisionFromWire(wire wireRevision) jpdirectory.Revision {
	return jpdirectory.Revision{Era: wire.Era, Number: wire.Number}
}

func progressToWire(pg jpdirectory.Progress) wireProgress {
	return wireProgress{Revision: revisionToWire(pg.Revision), ManifestVersion: pg.ManifestVersion}
}

func progressFromWire(wire wireProgress) jpdirectory.Progress {
	return jpdirectory.Progress{Revision: revisionFromWire(wire.Revision), ManifestVersion: wire.ManifestVersion}
}

func directoryStatusToWire(ds DirectoryStatus) wireDirectoryStatus {
	wire := wireDirectoryStatus{
		Progress: progressToWire(ds.Progress), SentAt: int64(ds.SentAt), Age: int64(ds.Age), StoreUptime: int64(ds.StoreUptime),
		Loads: make([]wireServerLoad, 0, len(ds.Loads)), SilentServers: ds.SilentServers,
	}
	for _, ld := range ds.Loads {
		wire.Loads = append(wire.Loads, wireServerLoad{
			Tag: ld.Tag, Flows: uint32(ld.Flows), Held: uint32(ld.Held), Requests: toHundredths(ld.Requests), Begun: uint32(ld.Begun),
			Slowness: toHundredths(ld.Speed.Slowness), SpeedSamples: uint32(ld.Speed.Samples),
		})
	}
	return wire
}

func directoryStatusFromWire(wire wireDirectoryStatus) (DirectoryStatus, error) {
	if wire.Age < 0 || wire.StoreUptime < 0 {
		return DirectoryStatus{}, oops.Errorf("age of %d ns or store uptime of %d ns is negative", wire.Age, wire.StoreUptime)
	}
	ds := DirectoryStatus{
		Progress: progressFromWire(wire.Progress), SentAt: time.Duration(wire.SentAt), Age: time.Duration(wire.Age),
		StoreUptime: time.Duration(wire.StoreUptime), SilentServers: wire.SilentServers,
	}
	for _, wl := range wire.Loads {
		ds.Loads = append(ds.Loads, jpdispatch.Load{
			Tag: wl.Tag, Flows: int(wl.Flows), Held: int(wl.Held), Requests: fromHundredths(wl.Requests), Begun: int(wl.Begun),
			Speed: jpspeed.Summary{Slowness: fromHundredths(wl.Slowness), Samples: int(wl.SpeedSamples)},
		})
	}
	return ds, nil
}

// toHundredths converts a number that is not negative to hundredths, the nearest ones.
func toHundredths(value float64) uint32 {
	return uint32(min(max(100*value+0.5, 0), math.MaxUint32))
}

func fromHundredths(hundredths uint32) float64 { return float64(hundredths) / 100 }

func directoryUpdateToWire(du DirectoryUpdate) wireDirectoryUpdate {
	wire := wireDirectoryUpdate{
		SinceRevision: revisionToWire(du.SinceRevision), Revision: revisionToWire(du.Update.Revision), Full: du.Update.Full, SentAt: int64(du.SentAt),
		Age:     int64(max(du.ReferenceTime.Sub(du.Update.CurrentAt), 0)),
		Records: make([]wireRecord, 0, len(du.Update.Records)),
	}
	for _, rc := range du.Update.Records {
		wire.Records = append(wire.Records, recordToWire(rc, du.ReferenceTime))
	}
	for _, sr := range du.Servers {
		wire.Servers = append(wire.Servers, *serverToWire(&sr, du.ReferenceTime))
	}
	return wire
}

func directoryUpdateFromWire(wire wireDirectoryUpdate) (DirectoryUpdate, error) {
	now := time.Now()
	du := DirectoryUpdate{SinceRevision: revisionFromWire(wire.SinceRevision), SentAt: time.Duration(wire.SentAt), ReferenceTime: now}
	du.Update = jpdirectory.Update{
		Revision: revisionFromWire(wire.Revision), Full: wire.Full, CurrentAt: now.Add(-time.Duration(wire.Age)),
	}
	for _, wr := range wire.Records {
		rc, err := recordFromWire(wr, now)
		if err != nil {
			return du, err
		}
		du.Update.Records = append(du.Update.Records, rc)
	}
	for _, ws := range wire.Servers {
		du.Servers = append(du.Servers, *serverFromWire(&ws, now))
	}
	return du, nil
}

func recordToWire(rc jpdirectory.Record, now time.Time) wireRecord {
	wire := wireRecord{
		Kind: uint8(rc.Key.Kind), Name: rc.Key.Name, Revision: revisionToWire(rc.Revision), DataCentreOut: rc.DataCentreOut,
	}
	if mf := rc.Manifest; mf != nil {
		wire.Manifest = manifestToWire(mf)
	}
	if sr := rc.Server; sr != nil {
		wire.Server = serverToWire(sr, now)
	}
	if in := rc.Instance; in != nil {
		wire.Instance = &wireInstance{ID: in.ID, DataCentre: in.DataCentre, Peer: in.Peer}
	}
	return wire
}

func recordFromWire(wire wireRecord, now time.Time) (jpdirectory.Record, error) {
	kind := jpdirectory.Kind(wire.Kind)
	if kind < jpdirectory.ManifestRecord || kind > jpdirectory.InstanceRecord {
		return jpdirectory.Record{}, oops.Errorf("unknown record kind %d", wire.Kind)
	}
	rc := jpdirectory.Record{
		Key:      jpdirectory.Key{Kind: kind, Name: wire.Name},
		Revision: revisionFromWire(wire.Revision), DataCentreOut: wire.DataCentreOut,
	}
	if wire.Manifest != nil {
		rc.Manifest = manifestFromWire(wire.Manifest)
	}
	if ws := wire.Server; ws != nil {
		rc.Server = serverFromWire(ws, now)
	}
	if wi := wire.Instance; wi != nil {
		rc.Instance = &jpdirectory.Instance{ID: wi.ID, DataCentre: wi.DataCentre, Peer: wi.Peer}
	}
	return rc, nil
}

func serverToWire(sr *jpdirectory.Server, now time.Time) *wireServer {
	wire := &wireServer{
		ID: sr.ID, Number: sr.Number, Service: sr.Service, Address: sr.Address, DataCentre: sr.DataCentre,
		Slots: sr.Slots, Draining: sr.Draining, ColdLeft: int64(max(sr.WarmAt.Sub(now), 0)),
	}
	if !sr.Started.IsZero() {
		wire.Started = sr.Started.UnixMilli()
	}
	return wire
}

func serverFromWire(wire *wireServer, now time.Time) *jpdirectory.Server {
	sr := &jpdirectory.Server{
		ID: wire.ID, Number: wire.Number, Service: wire.Service, Address: wire.Address, DataCentre: wire.DataCentre,
		Slots: wire.Slots, Draining: wire.Draining, WarmAt: now.Add(time.Duration(wire.ColdLeft)),
	}
	if wire.Started != 0 {
		sr.Started = time.UnixMilli(wire.Started)
	}
	return sr
}

func manifestToWire(mf *jpdirectory.Manifest) *wireManifest {
	wire := &wireManifest{
		Version: mf.Version, IdleTimeout: int64(mf.IdleTimeout),
		Routes: make([]wireRoute, 0, len(mf.Routes)), Services: make([]wireService, 0, len(mf.Services)),
	}
	for _, rt := range mf.Routes {
		wr := wireRoute{
			Name: rt.Name, Address: rt.Address, Kind: uint8(rt.Kind),
			Timeout: int64(rt.Timeout), TargetLatency: int64(rt.TargetLatency), Priority: rt.Priority,
		}
		for _, tg := range rt.Targets {
			wr.Targets = append(wr.Targets, wireTarget{Service: tg.Service, Weight: tg.Weight})
		}
		wire.Routes = append(wire.Routes, wr)
	}
	for _, sc := range mf.Services {
		wire.Services = append(wire.Services, wireService{
			Name: sc.Name, MaxFlows: sc.MaxFlows, ColdTime: int64(sc.ColdTime), ColdPerSecond: sc.ColdPerSecond,
		})
	}
	return wire
}

func manifestFromWire(wire *wireManifest) *jpdirectory.Manifest {
	mf := &jpdirectory.Manifest{Version: wire.Version, IdleTimeout: time.Duration(wire.IdleTimeout)}
	for _, wr := range wire.Routes {
		rt := jpdirectory.Route{
			Name: wr.Name, Address: wr.Address, Kind: jpdirectory.RouteKind(wr.Kind),
			Timeout: time.Duration(wr.Timeout), TargetLatency: time.Duration(wr.TargetLatency), Priority: wr.Priority,
		}
		for _, tg := range wr.Targets {
			rt.Targets = append(rt.Targets, jpdirectory.Target{Service: tg.Service, Weight: tg.Weight})
		}
		mf.Routes = append(mf.Routes, rt)
	}
	for _, ws := range wire.Services {
		mf.Services = append(mf.Services, jpdirectory.Service{
			Name: ws.Name, MaxFlows: ws.MaxFlows, ColdTime: time.Duration(ws.ColdTime), ColdPerSecond: ws.ColdPerSecond,
		})
	}
	return mf
}
