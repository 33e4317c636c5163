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

// DRPCPeers is Peers over drpc.
type DRPCPeers struct {
	// Dial opens a connection of its own to a peer's listener; peer.Pool.Dial
	// fits. A pooled one may have gone silent while it was idle, which would
	// turn the booking into an unknown one at its deadline.
	Dial func(ctx context.Context, address string) (drpc.Conn, error)
	// FindIssuer returns the peer's address of that life of the host; false when
	// another life is known, or none.
	FindIssuer func(host ident.HostID, incarnation ident.Incarnation) (address string, known bool)
	// ServingPeers returns the addresses of the peers' listeners of the other hosts
	// that serve; nil: nothing is handed over.
	ServingPeers func() []string
}

// successorCount is how many hosts get the records of a stopped life: two may
// be lost before an outcome is.
const successorCount = 3

// Issuer implements Peers.
func (l DRPCPeers) Issuer(host ident.HostID, incarnation ident.Incarnation) (string, bool) {
	return l.FindIssuer(host, incarnation)
}

// Successors implements Peers by rendezvous hashing: a host that comes or goes
// changes at most one successor of a life.
func (l DRPCPeers) Successors(host ident.HostID, incarnation ident.Incarnation) []string {
	if l.ServingPeers == nil {
		return nil
	}
	candidates := slices.Clone(l.ServingPeers())
	key := string(host) + "/" + strconv.FormatUint(uint64(incarnation), 10)
	var chosen []string
	for len(chosen) < successorCount && len(candidates) > 0 {
		winner := rendezvous.New(candidates, xxhash.Sum64String).Lookup(key)
		chosen = append(chosen, winner)
		candidates = slices.DeleteFunc(candidates, func(a string) bool { return a == winner })
	}
	return chosen
}

// call dials the peer for one call.
func (l DRPCPeers) call(ctx context.Context, address string, f func(bookingpb.DRPCBookingClient) error) error {
	conn, err := l.Dial(ctx, address)
	if err != nil {
		return err
	}
	defer conn.Close()
	return f(bookingpb.NewDRPCBookingClient(conn))
}

// Forward implements Peers.
func (l DRPCPeers) Forward(ctx context.Context, address string, r Request) (Result, error) {
	var reply *bookingpb.ForwardReply
	err := l.call(ctx, address, func(client bookingpb.DRPCBookingClient) (err error) {
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
		return Result{}, errors.Wrap(err, "forward a booking")
	}
	return fromReply(reply), nil
}

// HandOver implements Peers.
func (l DRPCPeers) HandOver(ctx context.Context, address string, from Life, records Records) error {
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
	err := l.call(ctx, address, func(client bookingpb.DRPCBookingClient) error {
		_, err := client.HandOver(ctx, message)
		return err
	})
	return errors.Wrap(err, "hand bookings over")
}

// Recall implements Peers.
func (l DRPCPeers) Recall(ctx context.Context, address string, from Life, sequence uint64, content Digest) (Result, bool, error) {
	var reply *bookingpb.RecallReply
	err := l.call(ctx, address, func(client bookingpb.DRPCBookingClient) (err error) {
		reply, err = client.Recall(ctx, &bookingpb.RecallRequest{
			Host: string(from.Host), Incarnation: uint64(from.Incarnation),
			Sequence: sequence, Content: content[:],
		})
		return err
	})
	if err != nil || !reply.Known || reply.Outcome == nil {
		return Result{}, false, errors.Wrap(err, "recall a booking")
	}
	return fromReply(reply.Outcome), true, nil
}

func fromReply(reply *bookingpb.ForwardReply) Result {
	return Result{Code: result.Code(reply.Code), Detail: reply.Detail, Answer: reply.Answer}
}

func toReply(outcome Result) *bookingpb.ForwardReply {
	return &bookingpb.ForwardReply{Code: uint32(outcome.Code), Detail: outcome.Detail, Answer: outcome.Answer}
}

// Register serves the desk to peers.
func (d *Executor) Register(mux drpc.Mux) error {
	return errors.Wrap(bookingpb.DRPCRegisterBooking(mux, server{desk: d}), "register the booking service")
}

// server is the desk as peers call it.
type server struct {
	desk *Executor
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
	return toReply(s.desk.Forwarded(ctx, r)), nil
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
	s.desk.takeOver(Life{Host: ident.HostID(in.Host), Incarnation: ident.Incarnation(in.Incarnation)}, records)
	return &bookingpb.HandOverReply{}, nil
}

// Recall implements the booking service.
func (s server) Recall(_ context.Context, in *bookingpb.RecallRequest) (*bookingpb.RecallReply, error) {
	content, err := readDigest(in.Content)
	if err != nil {
		return nil, err
	}
	from := Life{Host: ident.HostID(in.Host), Incarnation: ident.Incarnation(in.Incarnation)}
	outcome, known := s.desk.recallHere(from, in.Sequence, content)
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
