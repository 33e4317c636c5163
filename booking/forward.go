package booking

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc"

	"github.com/goldcrestspan/goldcrestspan/booking/bookingpb"
	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/result"
)

// Links is Peers over drpc.
type Links struct {
	// Dial opens a connection of its own to a peer's listener; peer.Pool.Dial
	// fits. A pooled one may have gone silent while it was idle, which would
	// turn the booking into an unknown one at its deadline.
	Dial func(ctx context.Context, address string) (drpc.Conn, error)
	// Find returns the peer's address of that life of the host; false when
	// another life is known, or none.
	Find func(host ident.HostID, life ident.Incarnation) (address string, known bool)
}

// Issuer implements Peers.
func (l Links) Issuer(host ident.HostID, life ident.Incarnation) (string, bool) {
	return l.Find(host, life)
}

// Forward implements Peers.
func (l Links) Forward(ctx context.Context, address string, r Request) (Result, error) {
	conn, err := l.Dial(ctx, address)
	if err != nil {
		return Result{}, errors.Wrap(err, "forward a booking")
	}
	defer conn.Close()
	reply, err := bookingpb.NewDRPCBookingClient(conn).Forward(ctx, &bookingpb.ForwardRequest{
		RequestId:    r.RequestID[:],
		Ticket:       r.Ticket,
		Caller:       r.Caller,
		Route:        r.Route,
		DeadlineInNs: int64(time.Until(r.Deadline)),
		Body:         r.Body,
	})
	if err != nil {
		return Result{}, errors.Wrap(err, "forward a booking")
	}
	return Result{Code: result.Code(reply.Code), Detail: reply.Detail, Answer: reply.Answer}, nil
}

// Register serves the desk to peers.
func (d *Desk) Register(mux drpc.Mux) error {
	return errors.Wrap(bookingpb.DRPCRegisterBooking(mux, server{desk: d}), "register the booking service")
}

// server is the desk as peers call it.
type server struct {
	desk *Desk
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
	outcome := s.desk.Forwarded(ctx, r)
	return &bookingpb.ForwardReply{Code: uint32(outcome.Code), Detail: outcome.Detail, Answer: outcome.Answer}, nil
}
