// Package jpmessage implements the application protocol between simulated callers
// and backend servers: CBOR messages with a length prefix.
package jpmessage

import (
	"encoding/binary"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/samber/oops"
)

// MaxMessageBytes is the maximum size of an encoded message.
const MaxMessageBytes = 4 << 20

// lengthPrefixBytes is the size of the length prefix, a big-endian integer.
const lengthPrefixBytes = 4

// RequestKind is the kind of a request.
type RequestKind uint8

// Kinds of requests.
const (
	Work      RequestKind = iota + 1 // executed in a slot, then answered
	Ask                              // like Work, but on a standing connection and without a slot
	Subscribe                        // makes the connection a standing one, which receives alerts
)

// Request goes from a caller to a server.
type Request struct {
	Kind           RequestKind `cbor:"1,keyasint"`
	ID             uint64      `cbor:"2,keyasint"`
	Caller         string      `cbor:"3,keyasint"`
	Size           int         `cbor:"4,keyasint,omitempty"` // of the content of the answer, in bytes
	WorkMicros     int64       `cbor:"5,keyasint,omitempty"` // execution time
	AlertMicros    int64       `cbor:"6,keyasint,omitempty"` // Subscribe: interval of alerts, 0 for none
	DeadlineMicros int64       `cbor:"7,keyasint,omitempty"` // maximum time from arrival to start of execution, 0 for no limit
}

// ReplyKind is the kind of a reply.
type ReplyKind uint8

// Kinds of replies.
const (
	Answer   ReplyKind = iota + 1 // to Work, Ask and Subscribe
	Alert                         // sent without a request
	Overtime                      // not executed: the deadline passed first
)

// Reply goes from a server to a caller.
type Reply struct {
	Kind     ReplyKind `cbor:"1,keyasint"`
	ID       uint64    `cbor:"2,keyasint"` // of the request
	Server   string    `cbor:"3,keyasint"`
	Digest   uint64    `cbor:"4,keyasint,omitempty"` // Digest of the encoded request
	Sequence uint64    `cbor:"5,keyasint,omitempty"` // Alert: counts from 1
	Content  []byte    `cbor:"6,keyasint,omitempty"`
}

// Digest returns the hash of an encoded request, by which a caller verifies that a
// reply belongs to its request.
func Digest(encoded []byte) uint64 {
	return xxhash.Sum64(encoded)
}

// Content returns size bytes of pseudo-random content that id determines, so that
// a receiver can verify them.
func Content(id uint64, size int) []byte {
	res := make([]byte, 0, size+8)
	state := id
	for len(res) < size {
		// SplitMix64 step.
		state += 0x9e3779b97f4a7c15
		mixed := state
		mixed = (mixed ^ mixed>>30) * 0xbf58476d1ce4e5b9
		mixed = (mixed ^ mixed>>27) * 0x94d049bb133111eb
		res = binary.LittleEndian.AppendUint64(res, mixed^mixed>>31)
	}
	return res[:size]
}

// Encode returns the CBOR encoding of a message.
func Encode(msg any) []byte {
	enc, err := cbor.Marshal(msg)
	if err != nil {
		panic(err) // can't happen for Request and Reply
	}
	return enc
}

// Write writes an encoded message with its length prefix in one call of w.Write.
func Write(w io.Writer, encoded []byte) error {
	frame := binary.BigEndian.AppendUint32(make([]byte, 0, lengthPrefixBytes+len(encoded)), uint32(len(encoded)))
	_, err := w.Write(append(frame, encoded...))
	return err
}

// Read reads and decodes one message into msg, and returns its encoding.
func Read(r io.Reader, msg any) ([]byte, error) {
	var prefix [lengthPrefixBytes]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(prefix[:])
	if size > MaxMessageBytes {
		return nil, oops.Errorf("message of %d bytes exceeds the size limit", size)
	}
	enc := make([]byte, size)
	if _, err := io.ReadFull(r, enc); err != nil {
		return nil, err
	}
	if err := cbor.Unmarshal(enc, msg); err != nil {
		return nil, oops.Wrapf(err, "decode message")
	}
	return enc, nil
}
