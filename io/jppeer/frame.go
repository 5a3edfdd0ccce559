package jppeer

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/samber/oops"

	"jacinthpass/core/jpsteering"
)

// maxFrameBytes bounds one message: 1 MB of settings that do not compress, and
// 64 KB for the other fields.
const maxFrameBytes = 1<<20 + 64<<10

// messageType is the first element of a frame.
type messageType uint8

// Types of messages on the wire. Their numbers must not change.
const (
	typeHeartbeat messageType = 1 + iota
	typeMoved
	typeSettingsRequest
	typeSettings
	typeEventsRequest
	typeEvents
	typeDirectoryStatus
	typeDirectoryRequest
	typeDirectoryUpdate
	typeCount
)

// typeNames are the keys of Stats.Written and Stats.Read.
var typeNames = [typeCount]string{
	typeHeartbeat:       "heartbeat",
	typeMoved:           "moved",
	typeSettingsRequest: "settings_request",
	typeSettings:        "settings",
	typeEventsRequest:   "events_request",
	typeEvents:          "events",

	typeDirectoryStatus:  "directory_status",
	typeDirectoryRequest: "directory_request",
	typeDirectoryUpdate:  "directory_update",
}

// envelope is the structure of a frame: a CBOR array of the type and the body.
type envelope struct {
	_    struct{} `cbor:",toarray"`
	Type messageType
	Body cbor.RawMessage
}

// decMode rejects what the encoder never writes, so that a frame cannot make the
// decoder allocate much more than its own size.
var decMode = mustDecMode(cbor.DecOptions{
	MaxArrayElements: 1 << 16,
	MaxMapPairs:      16,
	MaxNestedLevels:  12, // a target in a route of a manifest is at level 9
	IndefLength:      cbor.IndefLengthForbidden,
	TagsMd:           cbor.TagsForbidden,
})

func mustDecMode(opts cbor.DecOptions) cbor.DecMode {
	mode, err := opts.DecMode()
	if err != nil {
		panic("peer: invalid CBOR options: " + err.Error())
	}
	return mode
}

// encode returns the frame of a message. It returns an error if msg is not of a
// message type, holds values that have no wire form or is too large.
func encode(msg any) (messageType, []byte, error) {
	kind, body, err := messageToWire(msg)
	if err != nil {
		return 0, nil, err
	}
	raw, err := cbor.Marshal(body)
	if err != nil {
		return 0, nil, oops.Wrapf(err, "peer: encode %s", typeNames[kind])
	}
	frame, err := cbor.Marshal(envelope{Type: kind, Body: raw})
	if err != nil {
		return 0, nil, oops.Wrapf(err, "peer: encode %s", typeNames[kind])
	}
	if len(frame) > maxFrameBytes {
		return 0, nil, oops.Wrapf(ErrTooLarge, "%s of %d bytes", typeNames[kind], len(frame))
	}
	return kind, frame, nil
}

func messageToWire(msg any) (messageType, any, error) {
	switch msg := msg.(type) {
	case Heartbeat:
		body, err := heartbeatToWire(msg)
		return typeHeartbeat, body, err
	case jpsteering.Moved:
		body, err := movedToWire(msg)
		return typeMoved, body, err
	case SettingsRequest:
		return typeSettingsRequest, wireSettingsRequest{Version: msg.Version}, nil
	case Settings:
		body, err := settingsToWire(msg)
		return typeSettings, body, err
	case EventsRequest:
		return typeEventsRequest, eventsRequestToWire(msg), nil
	case Events:
		return typeEvents, eventsToWire(msg), nil
	case DirectoryStatus:
		return typeDirectoryStatus, directoryStatusToWire(msg), nil
	case DirectoryRequest:
		return typeDirectoryRequest, wireDirectoryRequest{Progress: progressToWire(msg.Progress), UnknownTags: msg.UnknownTags}, nil
	case DirectoryUpdate:
		return typeDirectoryUpdate, directoryUpdateToWire(msg), nil
	}
	return 0, nil, oops.Errorf("peer: %T is not a message type", msg)
}

// decode decodes a frame. It is strict: types, array lengths and encodings of
// values that encode never writes are errors.
func decode(frame []byte) (messageType, any, error) {
	if len(frame) > maxFrameBytes {
		return 0, nil, oops.Wrapf(ErrTooLarge, "frame of %d bytes", len(frame))
	}
	var env envelope
	if err := decMode.Unmarshal(frame, &env); err != nil {
		return 0, nil, oops.Wrapf(err, "peer: decode envelope")
	}
	// The body has to be an array (CBOR major type 4): null would decode into
	// any struct as its zero value.
	if len(env.Body) == 0 || env.Body[0]>>5 != 4 {
		return 0, nil, oops.Errorf("peer: body of type %d is not an array", env.Type)
	}
	msg, err := decodeBody(env)
	if err != nil {
		return 0, nil, oops.Wrapf(err, "peer: decode type %d", env.Type)
	}
	return env.Type, msg, nil
}

func decodeBody(env envelope) (any, error) {
	switch env.Type {
	case typeHeartbeat:
		return fromWire(env.Body, heartbeatFromWire)
	case typeMoved:
		return fromWire(env.Body, movedFromWire)
	case typeSettingsRequest:
		return fromWire(env.Body, func(ws wireSettingsRequest) (SettingsRequest, error) {
			return SettingsRequest{Version: ws.Version}, nil
		})
	case typeSettings:
		return decodeSettings(env.Body)
	case typeEventsRequest:
		return fromWire(env.Body, eventsRequestFromWire)
	case typeEvents:
		return fromWire(env.Body, eventsFromWire)
	case typeDirectoryStatus:
		return fromWire(env.Body, directoryStatusFromWire)
	case typeDirectoryRequest:
		return fromWire(env.Body, func(wr wireDirectoryRequest) (DirectoryRequest, error) {
			return DirectoryRequest{Progress: progressFromWire(wr.Progress), UnknownTags: wr.UnknownTags}, nil
		})
	case typeDirectoryUpdate:
		return fromWire(env.Body, directoryUpdateFromWire)
	}
	return nil, oops.Errorf("unknown message type")
}

// fromWire decodes a body and converts it to its message.
func fromWire[W, M any](body []byte, convert func(W) (M, error)) (any, error) {
	var wire W
	if err := decMode.Unmarshal(body, &wire); err != nil {
		return nil, err
	}
	msg, err := convert(wire)
	if err != nil {
		return nil, err
	}
	return msg, nil
}
