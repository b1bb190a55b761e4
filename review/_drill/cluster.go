package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Bounds of the small sites, from the users' pages.
var bounds = map[string]any{"seed_lag_s": 3, "addr_reuse_s": 2, "stable_window_ms": 4000, "ack_ms": 5000, "catch_up_s": 4, "drain_ms": 3000, "grace_s": 6, "loss_slack_ms": 200, "config_apply_ms": 3000, "rollback_slack_ms": 250, "max_skew_ms": 12000, "retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 56, "recover_s": 12}

// host is a process of the project.
type host struct {
	name, zone, ip string
	caller, ready  string
	settings       string
	command        *exec.Cmd
	exited         chan struct{}
	log            *os.File
}

// cluster is the hosts of a deployment and the directory of their files.
type cluster struct {
	record *record
	store  *store
	folder string
	zones  map[string]string
	hosts  []*host
}

// ip returns a loopback address. Those of two cases that run at a time differ.
func ip(number int) string {
	return fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%128, 1+(os.Getpid()/128)%250, number)
}

func newCluster(record *record, store *store, zones []string) *cluster {
	folder, err := os.MkdirTemp("", "drill")
	check(err)
	cluster := &cluster{record: record, store: store, folder: folder, zones: make(map[string]string)}
	for _, zone := range zones {
		cluster.zones[zone] = "region-1"
	}
	return cluster
}

// add writes the settings of a host and starts it.
func (cluster *cluster) add(name, zone string) *host {
	host := &host{name: name, zone: zone, ip: ip(10 + len(cluster.hosts))}
	host.caller, host.ready = net.JoinHostPort(host.ip, "8104"), net.JoinHostPort(host.ip, "8108")
	host.settings = filepath.Join(cluster.folder, name+".json")
	content, err := json.Marshal(map[string]any{
		"node_name": name, "role": "entry", "machine_class": "front", "serves": []string{"front"},
		"ip": host.ip, "zone": zone, "region": "region-1", "zones": cluster.zones,
		"listen_addrs":   map[string]string{"frontend": host.caller, "ready": host.ready},
		"internal_ports": []int{7380, 7395}, "seeds": []string{}, "bootstrap": true,
		"limits":       map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000, "disk_mb": 0},
		"discovery":    "platform",
		"entrypoint":   "vip",
		"heartbeat_ms": 1200,
		"contracts":    []string{"base", "drain", "config", "cost", "retry", "recover", "scatter", "platform"},
		"bounds":       bounds,
		"platform":     map[string]any{"address": cluster.store.listen(ip(200), name), "form": "kv", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576, "ttl_min_ms": 1000},
	})
	check(err)
	check(os.WriteFile(host.settings, content, 0o600))
	cluster.hosts = append(cluster.hosts, host)
	cluster.start(host)
	return host
}

// start starts a host's process as the deploy file says, but for the address of the
// metrics, which is a loopback address of the host.
func (cluster *cluster) start(host *host) {
	log, err := os.OpenFile(host.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	host.log = log
	host.command = exec.Command("target/fescuehall", "front", "--metrics", host.ip+":9464")
	host.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "FESCUEHALL_CONFIG=" + host.settings}
	host.command.Stdout, host.command.Stderr = log, log
	check(host.command.Start())
	host.exited = make(chan struct{})
	go func() {
		host.command.Wait()
		close(host.exited)
	}()
	cluster.record.note("start of %s", host.name)
}

func (cluster *cluster) signal(host *host, signal syscall.Signal) {
	cluster.record.say("%v: %s", signal, host.name)
	check(host.command.Process.Signal(signal))
}

// close ends all processes that were started.
func (cluster *cluster) close() {
	for _, host := range cluster.hosts {
		host.command.Process.Signal(syscall.SIGKILL)
	}
	for _, host := range cluster.hosts {
		<-host.exited
		host.log.Close()
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(cluster.folder)
	} else {
		fmt.Println("kept:", cluster.folder)
	}
}

// awaitReady waits until hosts are ready.
func (cluster *cluster) awaitReady(hosts []*host) {
	deadline := time.Now().Add(15 * time.Second)
	for _, host := range hosts {
		for !host.isReady() {
			if time.Now().After(deadline) {
				fail("%s is not ready", host.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

func (host *host) isReady() bool {
	client := http.Client{Timeout: 300 * time.Millisecond}
	response, err := client.Get("http://" + host.ready + "/readyz")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

var lastID atomic.Int64

// client sends requests to one host over one connection at a time.
type client struct {
	record *record
	host   *host
	http   *http.Client
	// credential is the client's key, empty if it has none.
	credential string
}

func newClient(record *record, host *host) *client {
	return &client{record: record, host: host, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}}
}

// do sends one request and records its answer.
func (client *client) do(method, url string, body []byte, limit time.Duration) {
	id := fmt.Sprintf("%016x", 0x51c0<<32+lastID.Add(1))
	request, err := http.NewRequest(method, "http://"+client.host.caller+url, bytes.NewReader(body))
	check(err)
	request.Host = "pupu76.example"
	request.Header.Set("X-Fescuehall-Request-Id", id)
	request.Header.Set("X-Fescuehall-Deadline-Ms", fmt.Sprint(limit.Milliseconds()))
	if client.credential != "" {
		request.Header.Set("X-Fescuehall-Credential", client.credential)
	}
	sent := client.record.send(id, client.host.name)
	response, err := client.http.Do(request)
	if err != nil {
		client.record.answered(sent, err.Error())
		return
	}
	defer response.Body.Close()
	if _, err := io.ReadAll(response.Body); err != nil {
		client.record.answered(sent, err.Error())
		return
	}
	client.record.answered(sent, fmt.Sprint(response.StatusCode))
}

// clients sends requests to hosts, each in turn, until stop is closed.
func clients(record *record, hosts func() []*host, count int, interval time.Duration, do func(*client), stop chan struct{}) *sync.WaitGroup {
	var group sync.WaitGroup
	for number := range count {
		group.Go(func() {
			open := make(map[string]*client)
			for turn := number; ; turn++ {
				select {
				case <-stop:
					return
				case <-time.After(interval):
				}
				usable := hosts()
				if len(usable) == 0 {
					continue
				}
				host := usable[turn%len(usable)]
				if open[host.name] == nil {
					open[host.name] = newClient(record, host)
				}
				do(open[host.name])
			}
		})
	}
	return &group
}
