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

// callTimeout is below the read idle timeout, so that calls start no probe timer.
const callTimeout = 300 * time.Millisecond

func benchBackend(b *testing.B) *standin.Backend {
	b.Helper()
	server := standin.NewBackend(standin.BackendConfig{Name: "b1", Slots: 64})
	if err := server.Start(""); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = server.Close() })
	return server
}

// BenchmarkBackendCall measures a call over loopback, including the stand-in.
func BenchmarkBackendCall(b *testing.B) {
	server := benchBackend(b)
	client := backend.NewClient(backend.Options{})
	defer client.Close()
	call := newCall("spring campaign, shelter 12, week 14")
	b.ReportAllocs()
	for b.Loop() {
		call.Deadline = time.Now().Add(callTimeout)
		if !client.Run(context.Background(), server.Server(), call).Usable() {
			b.Fatal("no answer")
		}
	}
}

// BenchmarkBareCall measures the same request with net/http's transport and without
// validation of the reply, as a baseline.
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
		backend.SetCallHeaders(request.Header, call, callTimeout)
		response, err := transport.RoundTrip(request)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
}
