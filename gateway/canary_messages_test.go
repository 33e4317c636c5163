package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestspan/goldcrestspan/quarantine"
	"github.com/goldcrestspan/goldcrestspan/result"
)

// Guards against evidence that is lost on its way to the coordinator of the canaries.
func TestCanaryRequestSurvivesTheWire(t *testing.T) {
	is := is.New(t)
	request := quarantine.CanaryRequest{
		Fingerprint: 7, Host: "a", Service: "x", Duration: 2 * time.Second,
		Findings: quarantine.Findings{
			Reports: []quarantine.PastReport{{Report: quarantine.Report{Server: "s", Incarnation: 3, Canary: true}, Age: 40 * time.Millisecond}},
			Crashes: []quarantine.PastCrash{{Server: "t", Incarnation: 4, Age: 50 * time.Millisecond}},
		},
	}
	is.Equal(decodeCanaryRequest(encodeCanaryRequest(request)), request)
}

// Guards against a canary that runs although the coordinator has not granted it.
func TestCanaryDecisionSurvivesTheWire(t *testing.T) {
	is := is.New(t)
	reports := []quarantine.PastReport{{Report: quarantine.Report{Server: "s", Canary: true}, Age: time.Second}}
	for _, d := range []quarantine.CanaryDecision{
		{},
		{Cleared: true},
		{Refusal: quarantine.Suspected(7, 100*time.Millisecond)},
		{Refusal: quarantine.Quarantined(7, 9*time.Minute), Evidence: reports},
	} {
		is.Equal(decodeCanaryDecision(7, encodeCanaryDecision(d)), d)
	}
	is.Equal(decodeCanaryDecision(7, nil).Refusal.Code, result.Suspected)
}
