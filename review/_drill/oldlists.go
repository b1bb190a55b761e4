package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// playOldLists loses, for good, the host that reads the list of servers for its zone,
// and adds another one. Meanwhile servers of a service are replaced one after the other.
// They leave without a report: the entry is removed, and the server serves on for
// drain_ms and a little longer. No request may reach one later than drain_ms after the
// store's ack. The store's serializable reads are some seconds old all the while.
func playOldLists(record *record, trouble bool) bool {
	const (
		lag   = 1600 * time.Millisecond
		drain = 3000 * time.Millisecond
		// longer is for how long a server that leaves serves on after drain.
		longer  = 250 * time.Millisecond
		rounds  = 6
		work    = 120 * time.Millisecond
		servers = 9
		// The servers leave one after the other, from first after the loss of the
		// host on.
		first   = 700 * time.Millisecond
		gap     = 450 * time.Millisecond
		leaving = 6
	)
	store := newStore(lag)
	var mu sync.Mutex
	// watched maps hosts to the time of their last watch: only the reader of a zone
	// watches for long.
	watched := make(map[string]time.Time)
	store.called = func(host string, request *http.Request) {
		if strings.HasPrefix(request.URL.Path, "/kv-watch") {
			mu.Lock()
			defer mu.Unlock()
			watched[host] = time.Now()
		}
	}
	putConfig(store)
	started := 0
	add := func() *server {
		started++
		server := startServer(record, ip(100+started%100), fmt.Sprintf("i-%08x", started), "kafi81c", "kochi", work)
		store.put("servers/"+server.id, server.entry())
		return server
	}
	var present []*server
	for range servers {
		present = append(present, add())
	}
	cluster := newCluster(record, store, []string{"kochi"})
	cleanup = cluster.close
	var hosts []*host
	for number := range 5 {
		hosts = append(hosts, cluster.add(fmt.Sprintf("front-kochi-%d", number+1), "kochi"))
	}
	cluster.awaitReady(hosts)
	// Long enough for all hosts to be in touch.
	time.Sleep(6 * time.Second)
	reader := func() int {
		mu.Lock()
		defer mu.Unlock()
		latest := 0
		for index, host := range hosts {
			if watched[host.name].After(watched[hosts[latest].name]) {
				latest = index
			}
		}
		return latest
	}
	// usable are the hosts that the clients use: neither the one that will be lost nor
	// one that was added a moment ago.
	var usable []*host
	setUsable := func(hosts []*host) {
		mu.Lock()
		defer mu.Unlock()
		usable = hosts
	}
	setUsable(append([]*host(nil), hosts...))
	stop := make(chan struct{})
	sending := clients(record, func() []*host {
		mu.Lock()
		defer mu.Unlock()
		return usable
	}, 24, 40*time.Millisecond, func(client *client) {
		client.do(http.MethodPost, "/timi402/2f", []byte("an order"), 6*time.Second)
	}, stop)
	var departures []departure
	for round := range rounds {
		index := reader()
		lost := hosts[index]
		record.say("round %d, the reader is %s", round+1, lost.name)
		others := append(append([]*host(nil), hosts[:index]...), hosts[index+1:]...)
		setUsable(others)
		time.Sleep(300 * time.Millisecond)
		begun := time.Now()
		if trouble {
			cluster.signal(lost, syscall.SIGKILL)
			hosts = others
		}
		for number := range leaving {
			time.Sleep(time.Until(begun.Add(first + time.Duration(number)*gap)))
			server := present[0]
			at := store.remove("servers/" + server.id)
			record.say("%s leaves: its entry is removed", server.id)
			departures = append(departures, departure{server, at})
			time.AfterFunc(drain+longer, func() {
				record.note("%s exits", server.id)
				server.exit()
			})
			present = append(present[1:], add())
		}
		time.Sleep(3 * time.Second)
		if trouble {
			hosts = append(hosts, cluster.add(fmt.Sprintf("front-kochi-%d", 6+round), "kochi"))
		}
		// The lease of the lost host ends, and all hosts are in touch.
		time.Sleep(6 * time.Second)
		setUsable(append([]*host(nil), hosts...))
	}
	close(stop)
	sending.Wait()
	return countLate(record, departures, drain)
}

// departure is a server that has left, and when the store accepted that.
type departure struct {
	server *server
	at     time.Time
}

// putConfig writes a configuration with one route whose requests run once at most, and
// with tenants if there are any.
func putConfig(store *store, tenants ...any) {
	config := map[string]any{
		"version":  7,
		"routes":   []any{map[string]any{"name": "r-1", "host": "pupu76.example", "prefix": "/timi402/", "type": "unsafe", "timeout_ms": 6000, "target_latency_ms": 800, "priority": 2, "backend": "kafi81c", "max_attempts": 2}},
		"backends": []any{map[string]any{"name": "kafi81c", "health_check_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
	if len(tenants) > 0 {
		config["tenants"] = tenants
	}
	store.put("op/config", config)
}

// countLate reports the requests that reached a server later than drain after it had
// left, and whether there were none.
func countLate(record *record, departures []departure, drain time.Duration) bool {
	late, lost := 0, 0
	for _, departure := range departures {
		server, at := departure.server, departure.at
		for _, arrival := range record.arrivals {
			if arrival.server != server || !arrival.at.After(at.Add(drain)) {
				continue
			}
			late++
			if arrival.cut {
				lost++
			}
			request := record.requests[arrival.id]
			record.say("LATE: request %s, sent to %s, reached %s %d ms after the ack (bound %d ms); cut off in its run: %v; its client got %s", arrival.id, request.host, server.id, arrival.at.Sub(at).Milliseconds(), drain.Milliseconds(), arrival.cut, request.status)
		}
	}
	served, failed := record.countAnswered()
	record.say("%d requests served, %d not; %d reached a server later than %d ms after it had left, %d of them were lost with it", served, failed, late, drain.Milliseconds(), lost)
	return late == 0
}
