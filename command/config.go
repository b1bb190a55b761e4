package command

import (
	"fmt"
	"time"

	"fescuehall/entry"
	"fescuehall/service"
)

func init() {
	register("config", "Show the active configuration of entry hosts, and its history.", &config{})
}

type config struct {
	Hosts   []string `default:"127.0.0.1:8080" env:"FESCUEHALL_HOST" help:"Caller addresses of entry hosts."`
	Full    bool     `help:"Print the configuration of the first host as JSON."`
	History int      `help:"Print this many of the latest versions."`
}

// Run prints each host's active version, the configuration or its history.
func (config *config) Run() error {
	if config.Full {
		var active entry.Config
		if err := (Target{Host: config.Hosts[0]}).get("/v1/config", &active); err != nil {
			return err
		}
		return printJSON(active.Configuration)
	}
	if config.History > 0 {
		return config.history(Target{Host: config.Hosts[0]})
	}
	failed := 0
	for _, host := range config.Hosts {
		var active entry.Config
		if err := (Target{Host: host}).get("/v1/config", &active); err != nil {
			fmt.Printf("%-22s unreachable: %v\n", host, err)
			failed++
			continue
		}
		fmt.Printf("%-22s version %d, patch %s\n", host, active.Version, active.PatchID)
	}
	if failed > 0 {
		return fmt.Errorf("%d of %d hosts did not answer", failed, len(config.Hosts))
	}
	return nil
}

func (config *config) history(target Target) error {
	path := "/v1/history/head"
	for range config.History {
		var record service.Record
		if err := target.get(path, &record); err != nil {
			return err
		}
		when := time.UnixMilli(record.TimeMillis).UTC().Format(time.DateTime)
		fmt.Printf("%6d  %s  %s  %s  %d parts changed, %d removed\n", record.Version, when, record.PatchID, record.Operator, len(record.Changed), len(record.Removed))
		if record.Version <= 1 {
			return nil
		}
		path = fmt.Sprintf("/v1/history/%d", record.Version-1)
	}
	return nil
}
