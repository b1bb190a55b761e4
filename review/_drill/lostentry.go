package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// playLostEntry adds a host, the only one of its zone. Its first write to the store, of
// its entry on the list of hosts, gets no answer and is executed some seconds later.
// Long after that, servers leave without a report, one after the other. No request may
// reach one later than drain_ms after the store's ack. The store's serializable reads
// are some seconds old all the while.
func playLostEntry(record *record, trouble bool) bool {
	const (
		lag     = 1600 * time.Millisecond
		drain   = 3000 * time.Millisecond
		longer  = 250 * time.Millisecond
		later   = 3 * time.Second
		work    = 120 * time.Millisecond
		servers = 9
		leaving = 40
		gap     = 1700 * time.Millisecond
		added   = "front-kovalam-1"
	)
	store := newStore(lag)
	putConfig(store)
	started := 0
	add := func() *server {
		started++
		server := startServer(record, ip(100+started%100), fmt.Sprintf("i-%08x", started), "kafi81c", "kovalam", work)
		store.put("servers/"+server.id, server.entry())
		return server
	}
	var present []*server
	for range servers {
		present = append(present, add())
	}
	cluster := newCluster(record, store, []string{"kochi", "kovalam"})
	cleanup = cluster.close
	others := []*host{cluster.add("front-kochi-1", "kochi"), cluster.add("front-kochi-2", "kochi")}
	cluster.awaitReady(others)
	if trouble {
		var once sync.Once
		store.delay = func(host string, request *http.Request) (delay time.Duration) {
			if host == added && request.URL.Path == "/kv-txn" {
				once.Do(func() {
					record.say("the write of %s's entry gets no answer and is executed %v later", host, later)
					delay = later
				})
			}
			return delay
		}
	}
	record.say("%s is added", added)
	alone := cluster.add(added, "kovalam")
	cluster.awaitReady([]*host{alone})
	// Long after the lost answer all hosts are in touch.
	time.Sleep(16 * time.Second)
	record.say("the list of hosts in the store: %v", store.keys("hosts/"))
	stop := make(chan struct{})
	sending := clients(record, func() []*host { return []*host{alone} }, 24, 40*time.Millisecond, func(client *client) {
		client.do(http.MethodPost, "/timi402/2f", []byte("an order"), 6*time.Second)
	}, stop)
	var departures []departure
	for range leaving {
		time.Sleep(gap)
		server := present[0]
		departures = append(departures, departure{server, store.remove("servers/" + server.id)})
		record.note("%s leaves: its entry is removed", server.id)
		time.AfterFunc(drain+longer, func() {
			record.note("%s exits", server.id)
			server.exit()
		})
		present = append(present[1:], add())
	}
	time.Sleep(drain + 4*longer)
	close(stop)
	sending.Wait()
	return countLate(record, departures, drain)
}
