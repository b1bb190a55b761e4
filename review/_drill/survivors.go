package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// playSurvivors loses one of two machines in each of two zones, silently and for good.
// The requests of a tenant that has an allowance are within it. Later than recover_s
// after the loss, a quarter of them at least is to be served by the machines that are
// left.
func playSurvivors(record *record, trouble bool) bool {
	const (
		recoverTime = 15 * time.Second
		judged      = 35 * time.Second
		servers     = 6
	)
	for name, bound := range map[string]any{"strict_revoke": false, "revoke_ms": 5000, "quota_window_s": 5, "quota_overage": 0.1, "quota_slack": 20, "recover_s": recoverTime.Seconds()} {
		bounds[name] = bound
	}
	zones := []string{"kochi", "alleppey"}
	store := newStore(0)
	// The clients send about 50 requests a second.
	putConfig(store, map[string]any{"name": "agency", "api_keys": []string{"key-1"}, "rate_per_s": 200, "burst": 100})
	for number := range servers {
		server := startServer(record, ip(100+number), fmt.Sprintf("i-%08x", number+1), "kafi81c", zones[number%2], 10*time.Millisecond)
		store.put("servers/"+server.id, server.entry())
	}
	cluster := newCluster(record, store, zones)
	cleanup = cluster.close
	var left, lost []*host
	for _, zone := range zones {
		left = append(left, cluster.add("front-"+zone+"-1", zone))
		lost = append(lost, cluster.add("front-"+zone+"-2", zone))
	}
	cluster.awaitReady(cluster.hosts)
	time.Sleep(6 * time.Second)
	stop := make(chan struct{})
	group := clients(record, func() []*host { return left }, 10, 200*time.Millisecond, func(client *client) {
		client.credential = "key-1"
		client.do(http.MethodPost, "/timi402/2f", []byte("an order"), 2*time.Second)
	}, stop)
	began := time.Now()
	time.Sleep(8 * time.Second)
	loss := time.Now()
	if trouble {
		for _, host := range lost {
			cluster.signal(host, syscall.SIGSTOP)
		}
	}
	time.Sleep(recoverTime + judged)
	close(stop)
	group.Wait()
	for from := began; from.Before(loss.Add(recoverTime + judged - 5*time.Second)); from = from.Add(5 * time.Second) {
		sent, served := record.countServed(from, from.Add(5*time.Second))
		record.say("sent %5.1f to %5.1f s after the loss: %d, served: %d", from.Sub(loss).Seconds(), from.Sub(loss).Seconds()+5, sent, served)
	}
	sentBefore, before := record.countServed(began, loss)
	sentAfter, after := record.countServed(loss.Add(recoverTime), time.Now())
	record.say("before the loss %d of %d were served; of those sent later than %v after it, %d of %d", before, sentBefore, recoverTime, after, sentAfter)
	if 4*before < sentBefore {
		fail("the deployment served too little before the loss")
	}
	return 4*after >= sentAfter
}
