package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// playUnlisted stops and starts the only machine of a deployment, as planned. The first
// write of the new process to the store, of its entry on the list of hosts, gets no
// answer and is executed some seconds later. The requests of a tenant that has an
// allowance are within it. Later than recover_s after the machine is back, a quarter of
// them at least is to be served.
func playUnlisted(record *record, trouble bool) bool {
	const (
		recoverTime = 15 * time.Second
		judged      = 40 * time.Second
		later       = 3 * time.Second
		servers     = 4
		name        = "front-kovalam-1"
	)
	for name, bound := range map[string]any{"strict_revoke": false, "revoke_ms": 5000, "quota_window_s": 5, "quota_overage": 0.1, "quota_slack": 20, "recover_s": recoverTime.Seconds()} {
		bounds[name] = bound
	}
	store := newStore(0)
	putConfig(store, map[string]any{"name": "agency", "api_keys": []string{"key-1"}, "rate_per_s": 200, "burst": 100})
	for number := range servers {
		server := startServer(record, ip(100+number), fmt.Sprintf("i-%08x", number+1), "kafi81c", "kovalam", 10*time.Millisecond)
		store.put("servers/"+server.id, server.entry())
	}
	cluster := newCluster(record, store, []string{"kovalam"})
	cleanup = cluster.close
	only := cluster.add(name, "kovalam")
	cluster.awaitReady([]*host{only})
	time.Sleep(6 * time.Second)
	stop := make(chan struct{})
	group := clients(record, func() []*host { return []*host{only} }, 10, 200*time.Millisecond, func(client *client) {
		client.credential = "key-1"
		client.do(http.MethodPost, "/timi402/2f", []byte("an order"), 2*time.Second)
	}, stop)
	began := time.Now()
	time.Sleep(6 * time.Second)
	stopped := time.Now()
	cluster.signal(only, syscall.SIGTERM)
	<-only.exited
	if trouble {
		var once sync.Once
		store.delay = func(_ string, request *http.Request) (delay time.Duration) {
			if request.URL.Path == "/kv-txn" {
				once.Do(func() {
					record.say("the write of the entry gets no answer and is executed %v later", later)
					delay = later
				})
			}
			return delay
		}
	}
	time.Sleep(500 * time.Millisecond)
	cluster.start(only)
	back := time.Now()
	record.say("%s is started again", name)
	time.Sleep(recoverTime + judged)
	close(stop)
	group.Wait()
	for from := back; from.Before(back.Add(recoverTime + judged)); from = from.Add(5 * time.Second) {
		sent, served := record.countServed(from, from.Add(5*time.Second))
		record.say("sent %4.1f to %4.1f s after the start: %d, served: %d", from.Sub(back).Seconds(), from.Sub(back).Seconds()+5, sent, served)
	}
	sentBefore, before := record.countServed(began, stopped)
	sentAfter, after := record.countServed(back.Add(recoverTime), time.Now())
	record.say("the list of hosts in the store: %v", store.keys("hosts/"))
	record.say("before the stop %d of %d were served; of those sent later than %v after the start, %d of %d", before, sentBefore, recoverTime, after, sentAfter)
	if 4*before < sentBefore {
		fail("the deployment served too little before the stop")
	}
	return 4*after >= sentAfter
}
