package agent

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"rosedrift.example/rosedrift/internal/structs"
)

const (
	// maxAnnouncementBytes bounds the body of an announcement.
	maxAnnouncementBytes = 4 << 10
	// requestTimeout bounds reading a request to the announce endpoint, and writing the response.
	requestTimeout = 5 * time.Second
	// maxSlots is the largest number of slots that an announcement may state. A larger one is taken for a mistake.
	maxSlots = 1 << 16
)

// Announcement is the body of POST /v1/announce, which a backend server sends every second.
type Announcement struct {
	Service string `json:"service"`
	// Address is where the server accepts tasks (host:port).
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	Name        string `json:"name"`
}

// validate returns all faults joined into one error.
func (n *Announcement) validate() error {
	var faults []error
	if !structs.ValidName(n.Service) {
		faults = append(faults, fmt.Errorf("service: %q is no name", n.Service))
	}
	if !structs.ValidName(n.Name) {
		faults = append(faults, fmt.Errorf("name: %q is no name", n.Name))
	}
	if _, _, err := net.SplitHostPort(n.Address); err != nil {
		faults = append(faults, fmt.Errorf("address: %q is no host:port", n.Address))
	}
	if n.Slots < 1 || n.Slots > maxSlots {
		faults = append(faults, fmt.Errorf("slots: %d is not within 1 to %d", n.Slots, maxSlots))
	}
	if n.Connections < 1 {
		faults = append(faults, fmt.Errorf("connections: %d is below 1", n.Connections))
	}
	return errors.Join(faults...)
}

func (a *Agent) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/announce", a.postAnnounce)
	mux.HandleFunc("DELETE /v1/announce", a.deleteAnnounce)
	mux.HandleFunc("GET /healthz", a.options.Health.Live)
	mux.HandleFunc("GET /readyz", a.options.Health.Readiness)
	if a.options.Metrics != nil {
		mux.Handle("GET /metrics", a.options.Metrics)
	}
	return mux
}

func (a *Agent) postAnnounce(w http.ResponseWriter, r *http.Request) {
	var n Announcement
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes)).Decode(&n); err != nil {
		http.Error(w, "announcement: "+err.Error(), http.StatusBadRequest)
		return
	}
	if err := n.validate(); err != nil {
		http.Error(w, "announcement: "+strings.ReplaceAll(err.Error(), "\n", "; "), http.StatusBadRequest)
		return
	}
	if served := a.announce(&n); served != n.Service {
		text := fmt.Sprintf("announcement: this agent serves %q until it is restarted, not %q", served, n.Service)
		http.Error(w, text, http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (a *Agent) deleteAnnounce(w http.ResponseWriter, _ *http.Request) {
	a.input(Withdrawn{})
	w.WriteHeader(http.StatusNoContent)
}

// announce passes an announcement to the machine and returns the service that the agent serves, which is that of the
// first announcement. An announcement of another service is ignored.
func (a *Agent) announce(n *Announcement) (service string) {
	connections := min(n.Connections, MaxConnections)
	service = a.useBackend(n, connections)
	if service == n.Service {
		a.input(Announced{Server: n.Name, Service: n.Service, Slots: n.Slots, Connections: connections})
	}
	return service
}

// useBackend replaces the client of the backend server if the announced address or number of connections has changed.
func (a *Agent) useBackend(n *Announcement, connections int) (service string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.service == "" {
		a.service = n.Service
		close(a.announced)
	}
	if a.service != n.Service {
		return a.service
	}
	if a.client == nil || a.client.address != n.Address || a.client.connections != connections {
		if a.client != nil {
			a.client.close()
		}
		a.client = newBackendClient(n.Address, connections, a.mayStart)
	}
	return a.service
}
