package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/member"
	"github.com/goldcrestspan/goldcrestspan/observe"
	"github.com/goldcrestspan/goldcrestspan/quota"
	"github.com/goldcrestspan/goldcrestspan/quota/quotapb"
)

// takeAfterAsking waits for the grantor's answer, at most for quota.CallTimeout.
func (q *quotas) takeAfterAsking(ctx context.Context, name string) (quota.Permit, *quota.Refusal) {
	timeout := time.NewTimer(quota.CallTimeout)
	defer timeout.Stop()
	for {
		answered := q.askNow(name)
		final := false
		select {
		case <-answered:
		case <-timeout.C:
			final = true
		case <-ctx.Done():
			final = true
		}
		permit, refusal := q.accounts.AdmitAnswered(q.now(), name, final)
		if refusal == nil || !refusal.Ask {
			return permit, refusal
		}
	}
}

// askNow asks the grantor unless a call is on its way; the channel is closed when it has ended.
func (q *quotas) askNow(name string) <-chan struct{} {
	q.mu.Lock()
	onItsWay := q.answered[name]
	q.mu.Unlock()
	if onItsWay != nil {
		return onItsWay
	}
	ask, ok := q.accounts.AskFor(q.now(), name)
	if !ok {
		// Another request has just asked.
		done := make(chan struct{})
		time.AfterFunc(time.Millisecond, func() { close(done) })
		return done
	}
	host, found := q.grantorOf(name)
	done := q.begin([]quota.Ask{ask})
	if found && host.ID == q.self {
		q.call(host, []quota.Ask{ask}, done, callOnPath)
	} else {
		go q.call(host, []quota.Ask{ask}, done, callOnPath)
	}
	return done
}

// begin notes that asks are on their way.
func (q *quotas) begin(asks []quota.Ask) chan struct{} {
	done := make(chan struct{})
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, ask := range asks {
		q.answered[ask.Customer] = done
	}
	return done
}

// call sends asks to their grantor and applies the answers.
func (q *quotas) call(host member.Host, asks []quota.Ask, done chan struct{}, kind string) {
	defer func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		for _, ask := range asks {
			if q.answered[ask.Customer] == done {
				delete(q.answered, ask.Customer)
			}
		}
		close(done)
	}()
	sent := q.now()
	instance, grants, err := q.ask(host, asks, kind)
	now := q.now()
	if err != nil {
		q.metrics.calls.WithLabelValues(callFailed).Inc()
		if q.noteAnswer(host.ID, false) {
			q.reportUnreachable(host.ID)
			q.log.Warn("the grantor of limits did not answer", zap.String("grantor", string(host.ID)), zap.Int("customers", len(asks)), observe.ErrorText(err))
		}
		for _, ask := range asks {
			q.accounts.Unanswered(now, host.ID, ask)
		}
		return
	}
	if q.noteAnswer(host.ID, true) {
		q.log.Info("the grantor of limits answers again", zap.String("grantor", string(host.ID)))
	}
	for i, ask := range asks {
		q.accounts.Answer(now, sent, host.ID, instance, ask, grants[i])
	}
}

// noteAnswer reports whether a grantor has begun or ceased to answer.
func (q *quotas) noteAnswer(host ident.HostID, answers bool) (changed bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.failing[host] == !answers {
		return false
	}
	if answers {
		delete(q.failing, host)
	} else {
		q.failing[host] = true
	}
	return true
}

// ask carries asks to their grantor.
func (q *quotas) ask(host member.Host, asks []quota.Ask, kind string) (instance uint64, grants []quota.Grant, err error) {
	if host.ID == q.self {
		return q.grantor.Instance(), q.serve(asks), nil
	}
	q.metrics.calls.WithLabelValues(kind).Inc()
	ctx, cancel := context.WithTimeout(q.ctx, quota.CallTimeout)
	defer cancel()
	reply, err := quotapb.NewDRPCQuotasClient(q.pool.Conn(ctx, host.PeerAddress)).Report(ctx, encodeAsks(asks))
	if err != nil {
		return 0, nil, err
	}
	return decodeGrants(reply, len(asks))
}

// serve answers asks as the grantor.
func (q *quotas) serve(asks []quota.Ask) []quota.Grant {
	grants := q.grantor.Serve(q.now(), asks)
	for i, grant := range grants {
		q.metrics.grant(asks[i].Customer, grant.Count)
	}
	return grants
}

// Report implements quotapb.DRPCQuotasServer.
func (q *quotas) Report(_ context.Context, m *quotapb.ReportRequest) (*quotapb.ReportReply, error) {
	return encodeGrants(q.grantor.Instance(), q.serve(decodeAsks(m))), nil
}

// wakeUp lets the next report go out.
func (q *quotas) wakeUp() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// run sends reports while there is something to report, one call to a grantor each
// quota.CallInterval.
func (q *quotas) run(ctx context.Context) error {
	// Hosts without limited customers are not woken up.
	select {
	case <-q.wake:
		q.wakeUp()
	case <-ctx.Done():
		return nil
	}
	ticker := time.NewTicker(quotaTick)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			q.tick()
		case <-q.wake:
			if q.enabled() && q.report() {
				time.AfterFunc(quota.CallInterval, q.wakeUp)
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// tick follows the process and its connections.
func (q *quotas) tick() {
	now := q.now()
	for id, at := range q.sentAt {
		if now.Sub(at) >= time.Minute {
			delete(q.sentAt, id)
		}
	}
	if !q.enabled() {
		return
	}
	q.grantor.Tick(now)
	q.observeView()
	if now.Sub(q.creditAt) >= creditInterval {
		q.creditAt = now
		hosts := q.creditHosts()
		q.accounts.SetCredit(now, hosts[q.self], len(hosts))
	}
}

// report sends what is due and reports whether more may become due without a request.
func (q *quotas) report() (more bool) {
	now := q.now()
	byGrantor := make(map[ident.HostID][]quota.Ask)
	hosts := make(map[ident.HostID]member.Host)
	for _, name := range q.accounts.Pending(now) {
		more = true
		host, ok := q.grantorOf(name)
		if !ok || now.Sub(q.sentAt[host.ID]) < quota.CallInterval {
			continue
		}
		if ask, due := q.accounts.AskFor(now, name); due {
			byGrantor[host.ID] = append(byGrantor[host.ID], ask)
			hosts[host.ID] = host
		}
	}
	for id, asks := range byGrantor {
		q.sentAt[id] = now
		go q.call(hosts[id], asks, q.begin(asks), callReport)
	}
	return more
}
