package main

import (
	"encoding/json"
	"net/http"
	"time"
)

// playLateBeat has the store execute one beat of a server late, after the server
// has reported that it drains, and checks that the server then gets no requests.
func playLateBeat(record *record, trouble bool) bool {
	const (
		length   = 22 * time.Second
		lostAt   = 10 * time.Second
		lateBy   = 5990 * time.Millisecond
		drainAt  = 4060 * time.Millisecond
		interval = 20 * time.Millisecond
		drain    = 3 * time.Second
		// longer is how much longer than drain the leaving server serves.
		longer   = 600 * time.Millisecond
		workTime = 100 * time.Millisecond
	)
	store := newStore(0)
	cluster := newCluster(record, store, []string{"kochi", "kochi"})
	defer cluster.close()
	var leaving *server
	for _, id := range []string{"i-1", "i-2", "i-3"} {
		server := &server{id: id, service: "booking", zone: "kochi", slots: 8, work: func() time.Duration { return workTime }, store: store, record: record, manual: id == "i-1"}
		server.start()
		if server.manual {
			leaving = server
		}
	}
	store.put("op/config", config(1, []string{"booking"}, map[string]any{
		"name": "book", "host": "search.example", "prefix": "/book/", "type": "unsafe", "timeout_ms": 3000,
		"target_latency_ms": 300, "priority": 0, "backend": "booking", "max_attempts": 1,
	}), 0)
	var drainedAt time.Time
	beatAt := time.Now()
	stopBeats := make(chan bool)
	go func() {
		lostBeat := time.Now().Add(lostAt)
		lost := false
		for {
			time.Sleep(time.Until(beatAt))
			switch {
			case !lost && time.Now().After(lostBeat):
				lost = true
				if !trouble {
					leaving.beat()
				} else {
					loseBeat(record, leaving, lateBy)
				}
				time.AfterFunc(drainAt, func() {
					drainedAt = leaving.drain()
					record.say("%s is draining, acknowledged", leaving.id)
					time.AfterFunc(drain+longer, func() {
						leaving.leave()
						leaving.crash()
						record.say("%s has ended", leaving.id)
					})
				})
			case !leaving.isStopped():
				leaving.beat()
			}
			beatAt = beatAt.Add(beatInterval - 4*time.Millisecond)
			select {
			case <-stopBeats:
				return
			default:
			}
		}
	}()
	for _, host := range cluster.hosts {
		cluster.start(host)
	}
	cluster.awaitReady()
	cluster.balance()
	sendAll(cluster, record, cluster.zonePicker("kochi"), interval, length, request{method: http.MethodPost, path: "/book/2f", body: "a booking", limit: 3 * time.Second})
	close(stopBeats)
	return countLate(record, leaving, drainedAt.Add(drain)) > 0
}

// loseBeat takes a beat of a server that gets no answer, and executes it later.
func loseBeat(record *record, server *server, later time.Duration) {
	server.mu.Lock()
	content, err := json.Marshal(server.entry())
	server.mu.Unlock()
	check(err)
	record.say("the answer to beat %s is lost", content)
	time.AfterFunc(later, func() {
		server.store.put("servers/"+server.id, json.RawMessage(content), 3*beatInterval)
		record.say("the store executes that beat")
	})
}

// countLate counts the requests that reached a server after a time.
func countLate(record *record, server *server, latest time.Time) int {
	server.mu.Lock()
	defer server.mu.Unlock()
	late := 0
	for id, at := range server.arrivals {
		if at.After(latest) {
			late++
			record.note("DRAIN: %s reached %s %.3f s after drain_ms", id, server.id, at.Sub(latest).Seconds())
		}
	}
	record.mu.Lock()
	cut := 0
	for _, request := range record.sent {
		if at, ok := server.arrivals[request.id]; ok && at.After(latest) && request.status != http.StatusOK {
			cut++
		}
	}
	record.mu.Unlock()
	record.say("%d of the late ones were not answered with success", cut)
	record.say("%d requests reached %s, %d of them later than drain_ms after the acknowledgement", len(server.arrivals), server.id, late)
	return late
}
