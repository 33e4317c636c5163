package standin_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/goldcrestspan/goldcrestspan/backend"
	"github.com/goldcrestspan/goldcrestspan/standin"
)

// callTime is what a screen's query leaves a leg: below the bound on silence.
const callTime = 300 * time.Millisecond

func benchBackend(b *testing.B) *standin.Backend {
	b.Helper()
	server := standin.NewBackend(standin.BackendConfig{Name: "b1", Slots: 64})
	if err := server.Start(""); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = server.Close() })
	return server
}

// BenchmarkBackendCall is one call over loopback with every check, the
// stand-in's own cost included.
func BenchmarkBackendCall(b *testing.B) {
	server := benchBackend(b)
	client := backend.NewClient(backend.Options{})
	defer client.Close()
	call := newCall("spring campaign, shelter 12, week 14")
	b.ReportAllocs()
	for b.Loop() {
		call.Deadline = time.Now().Add(callTime)
		if !client.Run(context.Background(), server.Server(), call).Usable() {
			b.Fatal("no answer")
		}
	}
}

// BenchmarkBareCall is the same request by net/http's own pool without a check:
// the difference is the price of knowing what happened.
func BenchmarkBareCall(b *testing.B) {
	server := benchBackend(b)
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	call := newCall("spring campaign, shelter 12, week 14")
	b.ReportAllocs()
	for b.Loop() {
		request, err := http.NewRequest(http.MethodPost, "http://"+server.Address()+backend.PathRun, bytes.NewReader(call.Body))
		if err != nil {
			b.Fatal(err)
		}
		backend.SetCallHeaders(request.Header, call, callTime)
		response, err := transport.RoundTrip(request)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
}
