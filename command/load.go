package command

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"fescuehall/load"
)

func init() {
	register("load", "Send open-loop traffic to entry hosts and print what callers got.", &traffic{})
}

type traffic struct {
	Hosts   []string      `default:"127.0.0.1:8080" env:"FESCUEHALL_HOST" help:"Caller addresses of entry hosts, used in turn."`
	Streams []string      `arg:"" name:"stream" help:"SERVICE/KIND:RATE[:START:LENGTH], such as FrontDesk/Lookup:50 or PrintArchive/Pull:400:5s:10s for a flood."`
	Length  time.Duration `default:"10s" help:"Length of streams that name none, at most 10m."`
	Seed    uint64        `default:"1" help:"Seed of the arrivals."`
	Records []string      `help:"Record URLs of stand-in backend servers, to check the answers against."`
	At      []string      `sep:"none" placeholder:"TIME=URL=JSON" help:"Fault to post to a stand-in at a time, such as 2s=http://127.0.0.1:20000/fault={\"Drain\":true}. May be given several times."`
	Plot    string        `type:"path" help:"File for a plot of the latencies, .svg or .png."`
	Once    []string      `help:"Kinds that are not idempotent, for the check."`
}

const maxLoadLength = 10 * time.Minute

// Run sends the streams side by side.
func (traffic *traffic) Run() error {
	var streams []load.Stream
	for _, text := range traffic.Streams {
		stream, err := traffic.parse(text)
		if err != nil {
			return &ExitError{Code: ExitUsage, Detail: err.Error()}
		}
		streams = append(streams, stream)
	}
	ctx, cancel := interrupted()
	defer cancel()
	runner := &load.Runner{Name: fmt.Sprint(time.Now().UnixNano()), Client: &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 512}}}
	for _, host := range traffic.Hosts {
		runner.URLs = append(runner.URLs, "http://"+host)
	}
	if len(traffic.Records) > 0 {
		runner.Checker = traffic.checker()
	}
	if err := traffic.faults(runner); err != nil {
		return &ExitError{Code: ExitUsage, Detail: err.Error()}
	}
	results, err := runner.Run(ctx, streams)
	if err != nil {
		return err
	}
	if err := traffic.show(results); err != nil {
		return err
	}
	return verify(runner)
}

func (traffic *traffic) faults(runner *load.Runner) error {
	for _, text := range traffic.At {
		fault, err := load.ParseFault(text)
		if err != nil {
			return err
		}
		runner.Faults = append(runner.Faults, fault)
	}
	return nil
}

func (traffic *traffic) show(results []*load.Result) error {
	if err := load.Table(os.Stdout, results); err != nil {
		return err
	}
	if traffic.Plot == "" {
		return nil
	}
	return load.Plot(traffic.Plot, results)
}

func (traffic *traffic) checker() *load.Checker {
	checker := &load.Checker{Records: traffic.Records, Once: make(map[string]bool)}
	for _, kind := range traffic.Once {
		checker.Once[kind] = true
	}
	return checker
}

// verify prints what the checker found.
func verify(runner *load.Runner) error {
	if runner.Checker == nil {
		return nil
	}
	checked, wrong, err := runner.Checker.Finish(runner.Client)
	if err != nil {
		return err
	}
	fmt.Printf("%d answers checked, %d wrong\n", checked, len(wrong))
	for _, line := range wrong {
		fmt.Println("  " + line)
	}
	if len(wrong) > 0 {
		return fmt.Errorf("%d answers were wrong", len(wrong))
	}
	return nil
}

func (traffic *traffic) parse(text string) (load.Stream, error) {
	fields := strings.Split(text, ":")
	name, kind, ok := strings.Cut(fields[0], "/")
	if !ok || (len(fields) != 2 && len(fields) != 4) {
		return load.Stream{}, fmt.Errorf("stream %q is not SERVICE/KIND:RATE[:START:LENGTH]", text)
	}
	rate, err := strconv.ParseFloat(fields[1], 64)
	if err != nil || rate <= 0 {
		return load.Stream{}, fmt.Errorf("stream %q has rate %q, want a number above 0", text, fields[1])
	}
	stream := load.Stream{Service: name, Kind: kind, Rate: rate, Length: traffic.Length, Key: "key", Seed: traffic.Seed}
	if len(fields) == 4 {
		if stream.Start, err = time.ParseDuration(fields[2]); err != nil {
			return load.Stream{}, fmt.Errorf("stream %q has start %q, want a duration", text, fields[2])
		}
		if stream.Length, err = time.ParseDuration(fields[3]); err != nil {
			return load.Stream{}, fmt.Errorf("stream %q has length %q, want a duration", text, fields[3])
		}
	}
	if stream.Length <= 0 || stream.Start+stream.Length > maxLoadLength {
		return load.Stream{}, fmt.Errorf("stream %q ends after %v, want at most %v", text, stream.Start+stream.Length, maxLoadLength)
	}
	return stream, nil
}
