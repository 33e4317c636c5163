package client_test

import (
	"context"
	"fmt"
	"time"

	"github.com/goldcrestspan/goldcrestspan/bundle"
	"github.com/goldcrestspan/goldcrestspan/client"
	"github.com/goldcrestspan/goldcrestspan/standin"
	"github.com/goldcrestspan/goldcrestspan/testbed"
)

// A booking is sent under a ticket. Sent again, as after a lost reply, it does
// not run again: the first one's outcome comes back.
func ExampleClient_Book() {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	bed, err := startBed(ctx)
	if err != nil {
		fmt.Println(err)
		return
	}
	defer bed.Close()
	caller, err := client.New(client.Options{Seeds: bed.CallerAddresses(), Token: "secret"})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer caller.Close()
	ticket, err := caller.Ticket(ctx, "book")
	if err != nil {
		fmt.Println(err)
		return
	}
	body := []byte(`{"key":"shelter-7","slot":"monday"}`)
	for _, resent := range []bool{false, true} {
		answer, err := caller.Book(ctx, "book", ticket, client.Booking{Body: body, Resent: resent})
		if err != nil {
			fmt.Println(err)
			return
		}
		fmt.Println(answer.Name)
	}
	fmt.Println("runs:", bed.Record.Count())
	// Output:
	// complete
	// complete
	// runs: 1
}

// startBed stands for the system that a caller has before it.
func startBed(ctx context.Context) (*testbed.Cluster, error) {
	return testbed.Start(ctx, testbed.Config{
		Hosts: 1,
		Groups: []testbed.ServiceGroup{{
			Index: "slots", Services: 2, Servers: 2, Slots: 2, Connections: 25,
			Time: standin.ServiceTime{Base: time.Millisecond},
		}},
		Documents: bundle.Documents{
			Classes: []bundle.Class{{Name: "standard", DefaultDeadline: bundle.Duration(10 * time.Second)}},
			Callers: []bundle.Caller{{Name: "desk", TokenSHA256: testbed.TokenHash("secret")}},
			Routes: []bundle.Route{{
				Name: "book", Kind: bundle.KindBooking, Index: "slots", Callers: []string{"desk"},
				Classes: []string{"standard"}, Prefer: bundle.PreferCoverage, MinCoverage: 1,
			}},
		},
	})
}
