package entry

import (
	"cmp"
	"net/http"
	"slices"

	"fescuehall/front"
	"fescuehall/member"
	"fescuehall/message"
	"fescuehall/query"
)

// MemberStatus is the state of a member in a host's member list.
type MemberStatus struct {
	Name          string
	Address       string
	FailureDomain string
	State         string
	Unreachable   bool
}

// Status is the state of a host and its view of the system, as GET /v1/status
// returns it.
type Status struct {
	Name          string
	FailureDomain string
	Ready         bool
	Why           string
	Version       uint64
	Watches       bool
	Members       []MemberStatus
	Fronted       int
	Replicas      []front.Status
	Leaving       []message.Mark
	Loads         []query.Load
}

func (host *Host) getStatus(writer http.ResponseWriter, _ *http.Request) {
	writeJSON(writer, http.StatusOK, host.status())
}

func (host *Host) status() Status {
	ready, reason := host.ready()
	status := Status{
		Name:          host.Settings.Name,
		FailureDomain: host.Settings.FailureDomain,
		Ready:         ready,
		Why:           reason,
		Version:       host.current.View().Version,
		Watches:       host.isWatcher(),
		Fronted:       len(host.fronted()),
		Replicas:      host.front.Status(),
		Leaving:       host.marks.All(),
		Loads:         host.coordinator.Loads(),
	}
	members, _ := host.detector.Hosts()
	for _, listed := range members {
		status.Members = append(status.Members, MemberStatus{Name: listed.Name, Address: listed.Address, FailureDomain: listed.FailureDomain, State: member.StateName(listed.State), Unreachable: listed.Unreachable})
	}
	slices.SortFunc(status.Replicas, func(a, b front.Status) int { return cmp.Compare(a.Replica, b.Replica) })
	return status
}
