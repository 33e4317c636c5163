package bundle

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func validDocuments() Documents {
	docs, err := Parse("bundle.yaml", []byte(Example))
	if err != nil {
		panic(err)
	}
	return docs
}

// Each row is a bundle that would do harm in force: a caller answered as
// another, a class starved, half a booking. It must be refused before
// acceptance, and by each host again.
func TestSemanticProblems(t *testing.T) {
	hash := strings.Repeat("ab", 32)
	for want, spoil := range map[string]func(*Documents){
		"names the caller \"ghost\", which does not exist": func(d *Documents) { d.Routes[0].Callers = []string{"ghost"} },
		"names the class \"ghost\", which does not exist":  func(d *Documents) { d.Routes[0].Classes = []string{"ghost"} },
		"names the caller \"screens\" twice":               func(d *Documents) { d.Routes[0].Callers = []string{"screens", "screens"} },
		"has no caller":                                    func(d *Documents) { d.Routes[0].Callers = nil },
		"two routes with the name":                         func(d *Documents) { d.Routes = append(d.Routes, d.Routes[0]) },
		"two callers with the name":                        func(d *Documents) { d.Callers = append(d.Callers, d.Callers[1]) },
		"two services with the name":                       func(d *Documents) { d.Services = append(d.Services, d.Services[0]) },
		"have the same credential":                         func(d *Documents) { d.Callers[0].TokenSHA256 = hash; d.Callers[1].TokenSHA256 = strings.ToUpper(hash) },
		"can't be recognised":                              func(d *Documents) { d.Callers[0].TokenSHA256 = "" },
		"is not a SHA-256":                                 func(d *Documents) { d.Callers[0].TokenSHA256 = "the-token-itself" },
		"shares add up to 1.3":                             func(d *Documents) { d.Classes[2].ReservedShare = 0.5 },
		"least_coverage: 1.5 is out of range":              func(d *Documents) { d.Routes[0].MinCoverage = 1.5 },
		"least_coverage: NaN is out of range":              func(d *Documents) { d.Routes[0].MinCoverage = math.NaN() },
		"takes partial answers":                            func(d *Documents) { d.Routes[2].MinCoverage = 0.5 },
		"would be cut off for latency":                     func(d *Documents) { d.Routes[2].Prefer = PreferLatency },
		"has kind \"search\"":                              func(d *Documents) { d.Routes[0].Kind = "search" },
		"has prefer \"\"":                                  func(d *Documents) { d.Routes[0].Prefer = "" },
		"names no index":                                   func(d *Documents) { d.Routes[0].Index = "" },
		"there is no class":                                func(d *Documents) { d.Classes = nil },
		"default_deadline: 0s":                             func(d *Documents) { d.Classes[0].DefaultDeadline = 0 },
		"max_deadline: 1h0m0s":                             func(d *Documents) { d.Routes[0].MaxDeadline = Duration(time.Hour) },
		"slots_per_server: 0":                              func(d *Documents) { d.Services[0].SlotsPerServer = 0 },
		"connections_per_server: 0":                        func(d *Documents) { d.Services[0].ConnectionsPerServer = 0 },
		"hedge_budget: 0.9":                                func(d *Documents) { d.Policy.HedgeBudget = 0.9 },
		"advice_for: 1ms":                                  func(d *Documents) { d.Policy.AdviceTTL = Duration(time.Millisecond) },
		"has no reason":                                    func(d *Documents) { d.Quarantine = []QuarantineOverride{{Fingerprint: "5f"}} },
		"is not a name":                                    func(d *Documents) { d.Services[0].Name = "a b" },
	} {
		t.Run(want, func(t *testing.T) {
			is := is.New(t)
			docs := validDocuments()
			spoil(&docs)
			problems := Validate(docs)
			is.True(len(problems) > 0)
			is.True(strings.Contains(problems.Error(), want))
			is.True(!strings.Contains(problems.Error(), "the-token-itself")) // never shows a secret
		})
	}
}
