package booking

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
	"github.com/pkg/errors"
	"storj.io/drpc"

	"github.com/goldcrestspan/goldcrestspan/booking/bookingpb"
	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/result"
)

// DRPCPeers implements Peers over DRPC.
type DRPCPeers struct {
	// Dial opens a new connection to a peer, as peer.Pool.Dial does. A pooled
	// connection may have stalled while idle, which would leave the outcome of
	// the booking unknown.
	Dial func(ctx context.Context, address string) (drpc.Conn, error)
	// FindIssuer returns the peer address of the given incarnation of the host,
	// and whether it is known.
	FindIssuer func(host ident.HostID, incarnation ident.Incarnation) (address string, known bool)
	// ServingPeers returns the peer addresses of the other serving hosts. If nil,
	// there are no successors and no records are handed over.
	ServingPeers func() []string
}

// successorCount is how many hosts get the records of a stopped incarnation.
const successorCount = 3

// Issuer implements Peers.
func (p DRPCPeers) Issuer(host ident.HostID, incarnation ident.Incarnation) (string, bool) {
	return p.FindIssuer(host, incarnation)
}

// Successors implements Peers by rendezvous hashing: a host that joins or leaves
// changes at most one successor.
func (p DRPCPeers) Successors(host ident.HostID, incarnation ident.Incarnation) []string {
	if p.ServingPeers == nil {
		return nil
	}
	candidates := slices.Clone(p.ServingPeers())
	key := string(host) + "/" + strconv.FormatUint(uint64(incarnation), 10)
	var chosen []string
	for len(chosen) < successorCount && len(candidates) > 0 {
		winner := rendezvous.New(candidates, xxhash.Sum64String).Lookup(key)
		chosen = append(chosen, winner)
		candidates = slices.DeleteFunc(candidates, func(address string) bool { return address == winner })
	}
	return chosen
}

// call makes one call on a new connection to the peer.
func (p DRPCPeers) call(ctx context.Context, address string, f func(bookingpb.DRPCBookingClient) error) error {
	conn, err := p.Dial(ctx, address)
	if err != nil {
		return err
	}
	defer conn.Close()
	return f(bookingpb.NewDRPCBookingClient(conn))
}

// Forward implements Peers.
func (p DRPCPeers) Forward(ctx context.Context, address string, r Request) (Result, error) {
	var reply *bookingpb.ForwardReply
	err := p.call(ctx, address, func(client bookingpb.DRPCBookingClient) (err error) {
		reply, err = client.Forward(ctx, &bookingpb.ForwardRequest{
			RequestId:    r.RequestID[:],
			Ticket:       r.Ticket,
			Caller:       r.Caller,
			Route:        r.Route,
			DeadlineInNs: int64(time.Until(r.Deadline)),
			Body:         r.Body,
		})
		return err
	})
	if err != nil {
		return Result{}, errors.Wrap(err, "forward booking")
	}
	return fromReply(reply), nil
}

// HandOver implements Peers.
func (p DRPCPeers) HandOver(ctx context.Context, address string, from HostIncarnation, records Records) error {
	message := &bookingpb.HandOverRequest{
		Host: string(from.Host), Incarnation: uint64(from.Incarnation),
		Issued: records.issued, Floor: records.floor,
	}
	for sequence, r := range records.records {
		message.Records = append(message.Records, &bookingpb.Record{
			Sequence: sequence, Content: r.content[:],
			Code: uint32(r.result.Code), Detail: r.result.Detail, Answer: r.result.Answer,
		})
	}
	err := p.call(ctx, address, func(client bookingpb.DRPCBookingClient) error {
		_, err := client.HandOver(ctx, message)
		return err
	})
	return errors.Wrap(err, "hand over booking records")
}

// Recall implements Peers.
func (p DRPCPeers) Recall(ctx context.Context, address string, from HostIncarnation, sequence uint64, content Digest) (Result, bool, error) {
	var reply *bookingpb.RecallReply
	err := p.call(ctx, address, func(client bookingpb.DRPCBookingClient) (err error) {
		reply, err = client.Recall(ctx, &bookingpb.RecallRequest{
			Host: string(from.Host), Incarnation: uint64(from.Incarnation),
			Sequence: sequence, Content: content[:],
		})
		return err
	})
	if err != nil || !reply.Known || reply.Outcome == nil {
		return Result{}, false, errors.Wrap(err, "recall booking record")
	}
	return fromReply(reply.Outcome), true, nil
}

func fromReply(reply *bookingpb.ForwardReply) Result {
	return Result{Code: result.Code(reply.Code), Detail: reply.Detail, Answer: reply.Answer}
}

func toReply(outcome Result) *bookingpb.ForwardReply {
	return &bookingpb.ForwardReply{Code: uint32(outcome.Code), Detail: outcome.Detail, Answer: outcome.Answer}
}

// Register adds the booking service to the peer server.
func (e *Executor) Register(mux drpc.Mux) error {
	return errors.Wrap(bookingpb.DRPCRegisterBooking(mux, server{executor: e}), "register booking service")
}

// server implements the DRPC booking service.
type server struct {
	executor *Executor
}

// Forward implements the booking service.
func (s server) Forward(ctx context.Context, in *bookingpb.ForwardRequest) (*bookingpb.ForwardReply, error) {
	r := Request{
		Ticket:   in.Ticket,
		Caller:   in.Caller,
		Route:    in.Route,
		Body:     in.Body,
		Deadline: time.Now().Add(time.Duration(in.DeadlineInNs)),
	}
	if len(in.RequestId) != len(r.RequestID) {
		return nil, errors.New("request id has the wrong length")
	}
	copy(r.RequestID[:], in.RequestId)
	return toReply(s.executor.Forwarded(ctx, r)), nil
}

// HandOver implements the booking service.
func (s server) HandOver(_ context.Context, in *bookingpb.HandOverRequest) (*bookingpb.HandOverReply, error) {
	records := Records{issued: in.Issued, floor: in.Floor, records: make(map[uint64]record, len(in.Records))}
	for _, r := range in.Records {
		content, err := readDigest(r.Content)
		if err != nil {
			return nil, err
		}
		records.records[r.Sequence] = record{
			content: content,
			result:  Result{Code: result.Code(r.Code), Detail: r.Detail, Answer: r.Answer},
		}
	}
	s.executor.acceptRecords(HostIncarnation{Host: ident.HostID(in.Host), Incarnation: ident.Incarnation(in.Incarnation)}, records)
	return &bookingpb.HandOverReply{}, nil
}

// Recall implements the booking service.
func (s server) Recall(_ context.Context, in *bookingpb.RecallRequest) (*bookingpb.RecallReply, error) {
	content, err := readDigest(in.Content)
	if err != nil {
		return nil, err
	}
	from := HostIncarnation{Host: ident.HostID(in.Host), Incarnation: ident.Incarnation(in.Incarnation)}
	outcome, known := s.executor.recallLocally(from, in.Sequence, content)
	return &bookingpb.RecallReply{Known: known, Outcome: toReply(outcome)}, nil
}

func readDigest(raw []byte) (Digest, error) {
	var d Digest
	if len(raw) != len(d) {
		return d, errors.New("digest has the wrong length")
	}
	copy(d[:], raw)
	return d, nil
}
