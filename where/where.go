// Package where describes where a host would send a request now, and why: as JSON for
// tools, and as text for people.
package where

// Path is where a host serves explanations, on the address of its metrics. The
// parameters of a query are Authority, Target and Workspace.
const (
	Path      = "/debug/where"
	Authority = "authority"
	Target    = "target"
	Workspace = "workspace"
)

// Explanation is where a host would send a request now. It holds nothing of the request
// but the name of its workspace.
type Explanation struct {
	Host          string
	FailureDomain string
	// Version is that of the configuration, 0 before the first.
	Version uint64
	// Route is nil if there is none.
	Route *Route `json:",omitempty"`
	Rank  int
	// Account is the workspace, nil if the request has or needs none.
	Account *Account `json:",omitempty"`
	// Homes are the regions that may get the request, empty for all. One without a name
	// allows none.
	Homes []string `json:",omitempty"`
	// Refusal is the answer to a request that is refused, nil if it is sent.
	Refusal *Refusal `json:",omitempty"`
	// MayRefuse is the answer to requests that are refused with a probability of
	// RefusalProbability, nil if that is 0.
	MayRefuse          *Refusal `json:",omitempty"`
	RefusalProbability float64
	Bundles            []Bundle `json:",omitempty"`
	Parts              []Part   `json:",omitempty"`
	PartsLeftOut       int      `json:",omitempty"`
}

// Route is the route of a request.
type Route struct {
	Name, Host, Prefix string
	Public             bool
	// Shards is the number of services that each answer one part, MinShards how many
	// of them have to; 0 if a single service answers.
	Shards, MinShards int
	// Services share the requests by weight if a single service answers. One of them is
	// drawn for each request.
	Services []Share `json:",omitempty"`
}

// Share is a service with its share of a route's requests.
type Share struct {
	Service string
	Weight  float64
}

// Account is a workspace and the room that its allowance has.
type Account struct {
	Name string
	// Rate is the number of requests a second that are allowed, 0 for no limit.
	Rate, Burst float64
	// Tokens is the number of requests that this host can admit without asking.
	Tokens int
	// Keepers are the hosts that would be asked for a token, in this order.
	Keepers []string `json:",omitempty"`
	// Asking is set while an ask is in flight.
	Asking bool
}

// Refusal is the answer to a request that is refused.
type Refusal struct {
	Status int
	Code   string
	Detail string
	// RetryAfterMillis is 0 for an answer without Retry-After.
	RetryAfterMillis float64
}

// Bundle is a group of shards that a peer would gather.
type Bundle struct {
	Peer, FailureDomain string
	// Remote is set if the peer is in another failure domain.
	Remote bool
	Shards []string
}

// Part is a service that would be requested.
type Part struct {
	Service string
	// GatheredBy is the host that would choose the replica.
	GatheredBy string
	// Chosen is the replica that would get the first attempt, empty if there is none
	// now or a peer chooses it.
	Chosen string `json:",omitempty"`
	// AwaitsToken is set if the chosen replica is limited and gets the attempt once there
	// is a token for it.
	AwaitsToken bool `json:",omitempty"`
	// WaitMillis is how long the first attempt would wait for the end of a pause.
	WaitMillis      float64 `json:",omitempty"`
	Replicas        []Replica
	ReplicasLeftOut int `json:",omitempty"`
}

// Replica is a replica that is considered or excluded.
type Replica struct {
	ID, FailureDomain string
	// Excluded is why the replica gets no request, empty if it is considered.
	Excluded string `json:",omitempty"`
	// PausedMillis is how long the replica wants no requests.
	PausedMillis float64 `json:",omitempty"`
	// ColdMillis is how much longer the replica is cold.
	ColdMillis float64 `json:",omitempty"`
	// Ramp is the probability with which the replica is considered, below 1 after an
	// ejection.
	Ramp float64
	// ScoreMillis is the expected time of one more request, with DistanceMillis and
	// what is added for a suspected replica. The lowest score is chosen.
	ScoreMillis    float64
	DistanceMillis float64
	Suspected      bool
	// TimeMillis is the expected time of a request that doesn't wait. Outstanding counts
	// this host's requests, SilenceMillis is how long none was answered.
	TimeMillis    float64
	Outstanding   int
	SilenceMillis float64
	// OwnMillis is the average of this host's samples. Running, Waiting and Slowness are
	// as the replica last reported them. The age of a figure that is unknown is
	// negative.
	OwnMillis, OwnAgeMillis     float64
	Running, Waiting            float64
	LoadAgeMillis               float64
	Slowness, SlownessAgeMillis float64
}
