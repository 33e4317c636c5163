package member

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/goldcrestspan/goldcrestspan/member/memberpb"
)

const (
	// newsRate is how many bytes of news a host may send each second for long.
	// With the constant part of the messages it stays under 3 KB/s, sent and
	// received together.
	newsRate = 512
	// newsBurst may be sent at once: the loss of an availability zone of 425
	// hosts is about 21 KB of suspicions and deaths, passed on some times.
	newsBurst = 128 << 10
	// maxMessageNews bounds the news of one message, in bytes.
	maxMessageNews = 8 << 10
	// alwaysNews bytes fit even when the budget is spent, so that the news of a
	// host about itself is never starved.
	alwaysNews = 128
)

// newsKey names what an item of news is about; a newer item replaces an older
// one about the same.
type newsKey struct {
	kind    newsKind
	name    string
	life    uint64
	request uint64
}

type newsKind uint8

const (
	newsOfHost newsKind = iota
	newsOfBackend
	newsOfRequest
)

// item is one piece of news on its way. The host's state is read when the item
// is sent, so that it is never older than what the sender knows.
type item struct {
	key     newsKey
	host    *record
	backend *memberpb.BackendNews
	request *memberpb.SuspectRequestNews
	sends   int
	gone    bool // replaced by a newer item
}

// queue holds the news to pass on, least often sent first. Each item is sent a
// bounded number of times, and all items share a budget of bytes.
type queue struct {
	levels   [][]*item // by the number of sends
	items    map[newsKey]*item
	tokens   float64
	filledAt time.Time
}

func newQueue(now time.Time) *queue {
	return &queue{items: make(map[newsKey]*item), tokens: newsBurst, filledAt: now}
}

func (q *queue) put(it *item) {
	if old := q.items[it.key]; old != nil {
		old.gone = true
	}
	q.items[it.key] = it
	q.push(it)
}

func (q *queue) push(it *item) {
	for len(q.levels) <= it.sends {
		q.levels = append(q.levels, nil)
	}
	q.levels[it.sends] = append(q.levels[it.sends], it)
}

// take moves as much news into the message as the budget allows. An item is
// dropped after maxSends.
func (q *queue) take(now time.Time, news *memberpb.News, maxSends int) {
	room := q.room(now)
	var sent []*item
	for level := range q.levels {
		rest := q.levels[level]
		for len(rest) > 0 {
			it := rest[0]
			if it.gone {
				rest = rest[1:]
				continue
			}
			size := it.addTo(news, now)
			if size > room {
				it.removeFrom(news)
				q.levels[level] = rest
				q.settle(sent, maxSends)
				return
			}
			room -= size
			q.spend(size)
			rest = rest[1:]
			sent = append(sent, it)
		}
		q.levels[level] = q.levels[level][:0]
	}
	q.settle(sent, maxSends)
}

// settle counts a send of each item and puts it back, or drops it.
func (q *queue) settle(sent []*item, maxSends int) {
	for _, it := range sent {
		it.sends++
		if it.sends >= maxSends {
			delete(q.items, it.key)
			continue
		}
		q.push(it)
	}
}

func (q *queue) room(now time.Time) int {
	q.refill(now)
	return min(maxMessageNews, max(int(q.tokens), alwaysNews))
}

func (q *queue) refill(now time.Time) {
	elapsed := now.Sub(q.filledAt).Seconds()
	if elapsed <= 0 {
		return
	}
	q.tokens = min(newsBurst, q.tokens+elapsed*newsRate)
	q.filledAt = now
}

func (q *queue) spend(bytes int) { q.tokens = max(0, q.tokens-float64(bytes)) }

// fieldOverhead is the tag and length of an embedded message.
const fieldOverhead = 2

func (it *item) addTo(news *memberpb.News, now time.Time) int {
	var size int
	switch it.key.kind {
	case newsOfHost:
		entry := it.host.news(now)
		news.Hosts = append(news.Hosts, entry)
		size = proto.Size(entry)
	case newsOfBackend:
		news.Backends = append(news.Backends, it.backend)
		size = proto.Size(it.backend)
	case newsOfRequest:
		news.Suspects = append(news.Suspects, it.request)
		size = proto.Size(it.request)
	}
	return size + fieldOverhead
}

func (it *item) removeFrom(news *memberpb.News) {
	switch it.key.kind {
	case newsOfHost:
		news.Hosts = news.Hosts[:len(news.Hosts)-1]
	case newsOfBackend:
		news.Backends = news.Backends[:len(news.Backends)-1]
	case newsOfRequest:
		news.Suspects = news.Suspects[:len(news.Suspects)-1]
	}
}
