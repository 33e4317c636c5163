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

// Options of a demo.
type Options struct {
	// For is how long requests are sent; default 5 s.
	For time.Duration
	// Seed makes the stand-ins' service times and the arrivals repeatable.
	Seed uint64
	// Keep goes on serving after the report until ctx ends.
	Keep   bool
	Out    io.Writer
	Logger *zap.Logger
}

const (
	hosts = 3
	// queriesPerSecond loads the services to about a quarter.
	queriesPerSecond = 90
	// maxShown bounds the broken promises that are printed.
	maxShown = 20
	// settle is how long work may still be under way after the last request.
	settle = 300 * time.Millisecond
)

// Run runs the demo. Its error says that a promise was broken or that it could
// not run at all.
func Run(ctx context.Context, o Options) error {
	fmt.Fprintf(o.Out, "starting a platform stand-in, 100 backend server stand-ins and %d entry hosts on loopback\n", hosts)
	bed, err := testbed.Start(ctx, testbed.Config{
		Groups:    Groups(),
		Hosts:     hosts,
		Documents: Documents(),
		Seed:      o.Seed,
		Logger:    o.Logger,
	})
	if err != nil {
		return err
	}
	defer bed.Close()
	fmt.Fprintf(o.Out, "a signed bundle is in force on all hosts, generation %d\n", bed.Hosts()[0].Status().Generation)
	d := &demo{bed: bed, options: o, report: newReport()}
	d.checker = testbed.NewChecker(bed.Record, bed.ShardCount)
	if err := d.run(ctx); err != nil {
		return err
	}
	if o.Keep {
		d.keep(ctx)
	}
	return nil
}

type demo struct {
	bed     *testbed.Cluster
	options Options
	checker *testbed.Checker
	report  *report
	clients map[string]*client.Client
	work    sync.WaitGroup
}

func (d *demo) run(ctx context.Context) error {
	if err := d.openClients(); err != nil {
		return err
	}
	d.askForHosts(ctx)
	d.sendAll(ctx)
	if err := d.lostShard(ctx); err != nil {
		return err
	}
	d.refusal(ctx)
	d.work.Wait()
	time.Sleep(settle)
	d.report.print(d.options.Out, d.bed.Record)
	broken, checked := d.checker.Finish()
	for _, b := range broken[:min(len(broken), maxShown)] {
		fmt.Fprintln(d.options.Out, "BROKEN", b)
	}
	if len(broken) > 0 {
		return errors.Errorf("%d promises broken", len(broken))
	}
	fmt.Fprintf(d.options.Out, "%d replies checked against the stand-ins' record: every promise held\n", checked)
	return nil
}

func (d *demo) openClients() error {
	d.clients = make(map[string]*client.Client)
	for _, caller := range []string{callerScreens, callerSales, callerTransit} {
		c, err := client.New(client.Options{Seeds: d.bed.CallerAddresses()[:1], Token: tokenOf(caller)})
		if err != nil {
			return err
		}
		d.clients[caller] = c
	}
	return nil
}

func (d *demo) askForHosts(ctx context.Context) {
	advice, err := d.clients[callerSales].Hosts(ctx)
	fmt.Fprintf(d.options.Out, "asked one host which to use: %v %v\n", advice, errText(err))
}

// sendAll sends requests of every class at random times.
func (d *demo) sendAll(ctx context.Context) {
	length := d.options.For
	random := rand.New(rand.NewPCG(d.options.Seed, 1))
	start := time.Now()
	next := start
	shown := time.Second
	for {
		next = next.Add(time.Duration(random.ExpFloat64() * float64(time.Second) / queriesPerSecond))
		if next.Sub(start) >= length || ctx.Err() != nil {
			return
		}
		time.Sleep(time.Until(next))
		d.sendOne(ctx, random.IntN(10), random.Uint64())
		if elapsed := time.Since(start); elapsed >= shown {
			fmt.Fprintf(d.options.Out, "  %2.0f s: %d sent\n", elapsed.Seconds(), d.report.count())
			shown += time.Second
		}
	}
}

func (d *demo) sendOne(ctx context.Context, kind int, value uint64) {
	body := fmt.Appendf(nil, `{"key":"item-%d"}`, value)
	d.work.Add(1)
	go func() {
		defer d.work.Done()
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

func (d *demo) query(ctx context.Context, caller, route, class string, wait time.Duration, body []byte) *client.Answer {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	started := time.Now()
	answer, err := d.clients[caller].Query(ctx, route, client.Query{Class: class, Body: body, Detail: true})
	d.report.add(class, time.Since(started), answer, err)
	if answer != nil {
		d.checker.CheckAnswer(body, answer)
	}
	return answer
}

const bookingWait = 2 * time.Second

// book books twice with one ticket, as a caller that lost the first reply does.
func (d *demo) book(ctx context.Context, body []byte) {
	ctx, cancel := context.WithTimeout(ctx, bookingWait)
	defer cancel()
	started := time.Now()
	ticket, err := d.clients[callerSales].Ticket(ctx, routeBook)
	if err != nil {
		d.report.add(classBooking, time.Since(started), nil, err)
		return
	}
	d.checker.AddBooking(bodyDigest(body))
	for range 2 {
		started = time.Now()
		answer, err := d.clients[callerSales].Book(ctx, routeBook, ticket, client.Booking{Body: body})
		d.report.add(classBooking, time.Since(started), answer, err)
		if answer != nil {
			d.checker.CheckBookingAnswer(body, answer)
		}
	}
}

// lostShard takes both servers of one service away and asks on a route that
// takes partial answers.
func (d *demo) lostShard(ctx context.Context) error {
	lost := testbed.ServiceName(indexBookingDesk, 7)
	for _, standIn := range d.bed.BackendsOfService(lost) {
		if err := standIn.Close(); err != nil {
			return err
		}
	}
	answer := d.query(ctx, callerScreens, routeScreens, classInteractive, 250*time.Millisecond, []byte(`{"lost":"shard"}`))
	if answer == nil || answer.Coverage == nil {
		return errors.New("no answer with one shard lost")
	}
	fmt.Fprintf(d.options.Out, "service %s lost both servers: answer is %s, %d of %d shards, missing %v\n",
		lost, answer.Name, answer.Coverage.Have, answer.Coverage.Total, answer.Missing)
	if answer.Coverage.Complete {
		return errors.New("an answer with a lost shard says that it is complete")
	}
	for _, standIn := range d.bed.BackendsOfService(lost) {
		d.bed.SetServerState(standIn, metastore.StateLeaving)
	}
	return nil
}

// refusal asks on a route that needs every shard, of which one is now lost.
func (d *demo) refusal(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, bookingWait)
	defer cancel()
	_, err := d.clients[callerScreens].Query(ctx, routeInventory, client.Query{Body: []byte(`{}`)})
	fmt.Fprintf(d.options.Out, "a caller on a route that is not its own is refused: %s\n", errText(err))
}

func (d *demo) keep(ctx context.Context) {
	fmt.Fprintln(d.options.Out, "\nserving on; try:")
	for _, address := range d.bed.CallerAddresses() {
		fmt.Fprintf(d.options.Out, "  curl -s -H 'Authorization: Bearer %s' -d '{\"body\":{\"day\":\"monday\"}}' http://%s/v1/query/%s\n",
			tokenOf(callerSales), address, routeSlots)
	}
	for _, host := range d.bed.Hosts() {
		fmt.Fprintf(d.options.Out, "  curl -s http://%s/v1/status\n", host.OperatorAddress())
	}
	<-ctx.Done()
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
