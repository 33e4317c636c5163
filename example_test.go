package goldcrestspan_test

import (
	"context"
	"fmt"
	"time"

	"github.com/goldcrestspan/goldcrestspan/bundle"
	"github.com/goldcrestspan/goldcrestspan/client"
	"github.com/goldcrestspan/goldcrestspan/standin"
	"github.com/goldcrestspan/goldcrestspan/testbed"
)

// Example runs an entry host in this process, with stand-ins for the platform
// and two services of two backend servers, and asks it as a caller does.
// testbed.StartHost shows the settings that goldcrestspan.New is given.
func Example() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	bed, err := testbed.Start(ctx, testbed.Config{
		Hosts: 1,
		Groups: []testbed.ServiceGroup{{
			Index: "slots", Services: 2, Servers: 2, Slots: 2, Connections: 25,
			Time: standin.ServiceTime{Base: time.Millisecond},
		}},
		Documents: bundle.Documents{
			Classes: []bundle.Class{{Name: "standard", DefaultDeadline: bundle.Duration(10 * time.Second)}},
			Callers: []bundle.Caller{{Name: "desk", TokenSHA256: testbed.TokenHash("secret")}},
			Routes: []bundle.Route{{
				Name: "slots", Kind: bundle.KindQuery, Index: "slots", Callers: []string{"desk"},
				Classes: []string{"standard"}, Prefer: bundle.PreferCoverage, MinCoverage: 1,
			}},
		},
	})
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
	answer, err := caller.Query(ctx, "slots", client.Query{Body: []byte(`{"day":"monday"}`)})
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(answer.Name, answer.Coverage.Have, "of", answer.Coverage.Total)
	// Output: complete 2 of 2
}
