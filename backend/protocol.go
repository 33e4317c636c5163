package backend

import (
	"bytes"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/goldcrestspan/goldcrestspan/result"
)

// Protocol is what backend servers speak over HTTP/1.1: how a call is put into
// a request and what a reply says. The Client has the connections, deadlines
// and the proof of what was sent.
type Protocol interface {
	// Request makes the HTTP request of an attempt; the Client adds scheme,
	// address and context. Its Deadline is already bounded by the caller's.
	Request(server Server, call Call) *http.Request
	// Read takes a reply in, to its last byte. reusable is false when the
	// connection must be dropped. An error says that the reply was not whole.
	Read(response *http.Response, call Call) (attempt CallResult, reusable bool, err error)
}

// nativeProtocol is the product's own.
type nativeProtocol struct {
	maxReplyBytes int64
}

// Request implements Protocol.
func (p nativeProtocol) Request(server Server, call Call) *http.Request {
	request := &http.Request{
		Method:        http.MethodPost,
		URL:           &url.URL{Path: PathRun},
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        make(http.Header, callHeaders),
		Body:          io.NopCloser(bytes.NewReader(call.Body)),
		ContentLength: int64(len(call.Body)),
		Host:          server.Address,
	}
	if len(call.Body) == 0 {
		request.Body = http.NoBody
	}
	SetCallHeaders(request.Header, call, time.Until(call.Deadline))
	return request
}

// Read implements Protocol: it checks a reply from its head to its last byte.
func (p nativeProtocol) Read(response *http.Response, call Call) (CallResult, bool, error) {
	if !echoed(response.Header, call) {
		return CallResult{Outcome: result.OutcomeUnknown, Fault: FaultMisroutedReply}, false, nil
	}
	switch response.StatusCode {
	case http.StatusOK:
		return p.readAnswer(response, call)
	case statusRefusedNotRun:
		attempt, reusable := readRefusal(response)
		return attempt, reusable, nil
	case statusServerFailed:
		return CallResult{Outcome: result.OutcomeRan, Fault: FaultServerError, Reply: replyHead(response)}, discard(response), nil
	default:
		return CallResult{Outcome: result.OutcomeUnknown, Fault: FaultConnectionLost}, false, nil
	}
}

// readRefusal believes a 503 only with the server's explicit word. A bare 503
// may come from something between the two ends after the work was passed on.
func readRefusal(response *http.Response) (CallResult, bool) {
	reason := NotRunReason(response.Header.Get(HeaderNotRun))
	fault, known := notRunFaults[reason]
	if !known {
		return CallResult{Outcome: result.OutcomeUnknown, Fault: FaultConnectionLost}, false
	}
	wait, _ := strconv.ParseInt(response.Header.Get(HeaderRetryAfterNs), 10, 64)
	return CallResult{
		Outcome:    result.OutcomeRefused,
		Fault:      fault,
		Reply:      replyHead(response),
		RetryAfter: max(0, time.Duration(wait)),
	}, discard(response)
}

// discard reads a short body, which frees the connection for the next call.
func discard(response *http.Response) bool {
	_, err := io.CopyN(io.Discard, response.Body, discardedRefusalBody)
	return errors.Is(err, io.EOF)
}

func replyHead(response *http.Response) Reply {
	incarnation, _ := strconv.ParseUint(response.Header.Get(HeaderIncarnation), 10, 64)
	return Reply{
		Load:          readLoad(response.Header),
		Incarnation:   incarnation,
		HeldSnapshots: readVersions(response.Header.Get(HeaderHeld)),
	}
}

// readAnswer takes a body only if its length, its digest and its snapshot are
// the ones announced and asked for: a connection that breaks half-way would
// otherwise pass off half an answer as a whole one.
func (p nativeProtocol) readAnswer(response *http.Response, call Call) (CallResult, bool, error) {
	body, err := readWhole(response, p.maxReplyBytes)
	if err != nil {
		return CallResult{}, false, err
	}
	if response.Header.Get(HeaderDigest) != Digest(body) {
		return CallResult{}, false, errors.New("the body does not match its digest")
	}
	reply := replyHead(response)
	reply.Body = body
	answered, err := strconv.ParseUint(response.Header.Get(HeaderSnapshot), 10, 64)
	if err != nil || answered != uint64(call.Snapshot) {
		return CallResult{Outcome: result.OutcomeRan, Fault: FaultSnapshotMismatch, Reply: Reply{Load: reply.Load, Incarnation: reply.Incarnation}}, true, nil
	}
	reply.Snapshot = call.Snapshot
	return CallResult{Outcome: result.OutcomeRan, Fault: FaultNone, Reply: reply}, true, nil
}

// readWhole reads a body of the announced length, and its end, which frees the
// connection for the next call.
func readWhole(response *http.Response, limit int64) ([]byte, error) {
	if response.ContentLength < 0 || response.ContentLength > limit {
		return nil, errors.Errorf("length %d is unknown or over the limit", response.ContentLength)
	}
	body := make([]byte, response.ContentLength)
	if _, err := io.ReadFull(response.Body, body); err != nil {
		return nil, err
	}
	var end [1]byte
	if _, err := response.Body.Read(end[:]); err != io.EOF {
		return nil, errors.New("the body is longer than announced")
	}
	return body, nil
}
