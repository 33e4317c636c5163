package metastore

import "net/http"

// Paths of the object API and the host list over HTTP. Keys, prefixes and
// versions are query parameters; values travel as the body.
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

// WatchReply is the body of a list, or of a watch that ended; there no objects
// say that the wait is over.
type WatchReply struct {
	Objects  []Object `json:"objects"`
	Revision Revision `json:"revision"`
}

// statusErrors maps the API's statuses to errors. A status that is not listed
// says nothing about whether a write took effect.
var statusErrors = map[int]error{
	http.StatusNotFound:              ErrNotFound,
	http.StatusConflict:              ErrConflict,
	http.StatusRequestEntityTooLarge: ErrTooLarge,
	http.StatusServiceUnavailable:    ErrUnavailable,
	http.StatusTooManyRequests:       ErrUnavailable,
}
