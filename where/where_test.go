package where_test

import (
	"os"

	"fescuehall/where"
)

// A request of which one shard is gathered by a peer.
func ExampleExplanation_WriteText() {
	unknown := where.Replica{Ramp: 1, OwnAgeMillis: -1, LoadAgeMillis: -1, SlownessAgeMillis: -1}
	measured, leaving, slow := unknown, unknown, unknown
	measured.ID, measured.FailureDomain, measured.ScoreMillis, measured.OwnMillis, measured.OwnAgeMillis = "a-1", "north1", 9.5, 4.2, 120
	measured.Running, measured.Waiting, measured.LoadAgeMillis = 2, 1, 80
	leaving.ID, leaving.FailureDomain, leaving.Excluded = "a-2", "north1", "said that it leaves"
	slow.ID, slow.FailureDomain, slow.Ramp, slow.DistanceMillis, slow.ScoreMillis = "b-1", "south1", 0.25, 30, 31
	explanation := where.Explanation{
		Host: "h1", FailureDomain: "north1", Version: 7, Rank: 1,
		Route:   &where.Route{Name: "search", Host: "desk.example", Prefix: "/search/", Shards: 2, MinShards: 1},
		Account: &where.Account{Name: "acme", Rate: 20, Burst: 40, Tokens: 3},
		Bundles: []where.Bundle{{Peer: "h2", FailureDomain: "south1", Remote: true, Shards: []string{"b"}}},
		Parts: []where.Part{
			{Service: "a", GatheredBy: "h1", Chosen: "a-1", Replicas: []where.Replica{measured, leaving}},
			{Service: "b", GatheredBy: "h2", Replicas: []where.Replica{slow}},
		},
	}
	_ = explanation.WriteText(os.Stdout)
	refused := where.Explanation{Host: "h1", FailureDomain: "north1", Version: 7, Refusal: &where.Refusal{Status: 404, Code: "UnknownRoute", Detail: "no route in version 7"}}
	_ = refused.WriteText(os.Stdout)
	// Output:
	// host h1 in north1, configuration version 7
	// route search: desk.example/search/, rank 1, merges 2 shards, at least 1
	// workspace acme: 20 requests a second, burst 40; this host has 3 tokens
	// sent
	// gathered by h2 in south1, 1 of the shards: b
	//
	// SERVICE  BY         REPLICA  DOMAIN  SCORE    OUT  TIME    AGE       RUN  WAIT  AGE      SLOW  AGE  WHY
	// a        this host  a-1      north1  9.5 ms   0    4.2 ms  120.0 ms  2    1     80.0 ms  -     -    chosen
	// a        this host  a-2      north1  0.0 ms   0    -       -         -    -     -        -     -    excluded: said that it leaves
	// b        h2         b-1      south1  31.0 ms  0    -       -         -    -     -        -     -    considered with a probability of 0.25 after an ejection, 30.0 ms for its distance
	// host h1 in north1, configuration version 7
	// refused: 404 UnknownRoute, no route in version 7
}
