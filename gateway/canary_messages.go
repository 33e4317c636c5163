package gateway

import (
	"time"

	"github.com/goldcrestspan/goldcrestspan/quarantine"
	"github.com/goldcrestspan/goldcrestspan/quarantine/quarantinepb"
	"github.com/goldcrestspan/goldcrestspan/result"
)

func encodeCanaryRequest(r quarantine.CanaryRequest) *quarantinepb.AcquireRequest {
	return &quarantinepb.AcquireRequest{
		Fingerprint: uint64(r.Fingerprint), Host: r.Host, Service: r.Service,
		DurationMs: milliseconds(r.Duration), Findings: encodeFindings(r.Findings),
	}
}

func decodeCanaryRequest(m *quarantinepb.AcquireRequest) quarantine.CanaryRequest {
	return quarantine.CanaryRequest{
		Fingerprint: quarantine.Fingerprint(m.GetFingerprint()), Host: m.GetHost(), Service: m.GetService(),
		Duration: duration(m.GetDurationMs()), Findings: decodeFindings(m.GetFindings()),
	}
}

func encodeCanaryDecision(d quarantine.CanaryDecision) *quarantinepb.AcquireReply {
	m := &quarantinepb.AcquireReply{Granted: d.Refusal == nil && !d.Cleared, Cleared: d.Cleared, Reports: encodeReports(d.Evidence)}
	if d.Refusal != nil {
		m.Quarantined = d.Refusal.Code == result.Quarantined
		m.RetryAfterMs = milliseconds(d.Refusal.RetryAfter)
	}
	return m
}

func decodeCanaryDecision(f quarantine.Fingerprint, m *quarantinepb.AcquireReply) quarantine.CanaryDecision {
	d := quarantine.CanaryDecision{Cleared: m.GetCleared(), Evidence: decodeReports(m.GetReports())}
	switch {
	case m.GetGranted() || m.GetCleared():
	case m.GetQuarantined():
		d.Refusal = quarantine.Quarantined(f, duration(m.GetRetryAfterMs()))
	default:
		d.Refusal = quarantine.Suspected(f, duration(m.GetRetryAfterMs()))
	}
	return d
}

func encodeFindings(f quarantine.Findings) *quarantinepb.Findings {
	m := &quarantinepb.Findings{Reports: encodeReports(f.Reports)}
	for _, c := range f.Crashes {
		m.Crashes = append(m.Crashes, &quarantinepb.Crash{Server: c.Server, Incarnation: c.Incarnation, AgeMs: milliseconds(c.Age)})
	}
	return m
}

func decodeFindings(m *quarantinepb.Findings) quarantine.Findings {
	f := quarantine.Findings{Reports: decodeReports(m.GetReports())}
	for _, c := range m.GetCrashes() {
		f.Crashes = append(f.Crashes, quarantine.PastCrash{Server: c.GetServer(), Incarnation: c.GetIncarnation(), Age: duration(c.GetAgeMs())})
	}
	return f
}

func encodeReports(reports []quarantine.PastReport) (encoded []*quarantinepb.Report) {
	for _, r := range reports {
		encoded = append(encoded, &quarantinepb.Report{Server: r.Server, Incarnation: r.Incarnation, Canary: r.Canary, AgeMs: milliseconds(r.Age)})
	}
	return encoded
}

func decodeReports(encoded []*quarantinepb.Report) (reports []quarantine.PastReport) {
	for _, m := range encoded {
		reports = append(reports, quarantine.PastReport{
			Report: quarantine.Report{Server: m.GetServer(), Incarnation: m.GetIncarnation(), Canary: m.GetCanary()},
			Age:    duration(m.GetAgeMs()),
		})
	}
	return reports
}

func milliseconds(d time.Duration) uint32 { return uint32(max(d, 0) / time.Millisecond) }

func duration(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }
