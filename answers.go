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
	if refused := h.parts.Crashes.book.Check(h.parts.Now(), fingerprint(q)); refused != nil {
		return nil, refused
	}
	work, refused := h.plan(q)
	if refused != nil {
		return nil, refused
	}
	started := h.parts.Now()
	pass, refused := h.parts.Admission.Admit(started, h.ask(q, work))
	if refused != nil {
		return nil, refused
	}
	answer := h.run(ctx, q, work)
	h.parts.Admission.Release(h.parts.Now(), pass, observed(answer))
	h.parts.Crashes.answered(started, fingerprint(q), answer)
	return answer, nil
}

// fingerprint tells requests apart for the quarantine: the same route, caller
// and body crash the same servers.
func fingerprint(q front.Query) quarantine.Fingerprint {
	return quarantine.FingerprintOf(q.Route.Name, q.Caller.Name, q.Body)
}

// ask describes a query to the admission.
func (h *Host) ask(q front.Query, work scatter.QuerySpec) admit.Request {
	_, class, _ := h.Config().Class(q.Class)
	shards := work.Snapshot.Shards
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
		MinLegs:  int(math.Ceil(work.MinCoverage * float64(len(shards)))),
	}
}

// observed tells the admission what became of a query.
func observed(answer *scatter.Answer) admit.Completion {
	group := answer.Code.Group()
	o := admit.Completion{
		Answered:  group == result.GroupComplete || group == result.GroupPartial,
		Abandoned: answer.Code == result.Cancelled,
		Legs:      make([]admit.LegTiming, len(answer.Legs)),
	}
	for i, l := range answer.Legs {
		o.Legs[i] = admit.LegTiming{Service: l.Service, Time: l.Time, QueueTime: l.QueueTime, TimedOut: l.TimedOut}
	}
	return o
}

// Ticket implements front.Service.
func (h *Host) Ticket(q front.Query) (string, *result.Error) {
	return h.parts.Desk.Issue(q.Caller.Name, q.Route.Name), nil
}

// Book implements front.Service.
func (h *Host) Book(ctx context.Context, b front.Booking) (result.Code, []byte, *result.Error) {
	outcome := h.parts.Desk.Book(ctx, booking.Request{
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

// runBooking is the one run of a booking: a single leg, never hedged and never
// retried after an unknown outcome. It also runs bookings that peers forwarded,
// so it finds route and caller by name.
func (h *Host) runBooking(ctx context.Context, r booking.Request) booking.Result {
	q, refused := h.bookingQuery(r)
	if refused != nil {
		return booking.Result{Code: refused.Code, Detail: refused.Detail}
	}
	if refused := h.parts.Crashes.book.Check(h.parts.Now(), fingerprint(q)); refused != nil {
		return booking.Result{Code: refused.Code, Detail: refused.Detail}
	}
	work, refused := h.plan(q)
	if refused != nil {
		return booking.Result{Code: refused.Code, Detail: refused.Detail}
	}
	answer := h.parts.Coordinator.Run(ctx, oneShard(work))
	outcome := booking.Result{Code: answer.Code, Detail: answer.Detail}
	if answer.Code != result.Complete {
		return outcome
	}
	raw, err := json.Marshal(front.ReplyOf(answer, q.Route.Index, true))
	if err != nil {
		// It ran; only its body can't be passed on.
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

// Hosts implements front.Service. A caller that names no region is taken to be
// in this host's.
func (h *Host) Hosts(key, region, zone string) entry.Advice {
	if region == "" {
		region = h.parts.Settings.Host.Region
	}
	asker := entry.AdviceRequest{Key: key, Region: region, Zone: zone}
	keep := time.Duration(h.Config().Policy.AdviceTTL)
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return h.parts.Advisor.Advise(h.parts.Member.View(), asker, keep, random)
}
