package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// playKeepers cuts the only machine of a deployment from the store for 12 s, while its
// clients reach it, and adds a machine once the entry of the first one has expired. No
// more requests of a tenant may run in any window than its allowance and the bounds say.
func playKeepers(record *record, trouble bool) bool {
	const (
		rate    = 40
		burst   = 10
		window  = 5 * time.Second
		overage = 0.1
		slack   = 20
		cut     = 12 * time.Second
		servers = 6
	)
	for name, bound := range map[string]any{"strict_revoke": false, "revoke_ms": 5000, "quota_window_s": 5, "quota_overage": overage, "quota_slack": slack} {
		bounds[name] = bound
	}
	store := newStore(0)
	putConfig(store, map[string]any{"name": "agency", "api_keys": []string{"key-1"}, "rate_per_s": rate, "burst": burst})
	for number := range servers {
		server := startServer(record, ip(100+number), fmt.Sprintf("i-%08x", number+1), "kafi81c", "kochi", 10*time.Millisecond)
		store.put("servers/"+server.id, server.entry())
	}
	var mu sync.Mutex
	var cutUntil time.Time
	store.cut = func(host string) bool {
		mu.Lock()
		defer mu.Unlock()
		return host == "front-kochi-1" && time.Now().Before(cutUntil)
	}
	cluster := newCluster(record, store, []string{"kochi"})
	cleanup = cluster.close
	first := cluster.add("front-kochi-1", "kochi")
	cluster.awaitReady([]*host{first})
	time.Sleep(6 * time.Second)
	stop := make(chan struct{})
	var groups []*sync.WaitGroup
	send := func(to *host) {
		groups = append(groups, clients(record, func() []*host { return []*host{to} }, 16, 150*time.Millisecond, func(client *client) {
			client.credential = "key-1"
			client.do(http.MethodPost, "/timi402/2f", []byte("an order"), 2*time.Second)
		}, stop))
	}
	send(first)
	time.Sleep(6 * time.Second)
	begun := time.Now()
	if trouble {
		record.say("%s is cut from the store for %v", first.name, cut)
		mu.Lock()
		cutUntil = begun.Add(cut)
		mu.Unlock()
		for len(store.keys("hosts/")) > 0 {
			time.Sleep(50 * time.Millisecond)
		}
	} else {
		time.Sleep(6 * time.Second)
	}
	record.say("%.1f s later front-kochi-2 is added; the list of hosts: %v", time.Since(begun).Seconds(), store.keys("hosts/"))
	second := cluster.add("front-kochi-2", "kochi")
	cluster.awaitReady([]*host{second})
	send(second)
	time.Sleep(time.Until(begun.Add(cut + 6*time.Second)))
	close(stop)
	for _, group := range groups {
		group.Wait()
	}
	most, at := record.mostInWindow(window)
	bound := (rate*window.Seconds()+burst)*(1+overage) + slack
	record.say("the most requests of the tenant that were sent and ran within %v: %d, from %.1f s after the begin of the cut on; the bound is %.0f", window, most, at.Sub(begun).Seconds(), bound)
	for number := -5; number < 18; number++ {
		from := begun.Add(time.Duration(number) * time.Second)
		record.say("second %3d: run for clients of %s %3d, of %s %3d", number, first.name, record.countRun(first.name, from), second.name, record.countRun(second.name, from))
	}
	return float64(most) <= bound
}
