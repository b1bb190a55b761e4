// Command standin runs a stand-in for the platform or for backend servers.
package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kong"

	"fescuehall/standin"
)

type storeCommand struct {
	Address string `arg:"" help:"IP address and port to listen on."`
}

// Run serves the store stand-in.
func (storeCommand *storeCommand) Run() error {
	return http.ListenAndServe(storeCommand.Address, (&standin.Store{}).Handler())
}

type hostListCommand struct {
	Address string `arg:"" help:"IP address and port to listen on."`
}

// Run serves the host list stand-in.
func (hostListCommand *hostListCommand) Run() error {
	return http.ListenAndServe(hostListCommand.Address, (&standin.HostList{}).Handler())
}

type backendCommand struct {
	Addresses      []string      `arg:"" help:"IP addresses and ports to listen on, one server on each."`
	Slots          int           `default:"2" help:"Requests that run concurrently."`
	Queue          int           `default:"0" help:"Requests that may wait for a slot; the rest is shed."`
	Connections    int           `default:"25" help:"Maximum number of open connections, 0 for no limit."`
	ConnectionCost time.Duration `default:"6ms" help:"Delay of a connection's first request."`
	ServiceTime    time.Duration `default:"5ms" help:"Median service time."`
	Spread         float64       `default:"0.3" help:"Standard deviation of the logarithm of the service time."`
	ColdTime       time.Duration `default:"0s" help:"Warm-up time after the start in which requests take 5 times as long."`
	Snapshots      []string      `default:"S1" help:"Snapshots that the servers have."`
	Seed           uint64        `default:"1" help:"Seed of the service times."`
}

// Run serves one backend server on each address.
func (backendCommand *backendCommand) Run() error {
	serveErrors := make(chan error)
	for index, address := range backendCommand.Addresses {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return err
		}
		server := backendCommand.server(uint64(index))
		go func() { serveErrors <- server.Serve(listener) }()
	}
	return <-serveErrors
}

func (backendCommand *backendCommand) server(index uint64) *standin.Server {
	return &standin.Server{
		Model: standin.Model{
			Slots:          backendCommand.Slots,
			Queue:          backendCommand.Queue,
			Connections:    backendCommand.Connections,
			ConnectionCost: backendCommand.ConnectionCost,
			ServiceTime:    backendCommand.ServiceTime,
			Spread:         backendCommand.Spread,
			ColdTime:       backendCommand.ColdTime,
			Seed:           backendCommand.Seed + index,
			RecordRequests: true,
		},
		Snapshots: backendCommand.Snapshots,
		Instance:  fmt.Sprintf("%d-%d", os.Getpid(), index),
	}
}

type setCommand struct {
	URL  string `arg:"" help:"URL to post to, such as http://127.0.0.1:9000/fault."`
	JSON string `arg:"" help:"JSON document to post."`
}

// Run posts a document, such as a fault, to a running stand-in.
func (setCommand *setCommand) Run() error {
	response, err := http.Post(setCommand.URL, "application/json", strings.NewReader(setCommand.JSON))
	if err != nil {
		return err
	}
	return printBody(response)
}

type getCommand struct {
	URL string `arg:"" help:"URL to read, such as http://127.0.0.1:9000/record."`
}

// Run prints the response of a running stand-in.
func (getCommand *getCommand) Run() error {
	response, err := http.Get(getCommand.URL)
	if err != nil {
		return err
	}
	return printBody(response)
}

func printBody(response *http.Response) error {
	defer response.Body.Close()
	if _, err := io.Copy(os.Stdout, response.Body); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %s", response.Status)
	}
	return nil
}

func main() {
	var commands struct {
		Store    storeCommand    `cmd:"" help:"Run the configuration store."`
		HostList hostListCommand `cmd:"" help:"Run the host list."`
		Backend  backendCommand  `cmd:"" help:"Run backend servers."`
		Set      setCommand      `cmd:"" help:"Post a fault or a host list to a running stand-in."`
		Get      getCommand      `cmd:"" help:"Read a record, counts or any other URL of a running stand-in."`
	}
	parsed := kong.Parse(&commands, kong.Name("standin"), kong.Description("Stand-ins for the platform and for backend servers."))
	parsed.FatalIfErrorf(parsed.Run())
}
