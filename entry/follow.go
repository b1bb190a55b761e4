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
	// listInterval keeps a leaving backend server known within 3 s.
	listInterval = time.Second
	// idleListInterval is for hosts that are not chosen to follow the list.
	idleListInterval = 30 * time.Second
	fetchTimeout     = 2 * time.Second
	// syncTime is how long a starting host waits for peers to tell their
	// configuration version.
	syncTime = 2 * time.Second
)

// followHosts reads the host list: often on the hosts chosen to, and now and
// then on the others.
func (host *Host) followHosts(ctx context.Context) {
	log := host.Logbook.Part("hosts")
	healthy := true
	last := time.Time{}
	for ctx.Err() == nil {
		if host.chosen() || time.Since(last) > idleListInterval {
			last = time.Now()
			list, err := store.Hosts(ctx, host.platform, host.Settings.HostListURL)
			if err == nil {
				host.takeHosts(list)
			}
			if (err == nil) != healthy {
				healthy = err == nil
				log("Host list answers: %t.", healthy)
			}
		}
		pause(ctx, listInterval)
	}
}

// takeHosts learns entry hosts and leaving backend servers. A server that is
// listed as live again says nothing: the list lags.
func (host *Host) takeHosts(list store.HostList) {
	var updates []message.MemberUpdate
	for _, listed := range list.Hosts {
		if listed.Role == store.RoleEntry && listed.State == store.StateLive {
			updates = append(updates, message.MemberUpdate{Name: listed.Name, Address: listed.Address, FailureDomain: listed.FailureDomain})
		}
		if listed.Role == store.RoleBackend {
			host.takeServer(listed)
		}
	}
	host.detector.Learn(time.Now(), updates)
}

// takeServer marks a backend server when the list first says that it is
// leaving. Lines after that only keep the mark: they may be older than a new
// process at the address.
func (host *Host) takeServer(listed store.Host) {
	previous, seen := host.listed.Swap(listed.Address, listed.State)
	if listed.State != store.StateLeaving {
		return
	}
	if seen && previous == store.StateLeaving {
		host.marks.Repeat(listed.Address)
		return
	}
	host.marks.Set(listed.Address, "", replica.FromHostList)
}

// heard takes what a datagram tells beside membership.
func (host *Host) heard(gossip *message.Gossip) {
	for _, mark := range gossip.Marks {
		host.marks.Merge(mark)
	}
	if gossip.Version > host.current.View().Version && host.fetching.CompareAndSwap(false, true) {
		go func() {
			defer host.fetching.Store(false)
			host.fetch(gossip.From.Address)
		}()
	}
}

// fetch gets the configuration from a peer.
func (host *Host) fetch(address string) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	request := &message.ConfigFetch{Have: host.current.View().Version}
	body, err := request.MarshalMsg(nil)
	if err != nil {
		return
	}
	received, err := host.peer(address).Call(ctx, frame.ConfigFetch, body)
	if err != nil {
		host.log("Configuration of host %s can't be had: %v.", address, err)
		return
	}
	delta := &message.ConfigDelta{}
	if _, err := delta.UnmarshalMsg(received.Body); err != nil {
		host.log("Configuration of host %s can't be read: %v.", address, err)
		return
	}
	if err := host.current.Apply(delta, "host "+address); err != nil {
		host.log("Configuration of host %s can't be used: %v.", address, err)
	}
}

// sync greets the peers, and lets the host become ready when they have had
// time to tell of a newer configuration.
func (host *Host) sync(ctx context.Context) {
	deadline := time.Now().Add(syncTime)
	for time.Now().Before(deadline) {
		host.gossip.Send(host.detector.Greet(host.greeted()))
		pause(ctx, syncTime/4)
	}
	host.synced.Store(true)
}

// greeted returns a few peers: the ones in the settings and members at random.
func (host *Host) greeted() []string {
	const most = 8
	addresses := append([]string{}, host.Settings.Peers...)
	members, _ := host.detector.Hosts()
	for _, known := range members {
		if known.Name != host.Settings.Name && len(addresses) < most {
			addresses = append(addresses, known.Address)
		}
	}
	return addresses
}

// ready reports whether callers may be sent here, or why not.
func (host *Host) ready() (bool, string) {
	switch {
	case host.stopping.Load():
		return false, "host is stopping"
	case host.current.View().Version == 0:
		return false, "no configuration yet"
	case !host.synced.Load():
		return false, "peers have not been asked yet"
	}
	return true, "ready"
}
