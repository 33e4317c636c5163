package backend

import (
	"bytes"
	"encoding/binary"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/goldcrestspan/goldcrestspan/result"
)

// Protocol encodes calls as HTTP/1.1 requests and decodes the replies. The Client
// manages connections and deadlines and tracks what was sent.
type Protocol interface {
	// Request returns the HTTP request of a call; the Client sets its scheme and
	// address.
	Request(server Server, call Call) *http.Request
	// Key returns a hash of the ids of the call that the reply echoes. A connection carries no two
	// calls with the same key.
	Key(call Call) uint64
	// Read reads a reply to its end. reusable is false if the connection must be
	// closed. It returns an error if the reply is incomplete or corrupt.
	Read(response *http.Response, call Call) (res CallResult, reusable bool, err error)
}

// nativeProtocol is the protocol of PathRun and the Gcs headers.
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
		Header:        make(http.Header, callHeaderCount),
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

// Key implements Protocol. Attempts are numbered within this process, so that no two calls have
// the same key.
func (p nativeProtocol) Key(call Call) uint64 {
	var ids [len(call.Request) + 16]byte
	copy(ids[:], call.Request[:])
	binary.LittleEndian.PutUint64(ids[len(call.Request):], uint64(call.Attempt))
	binary.LittleEndian.PutUint64(ids[len(call.Request)+8:], uint64(call.Shard))
	return xxhash.Sum64(ids[:])
}

// Read implements Protocol.
func (p nativeProtocol) Read(response *http.Response, call Call) (CallResult, bool, error) {
	if !echoesMatch(response.Header, call) {
		return CallResult{Outcome: result.OutcomeUnknown, Fault: FaultMisroutedReply}, false, nil
	}
	switch response.StatusCode {
	case http.StatusOK:
		return p.readAnswer(response, call)
	case statusRefused:
		res, reusable := readRefusal(response)
		return res, reusable, nil
	case statusFailed:
		return CallResult{Outcome: result.OutcomeRan, Fault: FaultServerError, Reply: replyFromHeaders(response)}, discard(response), nil
	default:
		return CallResult{Outcome: result.OutcomeUnknown, Fault: FaultConnectionLost}, false, nil
	}
}

// readRefusal reads a 503 reply. It counts as not run only with HeaderNotRun: an
// intermediary may send a 503 after it forwarded the request.
func readRefusal(response *http.Response) (CallResult, bool) {
	reason := NotRunReason(response.Header.Get(HeaderNotRun))
	fault, known := notRunFaults[reason]
	if !known {
		return CallResult{Outcome: result.OutcomeUnknown, Fault: FaultConnectionLost}, false
	}
	retryAfterNs, _ := strconv.ParseInt(response.Header.Get(HeaderRetryAfterNs), 10, 64)
	return CallResult{
		Outcome:    result.OutcomeRefused,
		Fault:      fault,
		Reply:      replyFromHeaders(response),
		RetryAfter: max(0, time.Duration(retryAfterNs)),
	}, discard(response)
}

// discard reads a short body and reports whether the connection can be reused.
func discard(response *http.Response) bool {
	_, err := io.CopyN(io.Discard, response.Body, maxDiscardBytes)
	return errors.Is(err, io.EOF)
}

func replyFromHeaders(response *http.Response) Reply {
	incarnation, _ := strconv.ParseUint(response.Header.Get(HeaderIncarnation), 10, 64)
	return Reply{
		Load:          readLoad(response.Header),
		Incarnation:   incarnation,
		HeldSnapshots: parseVersions(response.Header.Get(HeaderHeld)),
	}
}

// readAnswer reads the body and verifies its length, digest and snapshot.
func (p nativeProtocol) readAnswer(response *http.Response, call Call) (CallResult, bool, error) {
	body, err := readFullBody(response, p.maxReplyBytes)
	if err != nil {
		return CallResult{}, false, err
	}
	if response.Header.Get(HeaderDigest) != Digest(body) {
		return CallResult{}, false, errors.New("the body doesn't match its digest")
	}
	reply := replyFromHeaders(response)
	reply.Body = body
	replySnapshot, err := strconv.ParseUint(response.Header.Get(HeaderSnapshot), 10, 64)
	if err != nil || replySnapshot != uint64(call.Snapshot) {
		return CallResult{Outcome: result.OutcomeRan, Fault: FaultSnapshotMismatch, Reply: Reply{Load: reply.Load, Incarnation: reply.Incarnation}}, true, nil
	}
	reply.Snapshot = call.Snapshot
	return CallResult{Outcome: result.OutcomeRan, Fault: FaultNone, Reply: reply}, true, nil
}

// readFullBody reads a body of the length in Content-Length to its end, so that
// the connection can be reused.
func readFullBody(response *http.Response, limit int64) ([]byte, error) {
	if response.ContentLength < 0 || response.ContentLength > limit {
		return nil, errors.Errorf("content length %d is unknown or exceeds the limit", response.ContentLength)
	}
	body, err := readLength(response.Body, response.ContentLength)
	if err != nil {
		return nil, err
	}
	var extra [1]byte
	if _, err := response.Body.Read(extra[:]); err != io.EOF {
		return nil, errors.New("the body is longer than its content length")
	}
	return body, nil
}

// readLength reads length bytes. Memory for a long body is taken as it arrives, as a faulty server
// may state any length.
func readLength(r io.Reader, length int64) ([]byte, error) {
	if length <= unreservedReplyBytes {
		body := make([]byte, length)
		_, err := io.ReadFull(r, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(r, length))
	if err == nil && int64(len(body)) < length {
		err = io.ErrUnexpectedEOF
	}
	return body, err
}
