package booking

import (
	"context"
	"runtime"
	"testing"
	"time"

	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/result"
)

func newBenchExecutor() *Executor {
	return NewExecutor(Config{Host: "split-a-1", Incarnation: 1, Run: func(context.Context, Request) Result {
		return Result{Code: result.Complete}
	}})
}

func BenchmarkIssue(b *testing.B) {
	executor := newBenchExecutor()
	b.ReportAllocs()
	for b.Loop() {
		executor.Issue("booking-desk", "book-slot")
	}
}

// BenchmarkVerifyTicket decodes a ticket and verifies its MAC.
func BenchmarkVerifyTicket(b *testing.B) {
	executor := newBenchExecutor()
	text := executor.Issue("booking-desk", "book-slot")
	b.ReportAllocs()
	for b.Loop() {
		t, err := parseTicket(text)
		if err != nil || !executor.signer.valid(t, "booking-desk", "book-slot") {
			b.Fatal("the ticket is not valid")
		}
	}
}

// BenchmarkBook books with a full ticket table and a runner that does nothing.
func BenchmarkBook(b *testing.B) {
	executor := newBenchExecutor()
	body := make([]byte, 512)
	deadline := time.Now().Add(time.Hour)
	b.ReportAllocs()
	for b.Loop() {
		r := Request{
			RequestID: ident.NewRequestID(), Ticket: executor.Issue("booking-desk", "book-slot"),
			Caller: "booking-desk", Route: "book-slot", Body: body, Deadline: deadline,
		}
		if executor.Book(context.Background(), r).Code != result.Complete {
			b.Fatal("not booked")
		}
	}
}

// BenchmarkRepeatedRequest answers a repeated request from its record.
func BenchmarkRepeatedRequest(b *testing.B) {
	executor := newBenchExecutor()
	r := Request{
		RequestID: ident.NewRequestID(), Ticket: executor.Issue("booking-desk", "book-slot"),
		Caller: "booking-desk", Route: "book-slot", Body: make([]byte, 512), Deadline: time.Now().Add(time.Hour),
	}
	executor.Book(context.Background(), r)
	b.ReportAllocs()
	for b.Loop() {
		executor.Book(context.Background(), r)
	}
}

// BenchmarkRecordMemory reports the heap size of a record without its answer.
func BenchmarkRecordMemory(b *testing.B) {
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		table := newTicketTable(defaultMaxRecords, defaultMaxRecordBytes)
		for range defaultMaxRecords {
			sequence := table.issue()
			table.begin(sequence, ident.RequestID{1}, Digest{1})
			table.finish(sequence, Result{Code: result.Complete})
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/defaultMaxRecords, "B/record")
		runtime.KeepAlive(table)
	}
}
