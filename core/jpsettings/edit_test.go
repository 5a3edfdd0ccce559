package jpsettings

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
)

// TestEdit guards against an edit that changes comments, order or line endings.
func TestEdit(t *testing.T) {
	cases := []struct{ name, text, section, key, value, want string }{
		{"replace", "[defaults]\nslots = 2 # two\n", "defaults", "slots", "3", "[defaults]\nslots = 3 # two\n"},
		{"replace quoted", "[defaults]\n slots=\"2\" ; two", "defaults", "slots", "3", "[defaults]\n slots=3 ; two"},
		{"replace empty", "[defaults]\nslots =\n", "defaults", "slots", "3", "[defaults]\nslots =3\n"},
		{"add key", "[defaults]\nslots = 2\n# end\n[region.a]\n", "defaults", "idle_probe", "9s", "[defaults]\nslots = 2\nidle_probe = 9s\n# end\n[region.a]\n"},
		{"add key after header", "[region.a]\r\n[region.b]", "region.a", "slots", "3", "[region.a]\r\nslots = 3\r\n[region.b]"},
		{"add section", "[region.a]", "region.a.b", "state", "out", "[region.a]\n[region.a.b]\nstate = out\n"},
		{"empty text", "", "defaults", "slots", "1", "[defaults]\nslots = 1\n"},
	}
	for _, tc := range cases {
		got, err := Edit([]byte(tc.text), tc.section, tc.key, tc.value)
		if err != nil || string(got) != tc.want {
			t.Errorf("%s: %q, %v, want %q", tc.name, got, err, tc.want)
		}
	}
}

// TestEditRefuses guards against edits that inject lines or unknown keys.
func TestEditRefuses(t *testing.T) {
	cases := []struct{ section, key, value string }{
		{"defaults", "slot", "1"},
		{"nowhere", "slots", "1"},
		{"defaults]\n[region.a", "slots", "1"},
		{"region.a.b", "state", "in\nslots = 1"},
		{"region.a.b.c.d", "load", "http://h/ #x"},
		{"defaults", "slots", ""},
	}
	for _, tc := range cases {
		if got, err := Edit([]byte(smallText), tc.section, tc.key, tc.value); err == nil || len(Problems(err)) == 0 {
			t.Errorf("%+v: accepted: %q", tc, got)
		}
	}
	if _, err := Edit([]byte("[defaults]\n[defaults]\n"), "defaults", "slots", "1"); err == nil {
		t.Error("edited a text with a repeated section")
	}
}

// FuzzParse guards against crashes, and against errors other than *SettingError.
func FuzzParse(f *testing.F) {
	for _, text := range []string{smallText, "", "[a]\n=", "[region.a]\nslots=\"\"\"\n", "\ufeff[defaults]", "[DEFAULT]\nslots=1", "[a] ]"} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		tree, err := Parse("fuzz", text)
		if (tree == nil) == (err == nil) {
			t.Fatalf("tree %v, error %v", tree, err)
		}
		if err != nil && len(Problems(err)) == 0 {
			t.Fatalf("untyped error %v", err)
		}
	})
}

// FuzzEdit guards against an edit that changes any other key or line.
func FuzzEdit(f *testing.F) {
	f.Add([]byte(smallText), "defaults", "slots", "7")
	f.Add([]byte(smallText), "region.tasmania.hobart", "state", "in")
	f.Add([]byte(smallText), "region.tasmania.hobart.order_desk.od-1", "load", "http://h/x;y")
	f.Add([]byte("[defaults]\nslots = '1'"), "defaults", "slots", "5")
	f.Fuzz(func(t *testing.T, text []byte, section, key, value string) {
		edited, err := Edit(text, section, key, value)
		if err != nil {
			return
		}
		before, after := keysExcept(text, section, key), keysExcept(edited, section, key)
		if !reflect.DeepEqual(before, after) {
			t.Fatalf("other keys changed from %q to %q", before, after)
		}
		lines := "\n" + string(edited) + "\n"
		for _, line := range strings.Split(string(text), "\n") {
			_, word, _ := scanLine([]byte(line))
			if word != key && !strings.Contains(lines, "\n"+line+"\n") && !strings.Contains(lines, "\n"+line+"\r\n") {
				t.Fatalf("line %q is lost in %q", line, edited)
			}
		}
		if again, err := Edit(edited, section, key, value); err != nil || string(again) != string(edited) {
			t.Fatalf("second edit: %q, %v, want %q", again, err, edited)
		}
	})
}

func keysExcept(text []byte, section, key string) []string {
	var keys []string
	for _, en := range readDocument("", text).entries {
		if en.section != section || en.key != key {
			keys = append(keys, en.section+"."+en.key+"="+en.value)
		}
	}
	return keys
}

func ExampleParse() {
	_, err := Parse("derwent.ini", []byte("[defaults]\nslots = many\n[service.catalogue]\naddress = 10.80.0.2\nport = 443\n"))
	fmt.Println(err)
	// Output:
	// derwent.ini:2: [defaults] slots: "many" is not a whole number from 1 to 100000
	// derwent.ini:3: [service.catalogue] kind: key is missing
}

func ExampleExplain() {
	values, _ := Explain("small.ini", []byte(smallText))
	for _, vl := range values {
		if strings.HasSuffix(vl.Section, "od-1") && (vl.Key == "slots" || vl.Key == "idle_probe" || vl.Key == "cold_slots") {
			fmt.Println(vl.Key, "=", vl.Value, "from", vl.Level)
		}
	}
	// Output:
	// slots = 9 from region.tasmania.hobart.order_desk.od-1
	// cold_slots = 1 from built in
	// idle_probe = 90s from region.tasmania.hobart.order_desk
}

func ExampleEdit() {
	text, _ := Edit([]byte("[region.tasmania.hobart]\nstate = in # since May\n"), "region.tasmania.hobart", "state", "out")
	fmt.Print(string(text))
	// Output:
	// [region.tasmania.hobart]
	// state = out # since May
}
