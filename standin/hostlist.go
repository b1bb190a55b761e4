package standin

import (
	"net/http"
	"sync"
	"time"

	"fescuehall/store"
)

// HostList replaces the platform's list of live and leaving hosts. Changes
// become visible to readers after a configurable lag.
type HostList struct {
	mu        sync.Mutex
	lag       time.Duration
	outage    bool
	current   []store.Host
	previous  []store.Host
	visibleAt time.Time
}

// HostListFault is the fault that POST /fault injects into the host list.
type HostListFault struct {
	// Outage refuses all reads.
	Outage bool
	// LagMillis delays the visibility of later changes.
	LagMillis int
}

// Handler returns the HTTP interface of the host list.
func (list *HostList) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/hosts", list.get)
	mux.HandleFunc("POST /hosts", list.set)
	mux.HandleFunc("POST /fault", list.setFault)
	return mux
}

// Set replaces the list. Readers get the previous list until the lag is over.
func (list *HostList) Set(hosts []store.Host) {
	list.mu.Lock()
	defer list.mu.Unlock()
	list.previous = list.visible()
	list.current = hosts
	list.visibleAt = time.Now().Add(list.lag)
}

// SetFault replaces the active fault.
func (list *HostList) SetFault(fault HostListFault) {
	list.mu.Lock()
	defer list.mu.Unlock()
	list.outage = fault.Outage
	list.lag = time.Duration(fault.LagMillis) * time.Millisecond
}

// visible returns the list that readers get now. The caller holds mu.
func (list *HostList) visible() []store.Host {
	if time.Now().Before(list.visibleAt) {
		return list.previous
	}
	return list.current
}

func (list *HostList) get(writer http.ResponseWriter, _ *http.Request) {
	list.mu.Lock()
	hosts, outage := list.visible(), list.outage
	list.mu.Unlock()
	if outage {
		http.Error(writer, "host list unavailable", http.StatusServiceUnavailable)
		return
	}
	writeJSON(writer, http.StatusOK, store.HostList{Hosts: hosts})
}

func (list *HostList) set(writer http.ResponseWriter, request *http.Request) {
	var hosts store.HostList
	if readJSON(writer, request, &hosts) {
		list.Set(hosts.Hosts)
	}
}

func (list *HostList) setFault(writer http.ResponseWriter, request *http.Request) {
	var fault HostListFault
	if readJSON(writer, request, &fault) {
		list.SetFault(fault)
	}
}
