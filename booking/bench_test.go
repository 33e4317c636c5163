package booking

import (
	"context"
	"runtime"
	"testing"
	"time"

	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/result"
)

func benchDesk() *Executor {
	return NewExecutor(Config{Host: "split-a-1", Incarnation: 1, Run: func(context.Context, Request) Result {
		return Result{Code: result.Complete}
	}})
}

func BenchmarkIssue(b *testing.B) {
	desk := benchDesk()
	b.ReportAllocs()
	for b.Loop() {
		desk.Issue("booking-desk", "book-slot")
	}
}

// BenchmarkCheck takes a ticket apart and checks its mac.
func BenchmarkCheck(b *testing.B) {
	desk := benchDesk()
	text := desk.Issue("booking-desk", "book-slot")
	b.ReportAllocs()
	for b.Loop() {
		t, err := parseTicket(text)
		if err != nil || !desk.signer.valid(t, "booking-desk", "book-slot") {
			b.Fatal("the ticket is not valid")
		}
	}
}

// BenchmarkBook is a whole booking whose run does nothing, with the ledger full
// of old ones.
func BenchmarkBook(b *testing.B) {
	desk := benchDesk()
	body := make([]byte, 512)
	deadline := time.Now().Add(time.Hour)
	b.ReportAllocs()
	for b.Loop() {
		r := Request{
			RequestID: ident.NewRequestID(), Ticket: desk.Issue("booking-desk", "book-slot"),
			Caller: "booking-desk", Route: "book-slot", Body: body, Deadline: deadline,
		}
		if desk.Book(context.Background(), r).Code != result.Complete {
			b.Fatal("not booked")
		}
	}
}

// BenchmarkRepeat answers a repeated booking from the record.
func BenchmarkRepeat(b *testing.B) {
	desk := benchDesk()
	r := Request{
		RequestID: ident.NewRequestID(), Ticket: desk.Issue("booking-desk", "book-slot"),
		Caller: "booking-desk", Route: "book-slot", Body: make([]byte, 512), Deadline: time.Now().Add(time.Hour),
	}
	desk.Book(context.Background(), r)
	b.ReportAllocs()
	for b.Loop() {
		desk.Book(context.Background(), r)
	}
}

// BenchmarkRecordMemory reports the heap that a used ticket takes beside its answer.
func BenchmarkRecordMemory(b *testing.B) {
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		l := newLedger(defaultMaxRecords, defaultMaxRecordBytes)
		for range defaultMaxRecords {
			sequence := l.issue()
			l.begin(sequence, ident.RequestID{1}, Digest{1})
			l.finish(sequence, Result{Code: result.Complete})
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/defaultMaxRecords, "B/record")
		runtime.KeepAlive(l)
	}
}
