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
	register("load", "Send open-loop traffic to entry hosts and print the results.", &loadCommand{})
}

type loadCommand struct {
	Hosts   []string      `default:"127.0.0.1:8080" env:"FESCUEHALL_HOST" help:"Caller addresses of entry hosts, used in rotation."`
	Streams []string      `arg:"" name:"stream" help:"SERVICE/KIND:RATE[:START:LENGTH], such as FrontDesk/Lookup:50 or PrintArchive/Pull:400:5s:10s for a flood."`
	Length  time.Duration `default:"10s" help:"Length of streams that don't give one, at most 10m."`
	Seed    uint64        `default:"1" help:"Random seed of the arrival times."`
	Records []string      `help:"URLs of stand-in backend servers' records, to check the answers against."`
	At      []string      `sep:"none" placeholder:"TIME=URL=JSON" help:"Fault to post to a stand-in at a given time, such as 2s=http://127.0.0.1:20000/fault={\"Drain\":true}. May be given several times."`
	Plot    string        `type:"path" help:"File for a plot of the latencies, .svg or .png."`
	Once    []string      `help:"Kinds that are not idempotent; the check reports requests of these kinds that ran more than once."`
}

const maxLoadLength = 10 * time.Minute

// Run sends the streams concurrently.
func (loadCommand *loadCommand) Run() error {
	var streams []load.Stream
	for _, text := range loadCommand.Streams {
		stream, err := loadCommand.parseStream(text)
		if err != nil {
			return &ExitError{Code: ExitUsage, Detail: err.Error()}
		}
		streams = append(streams, stream)
	}
	ctx := signalContext()
	runner := &load.Runner{Name: fmt.Sprint(time.Now().UnixNano()), Client: &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 512}}}
	for _, host := range loadCommand.Hosts {
		runner.URLs = append(runner.URLs, "http://"+host)
	}
	if len(loadCommand.Records) > 0 {
		runner.Checker = loadCommand.newChecker()
	}
	if err := loadCommand.addFaults(runner); err != nil {
		return &ExitError{Code: ExitUsage, Detail: err.Error()}
	}
	results, err := runner.Run(ctx, streams)
	if err != nil {
		return err
	}
	if err := loadCommand.printResults(results); err != nil {
		return err
	}
	return checkAnswers(runner)
}

func (loadCommand *loadCommand) addFaults(runner *load.Runner) error {
	for _, text := range loadCommand.At {
		fault, err := load.ParseFault(text)
		if err != nil {
			return err
		}
		runner.Faults = append(runner.Faults, fault)
	}
	return nil
}

func (loadCommand *loadCommand) printResults(results []*load.Result) error {
	if err := load.Table(os.Stdout, results); err != nil {
		return err
	}
	if loadCommand.Plot == "" {
		return nil
	}
	return load.Plot(loadCommand.Plot, results)
}

func (loadCommand *loadCommand) newChecker() *load.Checker {
	checker := &load.Checker{RecordURLs: loadCommand.Records, NonIdempotent: make(map[string]bool)}
	for _, kind := range loadCommand.Once {
		checker.NonIdempotent[kind] = true
	}
	return checker
}

// checkAnswers compares the answers with the servers' records and prints the
// wrong ones.
func checkAnswers(runner *load.Runner) error {
	if runner.Checker == nil {
		return nil
	}
	checked, wrongAnswers, err := runner.Checker.Finish(runner.Client)
	if err != nil {
		return err
	}
	fmt.Printf("%d answers checked, %d wrong\n", checked, len(wrongAnswers))
	for _, line := range wrongAnswers {
		fmt.Println("  " + line)
	}
	if len(wrongAnswers) > 0 {
		return fmt.Errorf("%d answers were wrong", len(wrongAnswers))
	}
	return nil
}

func (loadCommand *loadCommand) parseStream(text string) (load.Stream, error) {
	fields := strings.Split(text, ":")
	serviceName, kind, ok := strings.Cut(fields[0], "/")
	if !ok || (len(fields) != 2 && len(fields) != 4) {
		return load.Stream{}, fmt.Errorf("stream %q is not SERVICE/KIND:RATE[:START:LENGTH]", text)
	}
	rate, err := strconv.ParseFloat(fields[1], 64)
	if err != nil || rate <= 0 {
		return load.Stream{}, fmt.Errorf("stream %q has rate %q, want a number above 0", text, fields[1])
	}
	stream := load.Stream{Service: serviceName, Kind: kind, Rate: rate, Length: loadCommand.Length, Key: "key", Seed: loadCommand.Seed}
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
