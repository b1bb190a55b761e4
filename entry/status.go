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

// MemberStatus is a member as a host sees it.
type MemberStatus struct {
	Name          string
	Address       string
	FailureDomain string
	State         string
	Unreachable   bool
}

// Status is what a host believes.
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
	ready, why := host.ready()
	status := Status{
		Name:          host.Settings.Name,
		FailureDomain: host.Settings.FailureDomain,
		Ready:         ready,
		Why:           why,
		Version:       host.current.View().Version,
		Watches:       host.chosen(),
		Fronted:       len(host.fronted()),
		Replicas:      host.front.Status(),
		Leaving:       host.marks.All(),
		Loads:         host.coordinator.Loads(),
	}
	members, _ := host.detector.Hosts()
	for _, known := range members {
		status.Members = append(status.Members, MemberStatus{Name: known.Name, Address: known.Address, FailureDomain: known.FailureDomain, State: member.StateName(known.State), Unreachable: known.Unreachable})
	}
	slices.SortFunc(status.Replicas, func(a, b front.Status) int { return cmp.Compare(a.Replica, b.Replica) })
	return status
}
