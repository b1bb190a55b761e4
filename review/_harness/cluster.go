package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// host is one process of the project.
type host struct {
	name     string
	zone     string
	ip       string
	caller   string
	ready    string
	peerPort int
	store    string
	settings string
	log      string

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	// inRotation is kept by the balancer.
	inRotation bool
	misses     int
}

// cluster is a small deployment.
type cluster struct {
	record *record
	store  *store
	hosts  []*host
	folder string
	root   string
	run    []string
}

// bounds are those of the sites' small deployments.
var bounds = map[string]any{
	"seed_lag_s": 3, "addr_reuse_s": 2, "stable_window_ms": 4000, "ack_ms": 5000, "catch_up_s": 4, "drain_ms": 3000, "grace_s": 6, "loss_slack_ms": 200,
	"config_apply_ms": 3000, "rollback_slack_ms": 250, "max_skew_ms": 12000, "retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 52, "recover_s": 12,
}

// newCluster prepares a deployment with the hosts of the given zones.
func newCluster(record *record, store *store, zones []string) *cluster {
	root, err := os.Getwd()
	check(err)
	deploy, err := os.ReadFile("deploy/system.toml")
	check(err)
	found := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(deploy)
	if found == nil {
		fail("deploy/system.toml names no command")
	}
	folder, err := os.MkdirTemp("", "review")
	check(err)
	cluster := &cluster{record: record, store: store, folder: folder, root: root, run: strings.Fields(string(found[1]))}
	cleanUp = cluster.close
	for index, zone := range zones {
		ip := fmt.Sprintf("127.%d.%d.%d", 1+rand.N(250), rand.N(250), 1+index)
		host := &host{name: fmt.Sprintf("front-%s-%d", zone, index+1), zone: zone, ip: ip, caller: freeAddress(ip), ready: freeAddress(ip), store: store.listen(), peerPort: firstPeerPort}
		host.settings = filepath.Join(folder, host.name+".json")
		host.log = filepath.Join(folder, host.name+".log")
		cluster.hosts = append(cluster.hosts, host)
		cluster.writeSettings(host)
	}
	return cluster
}

// firstPeerPort is the first of the ports for traffic between hosts, each of which
// has a loopback address of its own.
const firstPeerPort = 7380

// freeAddress returns an address with a free port.
func freeAddress(ip string) string {
	listener, err := net.Listen("tcp", ip+":0")
	check(err)
	defer listener.Close()
	return listener.Addr().String()
}

func (cluster *cluster) writeSettings(host *host) {
	content, err := json.MarshalIndent(map[string]any{
		"node_name": host.name, "role": "entry", "machine_class": "front", "serves": []string{"front"}, "ip": host.ip,
		"zone": host.zone, "region": "region", "listen_addrs": map[string]string{"frontend": host.caller, "ready": host.ready},
		"internal_ports": []int{host.peerPort, host.peerPort + 15}, "seeds": []string{}, "bootstrap": true, "in_tolerance": false,
		"limits":   map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"data_dir": nil, "discovery": "platform", "entrypoint": "vip", "heartbeat_ms": beatInterval.Milliseconds(),
		"fault_tolerance": map[string]int{"machines": 1, "zones": 1, "regions": 0}, "bounds": bounds,
		"platform": map[string]any{"address": host.store, "form": "kv", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576, "ttl_min_ms": 1000},
	}, "", " ")
	check(err)
	check(os.WriteFile(host.settings, content, 0o644))
}

// start runs a host's process with the command of the deploy file.
func (cluster *cluster) start(host *host) {
	host.mu.Lock()
	defer host.mu.Unlock()
	log, err := os.OpenFile(host.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	check(err)
	defer log.Close()
	host.command = exec.Command(filepath.Join(cluster.root, cluster.run[0]), cluster.run[1:]...)
	host.command.Dir = cluster.root
	host.command.Env = []string{"FESCUEHALL_CONFIG=" + host.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	host.command.Stdout, host.command.Stderr = log, log
	// The process ends with this one, whatever ends that.
	host.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(host.command.Start())
	host.ended = make(chan struct{})
	go func(command *exec.Cmd, ended chan struct{}) {
		command.Wait()
		close(ended)
	}(host.command, host.ended)
	cluster.record.note("%s starts as process %d", host.name, host.command.Process.Pid)
}

// signal sends a signal to a host's process.
func (cluster *cluster) signal(host *host, signal syscall.Signal) {
	host.mu.Lock()
	defer host.mu.Unlock()
	cluster.record.say("%s gets %v", host.name, signal)
	host.command.Process.Signal(signal)
}

// close ends all processes.
func (cluster *cluster) close() {
	cleanUp = nil
	for _, host := range cluster.hosts {
		host.mu.Lock()
		if host.command != nil {
			host.command.Process.Kill()
			<-host.ended
		}
		host.mu.Unlock()
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(cluster.folder)
	} else {
		fmt.Println("logs are kept in", cluster.folder)
	}
}

// isReady asks a host for its readiness.
func (host *host) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + host.ready + "/readyz")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all hosts are ready.
func (cluster *cluster) awaitReady() {
	for limit := time.Now().Add(20 * time.Second); time.Now().Before(limit); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, host := range cluster.hosts {
			if host.isReady() {
				ready++
			}
		}
		if ready == len(cluster.hosts) {
			cluster.record.say("%d hosts are ready", ready)
			return
		}
	}
	fail("the hosts were not ready within 20 s")
}

// balance checks the hosts once a second, as the platform does.
func (cluster *cluster) balance() {
	for _, host := range cluster.hosts {
		host.inRotation = true
		go func() {
			for range time.Tick(time.Second) {
				ready := host.isReady()
				host.mu.Lock()
				if ready {
					host.misses, host.inRotation = 0, true
				} else if host.misses++; host.misses >= 2 {
					if host.inRotation {
						cluster.record.note("%s is out of rotation", host.name)
					}
					host.inRotation = false
				}
				host.mu.Unlock()
			}
		}()
	}
}

// zonePicker returns the function by which the platform picks hosts for the clients
// in a zone.
func (cluster *cluster) zonePicker(zone string) func(number int) int {
	return func(number int) int { return cluster.pick(zone, number) }
}

// pick returns a host that gets a new connection of a client in a zone: one of
// those in rotation, any of the zone when these are fewer than half, and any of
// the other zones when there is none.
func (cluster *cluster) pick(zone string, number int) int {
	var own, inRotation, others []int
	for index, host := range cluster.hosts {
		if host.zone != zone {
			others = append(others, index)
			continue
		}
		own = append(own, index)
		host.mu.Lock()
		if host.inRotation {
			inRotation = append(inRotation, index)
		}
		host.mu.Unlock()
	}
	switch {
	case len(inRotation) == 0 && len(others) > 0:
		return others[number%len(others)]
	case 2*len(inRotation) < len(own):
		return own[number%len(own)]
	}
	return inRotation[number%len(inRotation)]
}

// config returns a configuration with the given routes.
func config(version int, services []string, routes ...map[string]any) map[string]any {
	var backends []map[string]any
	for _, service := range services {
		backends = append(backends, map[string]any{"name": service, "health_check_path": "/healthz", "max_connections": 38, "protocol": "h1", "tls": false})
	}
	return map[string]any{
		"version": version, "routes": routes, "backends": backends,
		"limits": map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}
