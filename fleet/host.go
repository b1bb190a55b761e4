package fleet

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"

	"fescuehall/answer"
)

// Client sends all HTTP requests to hosts of a fleet.
var Client = &http.Client{
	Timeout:   30 * time.Second,
	Transport: &http.Transport{MaxIdleConnsPerHost: 512},
}

// Stop begins a graceful stop of the host and waits until it has stopped.
func (host *Host) Stop() {
	host.cancel()
	<-host.done
}

// Ready reports whether the host accepts callers' requests.
func (host *Host) Ready() bool {
	response, err := Client.Get(host.URL + "/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Post sends body as JSON and decodes the response into value. It returns the
// HTTP status.
func (host *Host) Post(path string, body, value any) (int, error) {
	content, err := json.Marshal(body)
	if err != nil {
		return 0, err
	}
	response, err := Client.Post(host.URL+path, "application/json", bytes.NewReader(content))
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	return response.StatusCode, json.NewDecoder(response.Body).Decode(value)
}

// Get decodes the JSON document at a path into value.
func (host *Host) Get(path string, value any) error {
	response, err := Client.Get(host.URL + path)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return json.NewDecoder(response.Body).Decode(value)
}

// Query sends a request and returns its answer.
func (host *Host) Query(request answer.Request) (*answer.Answer, error) {
	reply := &answer.Answer{}
	_, err := host.Post("/v1/query", request, reply)
	return reply, err
}

// Crash closes the host's sockets without notifying its peers, as a crash does.
func (host *Host) Crash() {
	host.sockets.Gossip.Close()
	host.sockets.Callers.Close()
	host.sockets.Peers.Close()
}
