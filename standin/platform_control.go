package standin

import (
	"net/http"

	"github.com/goldcrestspan/goldcrestspan/metastore"
)

// PathControlHost adds a host to the host list (POST, a metastore.ListedHost) or
// takes one off (DELETE, with the query parameters kind and name).
const PathControlHost = "/control/host"

// platformControl is the body of the control interface.
type platformControl struct {
	Faults PlatformFaults `json:"faults"`
	// Calls is answered only.
	Calls *PlatformCalls `json:"calls,omitempty"`
	// Silence and Break act once on the open connections.
	Silence bool `json:"silence,omitempty"`
	Break   bool `json:"break,omitempty"`
}

// serveControl shows the faults and counts, or replaces the faults.
func (p *Platform) serveControl(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPut {
		var control platformControl
		if err := readControl(r, &control); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		p.SetFaults(control.Faults)
		if control.Silence {
			defer p.BlackholeConnections()
		}
		if control.Break {
			defer p.BreakConnections()
		}
	}
	calls := p.Calls()
	writeJSON(w, http.StatusOK, platformControl{Faults: p.Faults(), Calls: &calls})
}

func (p *Platform) serveAddHost(w http.ResponseWriter, r *http.Request) {
	var host metastore.ListedHost
	if err := readControl(r, &host); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.AddHost(host)
	writeJSON(w, http.StatusOK, host)
}

func (p *Platform) serveRemoveHost(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	p.RemoveHost(metastore.HostKind(query.Get(metastore.ParamKind)), query.Get("name"))
	writeJSON(w, http.StatusOK, struct{}{})
}
