package demo

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/goldcrestspan/goldcrestspan/client"
	"github.com/goldcrestspan/goldcrestspan/metastore"
	"github.com/goldcrestspan/goldcrestspan/testbed"
)

// Options configure the demo.
type Options struct {
	// Duration is how long requests are sent.
	Duration time.Duration
	// Seed is the random seed of arrivals and of the stand-ins' service times.
	Seed uint64
	// Keep keeps the hosts running after the report until ctx ends.
	Keep   bool
	Out    io.Writer
	Logger *zap.Logger
}

const (
	hostCount = 3
	// queriesPerSecond uses about a quarter of the services' capacity.
	queriesPerSecond     = 90
	maxPrintedViolations = 20
	// settleTime is how long backend servers may keep working after the last reply.
	settleTime = 300 * time.Millisecond
)

// Run runs the demo. It returns an error if it can't run or if a check fails.
func Run(ctx context.Context, opts Options) error {
	fmt.Fprintf(opts.Out, "starting a platform stand-in, 100 backend server stand-ins and %d entry hosts on loopback\n", hostCount)
	cluster, err := testbed.Start(ctx, testbed.Config{
		Groups:    Groups(),
		Hosts:     hostCount,
		Documents: Documents(),
		Seed:      opts.Seed,
		Logger:    opts.Logger,
	})
	if err != nil {
		return err
	}
	defer cluster.Close()
	fmt.Fprintf(opts.Out, "a signed bundle is in force on all hosts, generation %d\n", cluster.Hosts()[0].Status().Generation)
	d := &demo{cluster: cluster, options: opts, report: newReport()}
	d.checker = testbed.NewChecker(cluster.Record, cluster.ShardCount)
	if err := d.run(ctx); err != nil {
		return err
	}
	if opts.Keep {
		d.serveUntilDone(ctx)
	}
	return nil
}

// demo is one run of the demo.
type demo struct {
	cluster *testbed.Cluster
	options Options
	checker *testbed.Checker
	report  *report
	clients map[string]*client.Client
	pending sync.WaitGroup
}

func (d *demo) run(ctx context.Context) error {
	if err := d.createClients(); err != nil {
		return err
	}
	d.requestAdvice(ctx)
	d.sendRequests(ctx)
	if err := d.checkLostShard(ctx); err != nil {
		return err
	}
	d.sendForbiddenQuery(ctx)
	d.pending.Wait()
	time.Sleep(settleTime)
	d.report.print(d.options.Out, d.cluster.Record)
	violations, checked := d.checker.Finish()
	for _, violation := range violations[:min(len(violations), maxPrintedViolations)] {
		fmt.Fprintln(d.options.Out, "BROKEN", violation)
	}
	if len(violations) > 0 {
		return errors.Errorf("%d promises broken", len(violations))
	}
	fmt.Fprintf(d.options.Out, "%d replies checked against the stand-ins' record: every promise held\n", checked)
	return nil
}

func (d *demo) createClients() error {
	d.clients = make(map[string]*client.Client)
	for _, caller := range []string{callerScreens, callerSales, callerTransit} {
		c, err := client.New(client.Options{Seeds: d.cluster.CallerAddresses()[:1], Token: tokenFor(caller)})
		if err != nil {
			return err
		}
		d.clients[caller] = c
	}
	return nil
}

func (d *demo) requestAdvice(ctx context.Context) {
	advice, err := d.clients[callerSales].Hosts(ctx)
	fmt.Fprintf(d.options.Out, "asked one host which to use: %v %v\n", advice, errorText(err))
}

// sendRequests sends requests of every class with exponential interarrival times.
func (d *demo) sendRequests(ctx context.Context) {
	duration := d.options.Duration
	random := rand.New(rand.NewPCG(d.options.Seed, 1))
	start := time.Now()
	next := start
	nextProgress := time.Second
	for {
		next = next.Add(time.Duration(random.ExpFloat64() * float64(time.Second) / queriesPerSecond))
		if next.Sub(start) >= duration || ctx.Err() != nil {
			return
		}
		time.Sleep(time.Until(next))
		d.sendRequest(ctx, random.IntN(10), random.Uint64())
		if elapsed := time.Since(start); elapsed >= nextProgress {
			fmt.Fprintf(d.options.Out, "  %2.0f s: %d sent\n", elapsed.Seconds(), d.report.sentCount())
			nextProgress += time.Second
		}
	}
}

