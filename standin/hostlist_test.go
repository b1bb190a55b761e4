package standin_test

import (
	"context"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"fescuehall/standin"
	"fescuehall/store"
)

// Checks what entry hosts rely on in the platform's host list: a change is
// visible at once, or after the lag, and an outage is an ErrUnavailable.
func TestHostListContract(t *testing.T) {
	ctx := context.Background()
	first := []store.Host{{Name: "host-1", Role: store.RoleEntry, Address: "127.0.0.1:1", FailureDomain: "a", State: store.StateLive}}
	second := []store.Host{{Name: "server-1", Role: store.RoleBackend, Address: "127.0.0.1:2", FailureDomain: "a", State: store.StateLeaving}}
	tests := []struct {
		name  string
		fault standin.HostListFault
		want  []store.Host
		err   error
	}{
		{name: "none", want: second},
		{name: "lag", fault: standin.HostListFault{LagMillis: 3_600_000}, want: first},
		{name: "outage", fault: standin.HostListFault{Outage: true}, err: store.ErrUnavailable},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			list := &standin.HostList{}
			server := httptest.NewServer(list.Handler())
			defer server.Close()
			list.Set(first)
			list.SetFault(test.fault)
			list.Set(second)
			got, err := store.ReadHosts(ctx, nil, server.URL+"/v1/hosts")
			qt.Assert(t, err, qt.ErrorIs, test.err)
			qt.Assert(t, got.Hosts, qt.DeepEquals, test.want)
		})
	}
}
