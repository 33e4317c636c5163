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
	statusPath    = "/v1/status"
	statusTimeout = 2 * time.Second
	statusBytes   = 1 << 20
	statusAtOnce  = 64
)

// HostStatus is what one host has in force.
type HostStatus struct {
	Address    string `json:"address"`
	Host       string `json:"host"`
	Generation uint64 `json:"generation"`
	// GenerationsBehind is how many generations the host is behind the newest one known.
	GenerationsBehind uint64 `json:"lags"`
	// Error says why the host could not be asked.
	Error string `json:"error,omitempty"`
}

// FleetStatus is the accepted generation and what the hosts have in force.
type FleetStatus struct {
	// Accepted is the head's generation; 0: not known.
	Accepted uint64       `json:"accepted"`
	Hosts    []HostStatus `json:"hosts"`
}

// LaggingHosts counts the hosts that are behind or did not answer.
func (s FleetStatus) LaggingHosts() int {
	n := 0
	for _, host := range s.Hosts {
		if host.GenerationsBehind > 0 || host.Error != "" {
			n++
		}
	}
	return n
}

// Status asks each host's operators' listener what it has in force. An address
// is IP and port, or a URL for a listener with TLS. Accepted may be 0.
func Status(ctx context.Context, client *http.Client, accepted uint64, addresses []string) FleetStatus {
	status := FleetStatus{Accepted: accepted, Hosts: make([]HostStatus, len(addresses))}
	var asked sync.WaitGroup
	turns := make(chan struct{}, statusAtOnce)
	for i, address := range addresses {
		turns <- struct{}{}
		asked.Go(func() {
			status.Hosts[i] = askStatus(ctx, client, address)
			<-turns
		})
	}
	asked.Wait()
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

func askStatus(ctx context.Context, client *http.Client, address string) HostStatus {
	status := HostStatus{Address: address}
	if err := getStatus(ctx, client, address, &status); err != nil {
		status.Error = err.Error()
	}
	return status
}

func getStatus(ctx context.Context, client *http.Client, address string, into *HostStatus) error {
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
		return errors.Errorf("status %d", response.StatusCode)
	}
	var reply struct {
		Host       string `json:"host"`
		Generation uint64 `json:"generation"`
	}
	err = json.NewDecoder(io.LimitReader(response.Body, statusBytes)).Decode(&reply)
	into.Host, into.Generation = reply.Host, reply.Generation
	return errors.Wrap(err, "read the host's status")
}
