package front

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"

	"github.com/goldcrestspan/goldcrestspan/bundle"
	"github.com/goldcrestspan/goldcrestspan/customer"
	"github.com/goldcrestspan/goldcrestspan/result"
)

// identify returns the caller by client certificate or bearer token. Errors do not reveal which
// credentials would be valid.
func identify(config *bundle.Config, r *http.Request) (*bundle.Caller, *result.Error) {
	if r.TLS != nil && len(r.TLS.VerifiedChains) > 0 {
		name := r.TLS.VerifiedChains[0][0].Subject.CommonName
		if caller, ok := config.CallerByCertificate(name); ok {
			return caller, nil
		}
	}
	token, problem := customer.ParseAuthorization(r.Header.Values("Authorization"))
	if problem != nil {
		return nil, result.Errorf(result.Unauthorized, "send a bearer token or a client certificate: %s", problem)
	}
	caller, ok := config.CallerByToken(token)
	if !ok {
		return nil, result.Errorf(result.Unauthorized, "the token is of no known caller")
	}
	return caller, nil
}

// readBody decodes a JSON body strictly, up to the configured size.
func (f *Front) readBody(x *exchange, into any) *result.Error {
	limited := http.MaxBytesReader(x.w, x.r.Body, int64(f.options.MaxBodyBytes))
	raw, err := io.ReadAll(limited)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return result.Errorf(result.TooLarge, "the body is over %d bytes", tooLarge.Limit)
	}
	if err != nil {
		return result.Errorf(result.BadRequest, "the body could not be read in time")
	}
	return decodeStrict(raw, into)
}

func decodeStrict(raw []byte, into any) *result.Error {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return result.Errorf(result.BadRequest, "body at byte %d: %s", decoder.InputOffset(), err)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return result.Errorf(result.BadRequest, "body at byte %d: more after the JSON value", decoder.InputOffset())
	}
	return nil
}

// check validates route, class, deadline and body. A route that the caller may not use looks
// like one that does not exist.
func (f *Front) check(x *exchange, kind bundle.RouteKind, class string, deadlineMS int64, body []byte) (Query, *result.Error) {
	route, ok := x.config.Route(chi.URLParam(x.r, "route"), x.caller)
	if !ok || route.Kind != kind {
		return Query{}, result.Errorf(result.RouteNotAllowed, "")
	}
	if len(body) == 0 {
		return Query{}, result.Errorf(result.BadRequest, "body is missing")
	}
	if class == "" {
		class = route.Classes[0]
	}
	if !slices.Contains(route.Classes, class) {
		return Query{}, result.Errorf(result.BadRequest, "class %q: the route takes %s", class, strings.Join(route.Classes, ", "))
	}
	x.class = class
	timeout, e := timeoutFor(x.config, route, class, deadlineMS)
	if e != nil {
		return Query{}, e
	}
	return Query{
		Request:  x.id,
		Caller:   x.caller,
		Route:    route,
		Class:    class,
		Deadline: x.started.Add(timeout),
		Body:     body,
	}, nil
}

func timeoutFor(config *bundle.Config, route *bundle.Route, class string, deadlineMS int64) (time.Duration, *result.Error) {
	maxTimeout := time.Duration(route.MaxDeadline)
	if deadlineMS < 0 {
		return 0, result.Errorf(result.BadRequest, "deadline_ms %d: give 1 or more, or leave it out", deadlineMS)
	}
	if deadlineMS > 0 {
		// A longer deadline than the route allows is shortened rather than refused.
		return time.Duration(min(deadlineMS, maxTimeout.Milliseconds())) * time.Millisecond, nil
	}
	spec, _, _ := config.Class(class)
	return min(time.Duration(spec.DefaultDeadline), maxTimeout), nil
}
