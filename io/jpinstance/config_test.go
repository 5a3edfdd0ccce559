package jpinstance

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const validConfig = `# hobart
[instance]
id = hob-1
data_centre = hobart
traffic = 10.0.1.1:5555
relay = 10.0.1.1:5556
peer = 10.0.1.1:7401
operator = 10.0.1.1:7400
listen_operator = 0.0.0.0:7400
fabric = 10.0.0.1:5555
[platform]
store = http://10.0.0.2:8500
`

func ExampleLoadConfig() {
	dir, err := os.MkdirTemp("", "config")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	path := filepath.Join(dir, "hob-1.ini")
	if err := os.WriteFile(path, []byte(validConfig), 0o600); err != nil {
		panic(err)
	}
	cfg, err := LoadConfig(path)
	fmt.Println(cfg.ID, cfg.Advertise.Operator, cfg.Listen.Operator, cfg.Listen.Peer, cfg.TLS.Enabled(), err)
	// Output: hob-1 10.0.1.1:7400 0.0.0.0:7400 10.0.1.1:7401 false <nil>
}

// Guards against mistakes that are not reported, and against errors without the file,
// line, section and key.
func TestInvalidConfig(t *testing.T) {
	tests := []struct {
		old, text string // replaced in validConfig
		want      []string
	}{
		{"id = hob-1", "id = hob 1", []string{`f.ini:3: [instance] id: "hob 1" is not a name`}},
		{"id = hob-1\n", "", []string{"f.ini: [instance] id: missing"}},
		{"data_centre = hobart", "data_centre = a.b", []string{"f.ini:4: [instance] data_centre: "}},
		{"traffic = 10.0.1.1:5555", "traffic = [::1]:5555", []string{"f.ini:5: [instance] traffic: ", "IPv4"}},
		{"traffic = 10.0.1.1:5555", "traffic = 0.0.0.0:5555", []string{"f.ini:5: [instance] traffic: 0.0.0.0:5555 is not a destination address"}},
		{"peer = 10.0.1.1:7401", "peer = hob-1:7401", []string{"f.ini:7: [instance] peer: "}},
		{"peer = 10.0.1.1:7401", "peer = 10.0.1.1:0", []string{"f.ini:7: [instance] peer: ", "no port"}},
		{"relay = 10.0.1.1:5556", "relay = 10.0.1.1:5555", []string{"f.ini:6: [instance] relay: has the same listen address 10.0.1.1:5555 as traffic"}},
		{"peer = 10.0.1.1:7401", "peer = 10.0.1.1:7401\nlisten_peer = 0.0.0.0:7400", []string{"operator: has the same listen address 0.0.0.0:7400 as peer"}},
		{"peer = 10.0.1.1:7401", "peer = 10.0.1.1:7401\npeer = 10.0.1.1:7402", []string{"f.ini:8: [instance] peer: key is repeated"}},
		{"id =", "name =", []string{"f.ini:3: [instance] name: unknown key", "f.ini: [instance] id: missing"}},
		{"[platform]", "[plattform]", []string{"f.ini:11: [plattform]: unknown section", "f.ini: [platform] store: missing"}},
		{"# hobart", "id = x", []string{"f.ini:1 id: key stands before"}},
		{"# hobart", "hobart", []string{"f.ini:1: expected [section] or key = value"}},
		{"id = hob-1", "id = \"\"\"a", []string{"f.ini:3: [instance] id: multi-line"}},
		{"store = http://", "store = ", []string{"f.ini:12: [platform] store: "}},
		{"[platform]", "[tls]\nca = ca.pem\n[platform]", []string{"f.ini: [tls] certificate: ", "f.ini: [tls] key: "}},
	}
	for _, tt := range tests {
		text := strings.Replace(validConfig, tt.old, tt.text, 1)
		cfg, err := parseConfig("f.ini", []byte(text))
		if err == nil || cfg != (Config{}) {
			t.Errorf("%q for %q: config %+v, error %v", tt.text, tt.old, cfg, err)
			continue
		}
		for _, want := range tt.want {
			if !strings.Contains(err.Error(), want) {
				t.Errorf("%q for %q: error %q does not contain %q", tt.text, tt.old, err, want)
			}
		}
	}
}

// Guards against input that makes the reader panic or that is accepted although a
// value is unusable.
func FuzzParseConfig(f *testing.F) {
	for _, text := range []string{
		validConfig, "", "\ufeff[instance]\nid=a", "[instance", "[tls]\nca=a\\\nkey=b", "a\x00=\xff", "[DEFAULT]\nid=%(id)s",
		strings.Replace(validConfig, "http://", "https://", 1) + "[tls]\nca=a\ncertificate=b\nkey=c ; d\n",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		cfg, err := parseConfig("f.ini", text)
		if err != nil {
			return
		}
		for _, ap := range []netip.AddrPort{cfg.Fabric, cfg.Advertise.Traffic, cfg.Listen.Relay, cfg.Listen.Peer, cfg.Advertise.Operator} {
			if !ap.IsValid() || ap.Port() == 0 {
				t.Errorf("accepted address %v", ap)
			}
		}
		if cfg.ID == "" || cfg.DataCentre == "" || cfg.Store == "" {
			t.Errorf("accepted %+v", cfg)
		}
	})
}
