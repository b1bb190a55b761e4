package main

import (
	"fmt"
	"syscall"
	"time"
)

// gatherRoute returns a route that gathers from shards, like the agents' lookups.
func gatherRoute(shards []string) map[string]any {
	return map[string]any{
		"name": "counter-lookup", "host": "search.example", "prefix": "/lookup/", "type": "safe", "timeout_ms": 1500,
		"target_latency_ms": 100, "priority": 1, "gather": shards, "max_attempts": 2, "top_k": 10, "min_shard_share": 0.89,
	}
}

// startShards starts a server of each shard in each zone.
func startShards(record *record, store *store, count int, zones []string) (names []string, servers []*server) {
	for shard := range count {
		name := fmt.Sprintf("desk-%02d", shard)
		names = append(names, name)
		for _, zone := range zones {
			server := &server{
				id: fmt.Sprintf("i-%02d-%s", shard, zone), service: name, zone: zone, slots: 2, work: func() time.Duration { return 11 * time.Millisecond },
				pause: 120 * time.Millisecond, pauseEvery: 3 * time.Second, records: 12, store: store, record: record,
			}
			server.start()
			servers = append(servers, server)
		}
	}
	return names, servers
}

// playZone loses one of two zones for good and checks that the other one serves.
func playZone(record *record, trouble bool) bool {
	const (
		length   = 50 * time.Second
		loseAt   = 14 * time.Second
		recover  = 12 * time.Second
		interval = 25 * time.Millisecond
	)
	zones := []string{"kochi", "alleppey"}
	store := newStore(0)
	cluster := newCluster(record, store, []string{"kochi", "kochi", "alleppey", "alleppey"})
	defer cluster.close()
	shards, servers := startShards(record, store, 20, zones)
	store.put("op/config", config(1, shards, gatherRoute(shards)), 0)
	for _, host := range cluster.hosts {
		cluster.start(host)
	}
	cluster.awaitReady()
	cluster.balance()
	lostAt := time.Now().Add(loseAt)
	if trouble {
		time.AfterFunc(loseAt, func() {
			record.say("zone alleppey is lost")
			for _, host := range cluster.hosts[2:] {
				cluster.signal(host, syscall.SIGKILL)
			}
			for _, server := range servers {
				if server.zone == "alleppey" {
					server.crash()
				}
			}
		})
	}
	sendAll(cluster, record, cluster.zonePicker("kochi"), interval, length, request{method: "GET", path: "/lookup/2f", limit: 1500 * time.Millisecond})
	for _, host := range cluster.hosts[:2] {
		record.say("%s is ready: %v", host.name, host.isReady())
	}
	record.sayServed("before the loss", lostAt.Add(-10*time.Second), lostAt)
	after, served := record.sayServed(fmt.Sprintf("later than %v after the loss", recover), lostAt.Add(recover), lostAt.Add(time.Hour))
	return 4*served < after
}

// playSurvivor loses all hosts but one for good: they fall silent, as without
// power. All servers stay alive, in the zones of the lost hosts. It checks that the
// host that is left serves the requests that reach it.
func playSurvivor(record *record, trouble bool) bool {
	const (
		length   = 50 * time.Second
		loseAt   = 14 * time.Second
		recover  = 12 * time.Second
		interval = 30 * time.Millisecond
	)
	store := newStore(0)
	cluster := newCluster(record, store, []string{"alleppey", "kochi", "kochi", "kumily", "kumily"})
	defer cluster.close()
	shards, _ := startShards(record, store, 20, []string{"kochi", "kumily"})
	store.put("op/config", config(1, shards, gatherRoute(shards)), 0)
	for _, host := range cluster.hosts {
		cluster.start(host)
	}
	cluster.awaitReady()
	lostAt := time.Now().Add(loseAt)
	if trouble {
		time.AfterFunc(loseAt, func() {
			for _, host := range cluster.hosts[1:] {
				cluster.signal(host, syscall.SIGSTOP)
			}
		})
	}
	survivor := func(int) int { return 0 }
	sendAll(cluster, record, survivor, interval, length, request{method: "GET", path: "/lookup/2f", limit: 1500 * time.Millisecond})
	record.say("%s is ready: %v", cluster.hosts[0].name, cluster.hosts[0].isReady())
	record.sayServed("before the loss", lostAt.Add(-10*time.Second), lostAt)
	after, served := record.sayServed(fmt.Sprintf("later than %v after the loss", recover), lostAt.Add(recover), lostAt.Add(time.Hour))
	return 4*served < after
}

// sayServed counts the requests that were sent between two times, and those that
// were answered with success.
func (record *record) sayServed(when string, from, to time.Time) (count, served int) {
	answers := make(map[int]int)
	record.mu.Lock()
	for _, request := range record.sent {
		if request.at.Before(from) || !request.at.Before(to) {
			continue
		}
		count++
		answers[request.status]++
	}
	record.mu.Unlock()
	record.say("%s: %d of %d served; by status (0 is no answer): %v", when, answers[200], count, answers)
	return count, answers[200]
}
