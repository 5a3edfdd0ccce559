package jppeer

import (
	"bytes"
	"compress/gzip"
	"io"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/samber/oops"

	"jacinthpass/core/jprollout"
	"jacinthpass/core/jpsettings"
)

// maxSettingsBytes bounds the settings after decompression. The store holds values
// of up to 1 MB.
const maxSettingsBytes = 1 << 20

type wireSettingsRequest struct {
	_       struct{} `cbor:",toarray"`
	Version uint64
}

// wireSettings is a Settings on the wire.
type wireSettings struct {
	_        struct{} `cbor:",toarray"`
	Version  uint64
	ChangeID string
	Changes  []string
	Author   string
	Text     []byte // gzip
	Former   []byte // gzip of an array of wireFormerServer, nil if the record has no list
}

// wireSettingsWithoutFormer is the form of wireSettings that is sent by instances
// whose version does not have the list of former servers.
type wireSettingsWithoutFormer struct {
	_        struct{} `cbor:",toarray"`
	Version  uint64
	ChangeID string
	Changes  []string
	Author   string
	Text     []byte
}

// wireFormerServer is a jpsettings.FormerServer on the wire.
type wireFormerServer struct {
	_              struct{} `cbor:",toarray"`
	Service        string
	Server         string
	DataCentre     string
	ServerAddress  netip.AddrPort
	IdleProbe      int64 // ns
	ServiceAddress netip.AddrPort
	Protocol       uint8
	ServerCount    int
	Until          int64 // Unix time
}

func settingsToWire(st Settings) (wireSettings, error) {
	rec := st.Record
	if len(rec.Text) > maxSettingsBytes {
		return wireSettings{}, oops.Wrapf(ErrTooLarge, "settings of %d bytes", len(rec.Text))
	}
	text, err := compress(rec.Text)
	if err != nil {
		return wireSettings{}, err
	}
	former, err := formerServersToWire(rec.Former)
	if err != nil {
		return wireSettings{}, err
	}
	return wireSettings{
		Version:  rec.Version,
		ChangeID: rec.ChangeID,
		Changes:  rec.Changes,
		Author:   rec.Author,
		Text:     text,
		Former:   former,
	}, nil
}

func settingsFromWire(wire wireSettings) (Settings, error) {
	text, err := decompress(wire.Text)
	if err != nil {
		return Settings{}, err
	}
	if len(wire.Changes) > jprollout.MaxChanges {
		return Settings{}, oops.Wrapf(ErrTooLarge, "settings")
	}
	former, err := formerServersFromWire(wire.Former)
	if err != nil {
		return Settings{}, err
	}
	return Settings{Record: jprollout.Record{
		Version:  wire.Version,
		ChangeID: wire.ChangeID,
		Changes:  wire.Changes,
		Author:   wire.Author,
		Text:     text,
		Former:   former,
	}}, nil
}

// decodeSettings decodes the body of a Settings message, also in the form without
// the list of former servers.
func decodeSettings(body []byte) (any, error) {
	const arrayOfFive = 0x85
	if body[0] != arrayOfFive {
		return fromWire(body, settingsFromWire)
	}
	return fromWire(body, func(old wireSettingsWithoutFormer) (Settings, error) {
		return settingsFromWire(wireSettings{
			Version: old.Version, ChangeID: old.ChangeID, Changes: old.Changes, Author: old.Author, Text: old.Text,
		})
	})
}

func formerServersToWire(list []jpsettings.FormerServer) ([]byte, error) {
	if list == nil {
		return nil, nil
	}
	wire := make([]wireFormerServer, 0, len(list))
	for _, fm := range list {
		wire = append(wire, wireFormerServer{
			Service: fm.Service, Server: fm.Server, DataCentre: fm.DataCentre,
			ServerAddress: fm.ServerAddress, IdleProbe: int64(fm.IdleProbe),
			ServiceAddress: fm.ServiceAddress, Protocol: uint8(fm.Protocol), ServerCount: fm.ServerCount,
			Until: fm.Until.Unix(),
		})
	}
	raw, err := cbor.Marshal(wire)
	if err != nil {
		return nil, oops.Wrapf(err, "peer: encode former servers")
	}
	return compress(raw)
}

func formerServersFromWire(compressed []byte) ([]jpsettings.FormerServer, error) {
	if len(compressed) == 0 {
		return nil, nil
	}
	raw, err := decompress(compressed)
	if err != nil {
		return nil, err
	}
	var wire []wireFormerServer
	if err := decMode.Unmarshal(raw, &wire); err != nil {
		return nil, err
	}
	if len(wire) > jprollout.MaxFormer {
		return nil, oops.Wrapf(ErrTooLarge, "%d former servers", len(wire))
	}
	list := make([]jpsettings.FormerServer, 0, len(wire))
	for _, wf := range wire {
		list = append(list, jpsettings.FormerServer{
			Service: wf.Service, Server: wf.Server, DataCentre: wf.DataCentre,
			ServerAddress: wf.ServerAddress, IdleProbe: time.Duration(wf.IdleProbe),
			ServiceAddress: wf.ServiceAddress, Protocol: jpsettings.Protocol(wf.Protocol), ServerCount: wf.ServerCount,
			Until: time.Unix(wf.Until, 0),
		})
	}
	return list, nil
}

func compress(data []byte) ([]byte, error) {
	var buf bytes.Buffer
	zw := gzip.NewWriter(&buf)
	if _, err := zw.Write(data); err != nil {
		return nil, oops.Wrapf(err, "peer: compress settings")
	}
	if err := zw.Close(); err != nil {
		return nil, oops.Wrapf(err, "peer: compress settings")
	}
	return buf.Bytes(), nil
}

func decompress(compressed []byte) ([]byte, error) {
	zr, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, err
	}
	data, err := io.ReadAll(io.LimitReader(zr, maxSettingsBytes+1))
	if err != nil {
		return nil, err
	}
	if len(data) > maxSettingsBytes {
		return nil, oops.Wrapf(ErrTooLarge, "settings")
	}
	return data, nil
}
