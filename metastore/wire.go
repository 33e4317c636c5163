package metastore

import "net/http"

// Paths of the object API and the host list. Keys, prefixes and versions are query
// parameters; values are request bodies.
const (
	PathObject = "/v1/object"
	PathList   = "/v1/list"
	PathWatch  = "/v1/watch"
	PathHosts  = "/v1/hosts"
)

// Query parameters of the object API.
const (
	ParamKey    = "key"
	ParamPrefix = "prefix"
	ParamExpect = "expect" // the version that a write expects
	ParamAfter  = "after"  // the revision that a watch continues from
	ParamWait   = "wait"   // how long a watch may wait, as a Go duration
	ParamKind   = "kind"
)

// WatchReply is the body of the reply to a list or a watch. A watch without objects
// has timed out.
type WatchReply struct {
	Objects  []Object `json:"objects"`
	Revision Revision `json:"revision"`
}

// statusErrors maps status codes to errors. After any other status a write may have
// taken effect.
var statusErrors = map[int]error{
	http.StatusNotFound:              ErrNotFound,
	http.StatusConflict:              ErrConflict,
	http.StatusRequestEntityTooLarge: ErrTooLarge,
	http.StatusServiceUnavailable:    ErrUnavailable,
	http.StatusTooManyRequests:       ErrUnavailable,
}