func (d *demo) sendRequest(ctx context.Context, kind int, value uint64) {
	body := fmt.Appendf(nil, `{"key":"item-%d"}`, value)
	d.pending.Add(1)
	go func() {
		defer d.pending.Done()
		switch kind {
		case 0:
			d.book(ctx, body)
		case 1:
			d.query(ctx, callerSales, routeSlots, classBatch, 5*time.Second, body)
		case 2, 3, 4:
			d.query(ctx, callerTransit, routeInventory, classStandard, time.Second, body)
		case 5:
			d.query(ctx, callerSales, routeSlots, classStandard, time.Second, body)
		default:
			d.query(ctx, callerScreens, routeScreens, classInteractive, 250*time.Millisecond, body)
		}
	}()
}

func (d *demo) query(ctx context.Context, caller, route, class string, timeout time.Duration, body []byte) *client.Answer {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	started := time.Now()
	answer, err := d.clients[caller].Query(ctx, route, client.Query{Class: class, Body: body, Detail: true})
	d.report.record(class, time.Since(started), answer, err)
	if answer != nil {
		d.checker.CheckAnswer(body, answer)
	}
	return answer
}

const bookingTimeout = 2 * time.Second

// book sends a booking twice with one ticket, like a caller that lost the first
// reply.
func (d *demo) book(ctx context.Context, body []byte) {
	ctx, cancel := context.WithTimeout(ctx, bookingTimeout)
	defer cancel()
	started := time.Now()
	ticket, err := d.clients[callerSales].Ticket(ctx, routeBook)
	if err != nil {
		d.report.record(classBooking, time.Since(started), nil, err)
		return
	}
	d.checker.AddBooking(bodyDigest(body))
	for range 2 {
		started = time.Now()
		answer, err := d.clients[callerSales].Book(ctx, routeBook, ticket, client.Booking{Body: body})
		d.report.record(classBooking, time.Since(started), answer, err)
		if answer != nil {
			d.checker.CheckBookingAnswer(body, answer)
		}
	}
}

// checkLostShard stops both servers of one service and checks that a query returns
// a partial answer.
func (d *demo) checkLostShard(ctx context.Context) error {
	service := testbed.ServiceName(indexBookingDesk, 7)
	for _, standIn := range d.cluster.BackendsOfService(service) {
		if err := standIn.Close(); err != nil {
			return err
		}
	}
	answer := d.query(ctx, callerScreens, routeScreens, classInteractive, 250*time.Millisecond, []byte(`{"lost":"shard"}`))
	if answer == nil || answer.Coverage == nil {
		return errors.New("query with a lost shard: got no answer")
	}
	fmt.Fprintf(d.options.Out, "service %s lost both servers: answer is %s, %d of %d shards, missing %v\n",
		service, answer.Name, answer.Coverage.Have, answer.Coverage.Total, answer.Missing)
	if answer.Coverage.Complete {
		return errors.New("query with a lost shard: the answer claims to be complete")
	}
	for _, standIn := range d.cluster.BackendsOfService(service) {
		d.cluster.SetServerState(standIn, metastore.StateLeaving)
	}
	return nil
}

// sendForbiddenQuery sends a query to a route that the caller may not use.
func (d *demo) sendForbiddenQuery(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, bookingTimeout)
	defer cancel()
	_, err := d.clients[callerScreens].Query(ctx, routeInventory, client.Query{Body: []byte(`{}`)})
	fmt.Fprintf(d.options.Out, "a caller on a route that is not its own is refused: %s\n", errorText(err))
}

// serveUntilDone prints commands to try and waits until ctx ends.
func (d *demo) serveUntilDone(ctx context.Context) {
	fmt.Fprintln(d.options.Out, "\nserving until interrupted; try:")
	for _, address := range d.cluster.CallerAddresses() {
		fmt.Fprintf(d.options.Out, "  curl -s -H 'Authorization: Bearer %s' -d '{\"body\":{\"day\":\"monday\"}}' http://%s/v1/query/%s\n",
			tokenFor(callerSales), address, routeSlots)
	}
	for _, host := range d.cluster.Hosts() {
		fmt.Fprintf(d.options.Out, "  curl -s http://%s/v1/status\n", host.OperatorAddress())
	}
	<-ctx.Done()
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
