package entry

import (
	"context"
	"time"

	"fescuehall/frame"
	"fescuehall/message"
	"fescuehall/replica"
	"fescuehall/store"
)

const (
	// hostListInterval is short enough for a leaving backend server to be known
	// within 3 s.
	hostListInterval = time.Second
	// nonWatcherHostListInterval is for the hosts of a failure domain that are not
	// its watchers.
	nonWatcherHostListInterval = 30 * time.Second
	fetchTimeout               = 2 * time.Second
	// syncDuration is how long a starting host waits for peers to report their
	// configuration version.
	syncDuration = 2 * time.Second
)

// pollHostList reads the host list every hostListInterval on the watchers of a
// failure domain, and every nonWatcherHostListInterval on its other hosts.
func (host *Host) pollHostList(ctx context.Context) {
	log := host.Logbook.PartLogger("hosts")
	healthy := true
	lastRead := time.Time{}
	for ctx.Err() == nil {
		if host.isWatcher() || time.Since(lastRead) > nonWatcherHostListInterval {
			lastRead = time.Now()
			list, err := store.ReadHosts(ctx, host.platform, host.Settings.HostListURL)
			if err == nil {
				host.applyHostList(list)
			}
			if (err == nil) != healthy {
				healthy = err == nil
				log("Host list is reachable: %t.", healthy)
			}
		}
		sleep(ctx, hostListInterval)
	}
}

// applyHostList adds the listed entry hosts as members and marks leaving
// backend servers. It never clears a mark for a server that is listed as live,
// because the list lags behind.
func (host *Host) applyHostList(list store.HostList) {
	var updates []message.MemberUpdate
	for _, listed := range list.Hosts {
		if listed.Role == store.RoleEntry && listed.State == store.StateLive {
			updates = append(updates, message.MemberUpdate{Name: listed.Name, Address: listed.Address, FailureDomain: listed.FailureDomain})
		}
		if listed.Role == store.RoleBackend {
			host.markIfLeaving(listed)
		}
	}
	host.detector.AddMembers(time.Now(), updates)
}

// markIfLeaving marks a backend server as leaving when its listed state changes
// to leaving. Later reads of the same state only renew the mark, because they
// may be older than a new process at the address.
func (host *Host) markIfLeaving(listed store.Host) {
	previous, seen := host.listedStates.Swap(listed.Address, listed.State)
	if listed.State != store.StateLeaving {
		return
	}
	if seen && previous == store.StateLeaving {
		host.marks.Renew(listed.Address)
		return
	}
	host.marks.Set(listed.Address, "", replica.FromHostList)
}

// receiveGossip handles what a gossip datagram contains besides membership: it
// merges the marks of leaving backend servers, and fetches the configuration if
// the sender has a newer version.
func (host *Host) receiveGossip(gossip *message.Gossip) {
	for _, mark := range gossip.Marks {
		host.marks.Merge(mark)
	}
	if gossip.Version > host.current.View().Version && host.fetching.CompareAndSwap(false, true) {
		go func() {
			defer host.fetching.Store(false)
			host.fetchConfiguration(gossip.From.Address)
		}()
	}
}

// fetchConfiguration requests the configuration from a peer and makes it
// active.
func (host *Host) fetchConfiguration(address string) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	request := &message.ConfigFetch{Have: host.current.View().Version}
	body, err := request.MarshalMsg(nil)
	if err != nil {
		return
	}
	received, err := host.peerClient(address).Call(ctx, frame.ConfigFetch, body)
	if err != nil {
		host.log("Can't fetch the configuration from host %s: %v.", address, err)
		return
	}
	delta := &message.ConfigDelta{}
	if _, err := delta.UnmarshalMsg(received.Body); err != nil {
		host.log("Can't decode the configuration from host %s: %v.", address, err)
		return
	}
	if err := host.current.Apply(delta, "host "+address); err != nil {
		host.log("Can't apply the configuration from host %s: %v.", address, err)
	}
}

// joinPeers sends join messages to peers. After syncDuration, in which they can
// report a newer configuration, it lets the host become ready.
func (host *Host) joinPeers(ctx context.Context) {
	deadline := time.Now().Add(syncDuration)
	for time.Now().Before(deadline) {
		host.gossip.Send(host.detector.Join(host.joinAddresses()))
		sleep(ctx, syncDuration/4)
	}
	host.synced.Store(true)
}

// joinAddresses returns the addresses to send join messages to: the peers in
// the settings and, while there are fewer than maxAddresses, the first members
// by name.
func (host *Host) joinAddresses() []string {
	const maxAddresses = 8
	addresses := append([]string{}, host.Settings.Peers...)
	members, _ := host.detector.Hosts()
	for _, peer := range members {
		if peer.Name != host.Settings.Name && len(addresses) < maxAddresses {
			addresses = append(addresses, peer.Address)
		}
	}
	return addresses
}

// ready reports whether load balancers may send callers to this host, and the
// reason if not.
func (host *Host) ready() (bool, string) {
	switch {
	case host.stopping.Load():
		return false, "host is stopping"
	case host.current.View().Version == 0:
		return false, "no configuration yet"
	case !host.synced.Load():
		return false, "waiting for the configuration versions of peers"
	}
	return true, "ready"
}
