package rollout

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	statusPath                  = "/v1/status"
	statusTimeout               = 2 * time.Second
	maxStatusBytes              = 1 << 20
	maxConcurrentStatusRequests = 64
)

// HostStatus is the active configuration of one host.
type HostStatus struct {
	Address    string `json:"address"`
	Host       string `json:"host"`
	Generation uint64 `json:"generation"`
	// GenerationsBehind is the difference from the newest generation known.
	GenerationsBehind uint64 `json:"lags"`
	// Error says why the host's status could not be read.
	Error string `json:"error,omitempty"`
}

// FleetStatus is the accepted generation and the hosts' active ones.
type FleetStatus struct {
	// Accepted is the generation of the head; 0 if unknown.
	Accepted uint64       `json:"accepted"`
	Hosts    []HostStatus `json:"hosts"`
}

// LaggingHosts returns how many hosts are behind or did not answer.
func (s FleetStatus) LaggingHosts() int {
	n := 0
	for _, host := range s.Hosts {
		if host.GenerationsBehind > 0 || host.Error != "" {
			n++
		}
	}
	return n
}

// Status queries the operators' listener of each host. An address is IP and
// port, or a URL for a listener with TLS. accepted is the generation of the
// head, or 0 if unknown.
func Status(ctx context.Context, client *http.Client, accepted uint64, addresses []string) FleetStatus {
	status := FleetStatus{Accepted: accepted, Hosts: make([]HostStatus, len(addresses))}
	var requests sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentStatusRequests)
	for i, address := range addresses {
		slots <- struct{}{}
		requests.Go(func() {
			status.Hosts[i] = queryHost(ctx, client, address)
			<-slots
		})
	}
	requests.Wait()
	newest := accepted
	for _, host := range status.Hosts {
		newest = max(newest, host.Generation)
	}
	for i := range status.Hosts {
		if status.Hosts[i].Error == "" {
			status.Hosts[i].GenerationsBehind = newest - status.Hosts[i].Generation
		}
	}
	return status
}

func queryHost(ctx context.Context, client *http.Client, address string) HostStatus {
	status := HostStatus{Address: address}
	if err := fetchStatus(ctx, client, address, &status); err != nil {
		status.Error = err.Error()
	}
	return status
}

func fetchStatus(ctx context.Context, client *http.Client, address string, into *HostStatus) error {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	base := address
	if !strings.Contains(base, "://") {
		base = "http://" + base
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, base+statusPath, nil)
	if err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("host answered with HTTP status %d", response.StatusCode)
	}
	var reply struct {
		Host       string `json:"host"`
		Generation uint64 `json:"generation"`
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxStatusBytes)).Decode(&reply)
	into.Host, into.Generation = reply.Host, reply.Generation
	return errors.Wrap(err, "decode the host's status")
}
