package front

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-chi/chi/v5"

	"github.com/goldcrestspan/goldcrestspan/booking"
	"github.com/goldcrestspan/goldcrestspan/bundle"
	"github.com/goldcrestspan/goldcrestspan/entry"
	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/result"
	"github.com/goldcrestspan/goldcrestspan/scatter"
)

// Headers of answers.
const (
	// HeaderRequestID echoes the request's identifier.
	HeaderRequestID = "Goldcrestspan-Request-Id"
	// HeaderDigest is the xxhash64 of the answer's body, in hexadecimal, by
	// which a caller sees that it has the whole answer.
	HeaderDigest = "Goldcrestspan-Digest"
	// HeaderResent is "true" on a booking that was sent before, beside the
	// field resent, for refusals that come before the body is read.
	HeaderResent = "Goldcrestspan-Resent"
)

const millisecondsPerSecond = 1000

// Query is a checked query.
type Query struct {
	Request  ident.RequestID
	Caller   *bundle.Caller
	Route    *bundle.Route
	Class    string
	Deadline time.Time
	Body     []byte
}

// Booking is a checked booking.
type Booking struct {
	Query
	Ticket         string
	IdempotencyKey string
	// Resent is the caller's word that it sent the booking before.
	Resent bool
}

// Service answers checked requests; the host implements it.
type Service interface {
	// Config is the configuration in force; nil while the host has none.
	Config() *bundle.Config
	// Ready refuses work when the host can't take any: starting, stopping or
	// cut off.
	Ready() *result.Error
	Query(ctx context.Context, q Query) (*scatter.Answer, *result.Error)
	Ticket(q Query) (string, *result.Error)
	// Book returns the booking's code and the JSON of its Reply, which is the
	// recorded one when the booking ran before.
	Book(ctx context.Context, b Booking) (result.Code, []byte, *result.Error)
	// Hosts advises a caller on entry hosts. key tells its processes apart;
	// region and zone are its own, or empty.
	Hosts(key, region, zone string) entry.Advice
}

// Counter counts finished requests.
type Counter interface {
	Request(caller, class string, code result.Code, took time.Duration)
	Coverage(caller, class string, have, total int)
}

// Options bound what one request may cost.
type Options struct {
	MaxBodyBytes  int
	MaxConcurrent int
	Now           func() time.Time
}

// Front serves the callers' interface.
type Front struct {
	service Service
	counter Counter
	options Options
	open    chan struct{} // holds a token for each request under way
}

// New makes the callers' interface over a service.
func New(service Service, counter Counter, options Options) *Front {
	return &Front{
		service: service,
		counter: counter,
		options: options,
		open:    make(chan struct{}, options.MaxConcurrent),
	}
}

// Handler routes the callers' requests.
func (f *Front) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post("/v1/query/{route}", f.serve(f.query))
	r.Post("/v1/tickets/{route}", f.serve(f.ticket))
	r.Post("/v1/bookings/{route}", f.serve(f.book))
	r.Get("/v1/hosts", f.serve(f.hosts))
	r.NotFound(f.serve(func(*exchange) *result.Error {
		return result.Errorf(result.RouteNotAllowed, "no such path; see /v1/query/{route}, /v1/tickets/{route}, /v1/bookings/{route}, /v1/hosts")
	}))
	return r
}

// exchange is one HTTP request under way.
type exchange struct {
	w       http.ResponseWriter
	r       *http.Request
	id      ident.RequestID
	started time.Time
	caller  *bundle.Caller
	class   string
	config  *bundle.Config
}

// serve wraps a handler: identity, concurrency, readiness, and the one place
// where refusals are written and requests counted.
func (f *Front) serve(handle func(*exchange) *result.Error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		x := &exchange{w: w, r: r, id: ident.NewRequestID(), started: f.options.Now()}
		if e := f.admitTo(x, handle); e != nil {
			f.refuse(x, e)
		}
	}
}

func (f *Front) admitTo(x *exchange, handle func(*exchange) *result.Error) *result.Error {
	select {
	case f.open <- struct{}{}:
		defer func() { <-f.open }()
	default:
		return unread(x, &result.Error{Code: result.Overloaded, Detail: "too many requests at once", RetryAfter: time.Second})
	}
	x.config = f.service.Config()
	if x.config == nil {
		return unread(x, result.Errorf(result.NotReady, "no configuration yet"))
	}
	caller, e := identify(x.config, x.r)
	if e != nil {
		return e
	}
	x.caller = caller
	return handle(x)
}

// unread refuses a request whose body was not read. A booking that was sent
// before says so in a header too, so that its earlier sending is not denied.
func unread(x *exchange, e *result.Error) *result.Error {
	if x.r.Header.Get(HeaderResent) == "true" {
		e.Code = booking.RefusalCode(e.Code, true)
	}
	return e
}

