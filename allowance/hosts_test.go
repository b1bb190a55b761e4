package allowance_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuehall/allowance"
	"fescuehall/shard"
)

// Guards against seconds without any grant after all hosts were restarted: a host whose
// earlier process is still on the list keeps its limits at once.
func TestKeeperBegins(t *testing.T) {
	const name, other = "h1", "h2"
	tests := []struct {
		name       string
		first      []string
		registered bool
		// at once is set when the host keeps limits with the first list.
		atOnce bool
	}{
		{name: "earlier process is listed", first: []string{name}, atOnce: true},
		{name: "this process is listed", first: []string{name}, registered: true},
		{name: "not listed", first: []string{other}},
		{name: "nobody is listed"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			hosts := &allowance.Hosts{Name: name, Domain: "d", Now: func() time.Time { return now }, Registered: func() bool { return test.registered }}
			list := func(names ...string) []shard.Host {
				var listed []shard.Host
				for _, name := range names {
					listed = append(listed, shard.Host{Name: name, FailureDomain: "d", KeepsAllowances: true})
				}
				return listed
			}
			keeps := func() bool {
				_, keeps := hosts.Since("limit")
				return keeps
			}
			hosts.Update(list(test.first...))
			qt.Check(t, keeps(), qt.Equals, test.atOnce)
			now = now.Add(time.Second)
			hosts.Update(list(name))
			qt.Check(t, keeps(), qt.Equals, test.atOnce)
			now = now.Add(4 * time.Second)
			qt.Check(t, keeps(), qt.IsTrue)
		})
	}
}
