package main

import (
	"syscall"
	"time"
)

const (
	grace     = 6 * time.Second
	lossSlack = 200 * time.Millisecond
	// latestSend is the time after SIGTERM up to which the rule excuses requests
	// that are still at work at a server at the end of the grace period.
	latestSend = 3 * time.Second
)

// playStop stops one of two hosts while a service has one server left for a load
// of 35 requests a second, and checks that each whole request gets an answer.
func playStop(record *record, trouble bool) bool {
	const (
		length   = 22 * time.Second
		shrinkAt = 4 * time.Second
		stopAt   = 9 * time.Second
		interval = 28 * time.Millisecond
		limit    = 15 * time.Second
		workTime = 220 * time.Millisecond
	)
	store := newStore(0)
	cluster := newCluster(record, store, []string{"kochi", "kochi"})
	defer cluster.close()
	var servers []*server
	for _, id := range []string{"i-1", "i-2", "i-3"} {
		server := &server{id: id, service: "archive", zone: "kochi", slots: 3, work: func() time.Duration { return workTime }, store: store, record: record}
		server.start()
		servers = append(servers, server)
	}
	store.put("op/config", config(1, []string{"archive"}, map[string]any{
		"name": "archive-query", "host": "search.example", "prefix": "/archive/", "type": "safe", "timeout_ms": limit.Milliseconds(),
		"target_latency_ms": 1500, "priority": 2, "backend": "archive", "max_attempts": 2,
	}), 0)
	for _, host := range cluster.hosts {
		cluster.start(host)
	}
	cluster.awaitReady()
	cluster.balance()
	var stoppedAt time.Time
	time.AfterFunc(shrinkAt, func() {
		for _, server := range servers[1:] {
			server.drain()
			record.say("server %s is draining", server.id)
			time.AfterFunc(4*time.Second, server.leave)
		}
	})
	if trouble {
		time.AfterFunc(stopAt, func() {
			stoppedAt = time.Now()
			cluster.signal(cluster.hosts[0], syscall.SIGTERM)
		})
	}
	sendAll(cluster, record, cluster.zonePicker("kochi"), interval, length, request{method: "GET", path: "/archive/2f", limit: limit})
	return countLost(record, stoppedAt, limit) > 0
}

// countLost counts the requests that the rule LOST counts around a SIGTERM.
func countLost(record *record, stoppedAt time.Time, limit time.Duration) int {
	record.mu.Lock()
	var lost []*sent
	answered := make(map[int]int)
	atServer, held := 0, 0
	for _, request := range record.sent {
		answered[request.status]++
		if request.status != 0 || !request.whole || request.host != 0 || stoppedAt.IsZero() {
			continue
		}
		// Requests that reached their time limit, and those that ended after the
		// time of the planned work, don't count.
		if request.ended.Sub(request.at) >= limit || request.ended.Before(stoppedAt) || request.ended.After(stoppedAt.Add(grace+time.Second)) {
			continue
		}
		atWork, passedOn := false, false
		for _, run := range record.runs[request.id] {
			passedOn = true
			atWork = atWork || run.ended.IsZero() || !run.ended.Before(request.ended.Add(-50*time.Millisecond))
		}
		inLastSixth := request.ended.After(stoppedAt.Add(grace * 5 / 6))
		if atWork && inLastSixth && request.at.Before(stoppedAt.Add(latestSend)) {
			continue
		}
		if !passedOn && request.ended.Sub(request.at) < lossSlack {
			continue
		}
		lost = append(lost, request)
		if passedOn {
			atServer++
		} else {
			held++
		}
	}
	record.mu.Unlock()
	for _, request := range lost {
		record.note("LOST: %s sent %.3f s after SIGTERM, cut %.3f s after it", request.id, request.at.Sub(stoppedAt).Seconds(), request.ended.Sub(stoppedAt).Seconds())
	}
	record.say("requests by status (0 is no answer): %v", answered)
	record.say("%d lost: %d had been passed on to a server, %d were held at the host", len(lost), atServer, held)
	return len(lost)
}
