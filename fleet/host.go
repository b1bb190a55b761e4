package fleet

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"

	"fescuehall/answer"
)

// Client is used for all calls to hosts of a fleet.
var Client = &http.Client{
	Timeout:   30 * time.Second,
	Transport: &http.Transport{MaxIdleConnsPerHost: 512},
}

// Stop ends the host by plan and waits for it.
func (host *Host) Stop() {
	host.cancel()
	<-host.done
}

// Ready reports whether the host takes callers' requests.
func (host *Host) Ready() bool {
	response, err := Client.Get(host.URL + "/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Post sends a document and reads another; it returns the HTTP status.
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

// Get reads a document.
func (host *Host) Get(path string, value any) error {
	response, err := Client.Get(host.URL + path)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return json.NewDecoder(response.Body).Decode(value)
}

// Ask sends a request.
func (host *Host) Ask(request answer.Request) (*answer.Answer, error) {
	got := &answer.Answer{}
	_, err := host.Post("/v1/query", request, got)
	return got, err
}

// Vanish closes the host's sockets and stops it without a word to its peers.
func (host *Host) Vanish() {
	host.sockets.Gossip.Close()
	host.sockets.Callers.Close()
	host.sockets.Peers.Close()
}
