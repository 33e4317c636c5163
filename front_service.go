package goldcrestspan

import (
	"context"
	"encoding/json"
	"math"
	"math/rand/v2"
	"time"

	"github.com/goldcrestspan/goldcrestspan/admit"
	"github.com/goldcrestspan/goldcrestspan/booking"
	"github.com/goldcrestspan/goldcrestspan/bundle"
	"github.com/goldcrestspan/goldcrestspan/entry"
	"github.com/goldcrestspan/goldcrestspan/front"
	"github.com/goldcrestspan/goldcrestspan/quarantine"
	"github.com/goldcrestspan/goldcrestspan/result"
	"github.com/goldcrestspan/goldcrestspan/scatter"
)

// Query implements front.Service.
func (h *Host) Query(ctx context.Context, q front.Query) (*scatter.Answer, *result.Error) {
	if refusal := h.components.CrashDetector.quarantineRegistry.Check(h.components.Now(), fingerprint(q)); refusal != nil {
		return nil, refusal
	}
	spec, refusal := h.plan(q)
	if refusal != nil {
		return nil, refusal
	}
	started := h.components.Now()
	permit, refusal := h.components.Admission.Admit(started, h.admissionRequest(q, spec))
	if refusal != nil {
		return nil, refusal
	}
	answer := h.runQuery(ctx, q, spec)
	h.components.Admission.Release(h.components.Now(), permit, completionOf(answer))
	h.components.CrashDetector.recordAnswer(started, fingerprint(q), answer)
	return answer, nil
}

// fingerprint identifies a request for the quarantine by route, caller and body.
func fingerprint(q front.Query) quarantine.Fingerprint {
	return quarantine.FingerprintOf(q.Route.Name, q.Caller.Name, q.Body)
}

// admissionRequest describes a query to the admission controller.
func (h *Host) admissionRequest(q front.Query, spec scatter.QuerySpec) admit.Request {
	_, class, _ := h.Config().Class(q.Class)
	shards := spec.Snapshot.Shards
	services := make([]string, len(shards))
	for i := range shards {
		services[i] = shards[i].Service
	}
	return admit.Request{
		Caller:   q.Caller.Name,
		Weight:   q.Caller.Weight,
		Class:    class,
		Deadline: q.Deadline,
		Bytes:    len(q.Body),
		Services: services,
		MinLegs:  int(math.Ceil(spec.MinCoverage * float64(len(shards)))),
	}
}

// completionOf describes a finished query to the admission controller.
func completionOf(answer *scatter.Answer) admit.Completion {
	group := answer.Code.Group()
	completion := admit.Completion{
		Answered:  group == result.GroupComplete || group == result.GroupPartial,
		Abandoned: answer.Code == result.Cancelled,
		Legs:      make([]admit.LegTiming, len(answer.Legs)),
	}
	for i, l := range answer.Legs {
		completion.Legs[i] = admit.LegTiming{Service: l.Service, Time: l.Time, QueueTime: l.QueueTime, TimedOut: l.TimedOut}
	}
	return completion
}

// Ticket implements front.Service.
func (h *Host) Ticket(q front.Query) (string, *result.Error) {
	return h.components.Bookings.Issue(q.Caller.Name, q.Route.Name), nil
}

// Book implements front.Service.
func (h *Host) Book(ctx context.Context, b front.Booking) (result.Code, []byte, *result.Error) {
	outcome := h.components.Bookings.Book(ctx, booking.Request{
		RequestID:      b.Request,
		Ticket:         b.Ticket,
		IdempotencyKey: b.IdempotencyKey,
		Caller:         b.Caller.Name,
		Route:          b.Route.Name,
		Body:           b.Body,
		Deadline:       b.Deadline,
		Resent:         b.Resent,
	})
	if outcome.Answer == nil {
		return 0, nil, &result.Error{Code: outcome.Code, Detail: outcome.Detail}
	}
	return outcome.Code, outcome.Answer, nil
}

// runBooking runs a booking as a single leg that is neither hedged nor retried
// after an unknown outcome. Peers forward bookings too, so route and caller are
// looked up by name.
func (h *Host) runBooking(ctx context.Context, r booking.Request) booking.Result {
	q, refusal := h.bookingQuery(r)
	if refusal != nil {
		return booking.Result{Code: refusal.Code, Detail: refusal.Detail}
	}
	if refusal := h.components.CrashDetector.quarantineRegistry.Check(h.components.Now(), fingerprint(q)); refusal != nil {
		return booking.Result{Code: refusal.Code, Detail: refusal.Detail}
	}
	spec, refusal := h.plan(q)
	if refusal != nil {
		return booking.Result{Code: refusal.Code, Detail: refusal.Detail}
	}
	answer := h.components.Coordinator.Run(ctx, narrowToShard(spec))
	outcome := booking.Result{Code: answer.Code, Detail: answer.Detail}
	if answer.Code != result.Complete {
		return outcome
	}
	raw, err := json.Marshal(front.ReplyOf(answer, q.Route.Index, true))
	if err != nil {
		// The booking ran, so the result must not be "not run".
		return booking.Result{Code: result.BackendFailed, Detail: "the backend server's body is not JSON"}
	}
	outcome.Answer = raw
	return outcome
}

func (h *Host) bookingQuery(r booking.Request) (front.Query, *result.Error) {
	config := h.Config()
	if config == nil {
		return front.Query{}, result.Errorf(result.NotReady, "no configuration yet")
	}
	caller, ok := config.Caller(r.Caller)
	if !ok {
		return front.Query{}, result.Errorf(result.RouteNotAllowed, "")
	}
	route, ok := config.Route(r.Route, caller)
	if !ok || route.Kind != bundle.KindBooking {
		return front.Query{}, result.Errorf(result.RouteNotAllowed, "")
	}
	return front.Query{
		Request:  r.RequestID,
		Caller:   caller,
		Route:    route,
		Class:    route.Classes[0],
		Deadline: r.Deadline,
		Body:     r.Body,
	}, nil
}

// Hosts implements front.Service. The region defaults to this host's.
func (h *Host) Hosts(key, region, zone string) entry.Advice {
	if region == "" {
		region = h.components.Settings.Host.Region
	}
	request := entry.AdviceRequest{Key: key, Region: region, Zone: zone}
	ttl := time.Duration(h.Config().Policy.AdviceTTL)
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return h.components.Advisor.Advise(h.components.Member.View(), request, ttl, random)
}
