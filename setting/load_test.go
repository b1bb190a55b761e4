package setting_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"fescuehall/setting"
)

const validSettings = `{"Name": "host-1", "FailureDomain": "Kochi", "CallerAddress": "127.0.0.1:8080", "PeerAddress": "127.0.0.1:8081",
 "StoreURL": "http://127.0.0.1:2379", "HostListURL": "http://127.0.0.1:2380/v1/hosts"}`

func TestDefaults(t *testing.T) {
	settings, problems := setting.Parse([]byte(validSettings))
	qt.Assert(t, problems, qt.HasLen, 0)
	qt.Assert(t, settings.MaxBodyBytes, qt.Equals, 65536)
	qt.Assert(t, settings.Stop.BalancerLagMillis, qt.Equals, 5000)
	qt.Assert(t, settings.Log.Level, qt.Equals, setting.LogLevelInfo)
}

func TestEveryProblemIsReported(t *testing.T) {
	tests := []struct {
		name    string
		content string
		want    []string
	}{
		{name: "not JSON", content: `{`, want: []string{"/: not JSON"}},
		{name: "two invalid fields", content: strings.NewReplacer("Kochi", "", "127.0.0.1:8080", "localhost:8080").Replace(validSettings), want: []string{`/CallerAddress: value "localhost:8080"`, "/FailureDomain"}},
		{name: "unknown field", content: strings.Replace(validSettings, "{", `{"Colour": 1, `, 1), want: []string{"/: additional properties 'Colour' not allowed"}},
		{name: "missing fields", content: `{"Name": "x"}`, want: []string{"/: missing properties 'FailureDomain', 'CallerAddress', 'PeerAddress', 'StoreURL', 'HostListURL'"}},
		{name: "out of range", content: strings.Replace(validSettings, "{", `{"MaxBodyBytes": 1, "Stop": {"MaxMillis": 1}, `, 1), want: []string{`/MaxBodyBytes: value "1": minimum: got 1, want 256`, `/Stop/MaxMillis: value "1": minimum`}},
		{name: "one address for both", content: strings.Replace(validSettings, "8081", "8080", 1), want: []string{"/PeerAddress: value"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, problems := setting.Parse([]byte(test.content))
			qt.Assert(t, problems, qt.HasLen, len(test.want), qt.Commentf("%v", problems))
			for index, want := range test.want {
				qt.Assert(t, strings.HasPrefix(problems[index].String(), want), qt.IsTrue, qt.Commentf("%v", problems[index]))
			}
		})
	}
}

func TestSamplesAreValid(t *testing.T) {
	files, err := filepath.Glob("../samples/*/Host*.json")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(files), qt.Equals, 14)
	for _, file := range files {
		_, err := setting.Load(file)
		qt.Assert(t, err, qt.IsNil)
	}
}

// FuzzParse checks that Parse never panics and returns either problems or
// settings with all defaults.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte(`{"Stop": null}`))
	f.Add([]byte(`[1e999]`))
	f.Fuzz(func(t *testing.T, content []byte) {
		settings, problems := setting.Parse(content)
		if (settings == nil) == (len(problems) == 0) {
			t.Fatalf("settings %v with problems %v", settings, problems)
		}
		if settings != nil && (settings.Stop == nil || settings.Log == nil) {
			t.Fatalf("settings %+v lack defaults", settings)
		}
	})
}

func TestLoadErrorNamesTheFile(t *testing.T) {
	file := filepath.Join(t.TempDir(), "bad.json")
	qt.Assert(t, os.WriteFile(file, []byte(`{}`), 0o600), qt.IsNil)
	_, err := setting.Load(file)
	qt.Assert(t, err, qt.ErrorMatches, `(?s)settings file ".*bad.json" has 1 problems:.*`)
}
