package front

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestspan/goldcrestspan/bundle"
	"github.com/goldcrestspan/goldcrestspan/entry"
	"github.com/goldcrestspan/goldcrestspan/result"
	"github.com/goldcrestspan/goldcrestspan/scatter"
)

// fakeService completes every query and takes no booking.
type fakeService struct {
	config  *bundle.Config
	queries int
	// deadline of the last query
	deadline time.Time
}

func (e *fakeService) Config() *bundle.Config { return e.config }
func (e *fakeService) Ready() *result.Error   { return nil }

func (e *fakeService) Query(_ context.Context, q Query) (*scatter.Answer, *result.Error) {
	e.queries++
	e.deadline = q.Deadline
	return &scatter.Answer{Request: q.Request, Code: result.Complete}, nil
}

func (e *fakeService) Ticket(Query) (string, *result.Error) { return "ticket", nil }

func (e *fakeService) Book(context.Context, Booking) (result.Code, []byte, *result.Error) {
	return 0, nil, result.Errorf(result.StoreUnavailable, "")
}

func (e *fakeService) Hosts(string, string, string) entry.Advice { return entry.Advice{} }

type noopCounter struct{}

func (noopCounter) Request(string, string, result.Code, time.Duration) {}
func (noopCounter) Coverage(string, string, int, int)                  {}

const (
	testToken    = "token"
	maxTestBytes = 4096
)

func newFront(t testing.TB) (*fakeService, http.Handler) {
	t.Helper()
	sum := sha256.Sum256([]byte(testToken))
	config, err := bundle.Compile(1, bundle.Documents{
		Classes: []bundle.Class{{Name: "standard", DefaultDeadline: bundle.Duration(time.Second)}},
		Callers: []bundle.Caller{{Name: "desk", TokenSHA256: hex.EncodeToString(sum[:])}},
		Routes: []bundle.Route{{
			Name: "slots", Kind: bundle.KindQuery, Index: "slots",
			Callers: []string{"desk"}, Classes: []string{"standard"},
		}},
	})
	if err != nil {
		t.Fatal(err)
	}
	service := &fakeService{config: config}
	options := Options{MaxBodyBytes: maxTestBytes, MaxConcurrent: 4, Now: time.Now}
	return service, New(service, noopCounter{}, options).Handler()
}

func post(handler http.Handler, path, body string) (int, Reply) {
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+testToken)
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, r)
	var reply Reply
	_ = json.Unmarshal(w.Body.Bytes(), &reply) // an invalid body leaves code 0
	return w.Code, reply
}

func TestInvalidRequestsGetCodesAndRunNothing(t *testing.T) {
	for _, tc := range []struct {
		name, path, body string
		code             result.Code
	}{
		{"unknown field", "/v1/query/slots", `{"bodyx":1}`, result.BadRequest},
		{"bad JSON", "/v1/query/slots", `{"body":`, result.BadRequest},
		{"two values", "/v1/query/slots", `{"body":1} {"body":2}`, result.BadRequest},
		{"no body", "/v1/query/slots", `{}`, result.BadRequest},
		{"unknown class", "/v1/query/slots", `{"body":1,"class":"batch"}`, result.BadRequest},
		{"negative deadline", "/v1/query/slots", `{"body":1,"deadline_ms":-1}`, result.BadRequest},
		{"too large", "/v1/query/slots", `{"body":"` + strings.Repeat("x", maxTestBytes) + `"}`, result.TooLarge},
		{"unknown route", "/v1/query/none", `{"body":1}`, result.RouteNotAllowed},
		{"booking on a query route", "/v1/bookings/slots", `{"body":1,"ticket":"t"}`, result.RouteNotAllowed},
		{"ticket and key", "/v1/bookings/slots", `{"body":1,"ticket":"t","idempotency_key":"k"}`, result.BadRequest},
		{"unknown path", "/v2/query", `{}`, result.RouteNotAllowed},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			service, handler := newFront(t)
			status, reply := post(handler, tc.path, tc.body)
			is.Equal(reply.Code, tc.code)
			is.Equal(status, tc.code.Info().Status)
			is.Equal(service.queries, 0)
		})
	}
}

// Guards against a caller that is let in without exactly one well-formed token, and a token in
// the reply that refuses it.
func TestCallersNeedOneToken(t *testing.T) {
	is := is.New(t)
	service, handler := newFront(t)
	for _, values := range [][]string{nil, {"Bearer "}, {"Basic token"}, {"Bearer token", "Bearer token"}, {"Bearer secret-token"}} {
		r := httptest.NewRequest(http.MethodPost, "/v1/query/slots", strings.NewReader(`{"body":1}`))
		r.Header["Authorization"] = values
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r)
		is.Equal(w.Code, http.StatusUnauthorized) // of values
		is.True(!strings.Contains(w.Body.String(), "secret"))
	}
	is.Equal(service.queries, 0)
}

// Guards against refusing, or obeying, a deadline above that of the route.
func TestLongDeadlineIsCappedByTheRoute(t *testing.T) {
	is := is.New(t)
	service, handler := newFront(t)
	_, reply := post(handler, "/v1/query/slots", `{"body":1,"deadline_ms":9223372036854775807}`)
	is.Equal(reply.Code, result.Complete)
	is.True(time.Until(service.deadline) <= 30*time.Second)
}

// FuzzQuery checks that any body gets a valid result code and that only valid queries run.
func FuzzQuery(f *testing.F) {
	f.Add(`{"body":{"day":"monday"},"class":"standard","deadline_ms":250,"detail":true}`)
	f.Add(`{"body":null}`)
	f.Add(`{"body":1,"deadline_ms":1e9}`)
	f.Add("\xff")
	f.Fuzz(func(t *testing.T, body string) {
		service, handler := newFront(t)
		status, reply := post(handler, "/v1/query/slots", body)
		if reply.Code == 0 || status != reply.Code.Info().Status {
			t.Fatalf("status %d, code %d", status, reply.Code)
		}
		if (reply.Code == result.Complete) != (service.queries == 1) {
			t.Fatalf("code %d, %d queries run", reply.Code, service.queries)
		}
	})
}
