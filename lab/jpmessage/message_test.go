package jpmessage_test

import (
	"bytes"
	"fmt"
	"reflect"
	"testing"

	"jacinthpass/lab/jpmessage"
)

func Example() {
	var wire bytes.Buffer
	sent := jpmessage.Encode(jpmessage.Request{Kind: jpmessage.Work, ID: 7, Caller: "10.90.0.1:20000", Size: 100})
	jpmessage.Write(&wire, sent)
	var req jpmessage.Request
	enc, err := jpmessage.Read(&wire, &req)
	fmt.Println(req.ID, jpmessage.Digest(enc) == jpmessage.Digest(sent), err)
	fmt.Println(len(jpmessage.Content(req.ID, req.Size)))
	// Output:
	// 7 true <nil>
	// 100
}

// Guards against requests with different ids that have equal contents, which would
// hide answers to the wrong request, and against contents that are not determined
// by id and size.
func TestContent(t *testing.T) {
	tests := []struct {
		one, other uint64
		size       int
		same       bool
	}{
		{1, 1, 1001, true},
		{1, 2, 1001, false},
		{1, 1 << 40, 16, false},
		{5, 6, 0, true},
	}
	for _, tt := range tests {
		one, other := jpmessage.Content(tt.one, tt.size), jpmessage.Content(tt.other, tt.size)
		if len(one) != tt.size || bytes.Equal(one, other) != tt.same {
			t.Errorf("%+v: %d bytes, equal %t", tt, len(one), bytes.Equal(one, other))
		}
	}
}

// Guards against a decoder that panics on malformed input, and against messages
// that change when they are encoded and decoded again.
func FuzzRead(f *testing.F) {
	var wire bytes.Buffer
	jpmessage.Write(&wire, jpmessage.Encode(jpmessage.Reply{Kind: jpmessage.Alert, ID: 1, Server: "od-1", Sequence: 3}))
	f.Add(wire.Bytes())
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0, 0, 0, 1})
	f.Fuzz(func(t *testing.T, data []byte) {
		var rep, decoded jpmessage.Reply
		if _, err := jpmessage.Read(bytes.NewReader(data), &rep); err != nil {
			return
		}
		if len(rep.Content) == 0 {
			rep.Content = nil // the encoding omits empty content
		}
		var buf bytes.Buffer
		jpmessage.Write(&buf, jpmessage.Encode(rep))
		if _, err := jpmessage.Read(&buf, &decoded); err != nil || !reflect.DeepEqual(rep, decoded) {
			t.Errorf("%+v, then %+v, %v", rep, decoded, err)
		}
	})
}
