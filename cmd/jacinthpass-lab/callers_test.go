package main

import (
	"testing"

	"jacinthpass/lab/jpcaller"
)

// Guards against accepting malformed flags, and against a wrong list of callers'
// addresses.
func TestCallersOptions(t *testing.T) {
	valid := callersOptions{
		listen: "127.3.0.1:0", fabric: "127.4.0.1:5555", service: "10.80.0.1:443", firstAddress: "10.90.0.255", addressCount: 2,
	}
	tests := []struct {
		name   string
		change func(*callersOptions)
		ok     bool
	}{
		{"valid", func(*callersOptions) {}, true},
		{"service without port", func(opt *callersOptions) { opt.service = "10.80.0.1" }, false},
		{"fabric missing", func(opt *callersOptions) { opt.fabric = "" }, false},
		{"first address malformed", func(opt *callersOptions) { opt.firstAddress = "10.90.0" }, false},
		{"no addresses", func(opt *callersOptions) { opt.addressCount = 0 }, false},
	}
	for _, tt := range tests {
		opt := valid
		tt.change(&opt)
		var conf jpcaller.Config
		err := opt.parse(&conf)
		if (err == nil) != tt.ok {
			t.Errorf("%s: %v", tt.name, err)
		}
		if tt.ok && conf.Addresses[1].String() != "10.90.1.0" {
			t.Errorf("%s: addresses %v", tt.name, conf.Addresses)
		}
	}
}