func (f *Front) query(x *exchange) *result.Error {
	var m QueryRequest
	if e := f.read(x, &m); e != nil {
		return e
	}
	q, e := f.check(x, bundle.KindQuery, m.Class, m.DeadlineMS, m.Body)
	if e != nil {
		return e
	}
	if e := f.service.Ready(); e != nil {
		return e
	}
	a, e := f.service.Query(x.r.Context(), q)
	if e != nil {
		return e
	}
	f.answer(x, a, q.Route.Index, m.Detail)
	return nil
}

func (f *Front) ticket(x *exchange) *result.Error {
	route, ok := x.config.Route(chi.URLParam(x.r, "route"), x.caller)
	if !ok || route.Kind != bundle.KindBooking {
		return result.Errorf(result.RouteNotAllowed, "")
	}
	if e := f.service.Ready(); e != nil {
		return e
	}
	ticket, e := f.service.Ticket(Query{Request: x.id, Caller: x.caller, Route: route})
	if e != nil {
		return e
	}
	f.write(x, http.StatusOK, TicketReply{Ticket: ticket})
	return nil
}

func (f *Front) book(x *exchange) *result.Error {
	var m BookingRequest
	if e := f.read(x, &m); e != nil {
		return e
	}
	if (m.Ticket == "") == (m.IdempotencyKey == "") {
		return result.Errorf(result.BadRequest, "give one of ticket and idempotency_key")
	}
	q, e := f.check(x, bundle.KindBooking, m.Class, m.DeadlineMS, m.Body)
	if e != nil {
		return e
	}
	if e := f.service.Ready(); e != nil {
		e.Code = booking.RefusalCode(e.Code, m.Resent)
		return e
	}
	b := Booking{Query: q, Ticket: m.Ticket, IdempotencyKey: m.IdempotencyKey, Resent: m.Resent}
	code, raw, e := f.service.Book(x.r.Context(), b)
	if e != nil {
		return e
	}
	f.counter.Request(x.caller.Name, x.class, code, f.options.Now().Sub(x.started))
	f.writeRaw(x, code.Info().Status, raw)
	return nil
}

func (f *Front) hosts(x *exchange) *result.Error {
	client, _, _ := net.SplitHostPort(x.r.RemoteAddr) // set by net/http
	asked := x.r.URL.Query()
	advice := f.service.Hosts(x.caller.Name+"@"+client, asked.Get("region"), asked.Get("zone"))
	x.w.Header().Set("Cache-Control", "private, max-age="+strconv.FormatInt(advice.TTLMillis/millisecondsPerSecond, 10))
	f.write(x, http.StatusOK, advice)
	return nil
}

func (f *Front) answer(x *exchange, a *scatter.Answer, index string, detail bool) {
	f.counter.Request(x.caller.Name, x.class, a.Code, f.options.Now().Sub(x.started))
	if a.Total > 0 {
		f.counter.Coverage(x.caller.Name, x.class, len(a.Parts), a.Total)
	}
	setRetryAfter(x.w, a.RetryAfter)
	f.write(x, a.Code.Info().Status, ReplyOf(a, index, detail))
}

func (f *Front) refuse(x *exchange, e *result.Error) {
	name := "unknown"
	if x.caller != nil {
		name = x.caller.Name
	}
	f.counter.Request(name, x.class, e.Code, f.options.Now().Sub(x.started))
	setRetryAfter(x.w, e.RetryAfter)
	f.write(x, e.Code.Info().Status, replyToError(x.id.String(), e))
}

func setRetryAfter(w http.ResponseWriter, after time.Duration) {
	if after <= 0 {
		return
	}
	seconds := int((after + time.Second - 1) / time.Second)
	w.Header().Set("Retry-After", strconv.Itoa(seconds))
}

// write sends a body as JSON.
func (f *Front) write(x *exchange, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		status = http.StatusInternalServerError
		raw = []byte(`{"code":501,"name":"backend_failed","detail":"a backend server's body is not JSON"}`)
	}
	f.writeRaw(x, status, raw)
}

// writeRaw sends the whole body at once with its length and digest, so that a
// caller can tell half an answer from a whole one.
func (f *Front) writeRaw(x *exchange, status int, raw []byte) {
	h := x.w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(raw)))
	h.Set(HeaderRequestID, x.id.String())
	h.Set(HeaderDigest, strconv.FormatUint(xxhash.Sum64(raw), 16))
	x.w.WriteHeader(status)
	_, _ = x.w.Write(raw) // a caller that has gone is not told
}
