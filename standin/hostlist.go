package standin

import (
	"net/http"
	"sync"
	"time"

	"fescuehall/store"
)

// HostList serves the platform's list of live and leaving hosts, with a lag.
type HostList struct {
	mu      sync.Mutex
	lag     time.Duration
	outage  bool
	current []store.Host
	shown   []store.Host
	showAt  time.Time
}

// HostListFault is what goes wrong with the host list, set by POST /fault.
type HostListFault struct {
	Outage    bool
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

// Set replaces the list; callers see it after the lag.
func (list *HostList) Set(hosts []store.Host) {
	list.mu.Lock()
	defer list.mu.Unlock()
	list.shown = list.visible()
	list.current = hosts
	list.showAt = time.Now().Add(list.lag)
}

// SetFault replaces the fault in force.
func (list *HostList) SetFault(fault HostListFault) {
	list.mu.Lock()
	defer list.mu.Unlock()
	list.outage = fault.Outage
	list.lag = time.Duration(fault.LagMillis) * time.Millisecond
}

func (list *HostList) visible() []store.Host {
	if time.Now().Before(list.showAt) {
		return list.shown
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
