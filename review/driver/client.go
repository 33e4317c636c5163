package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// outcome is how one client attempt ended.
type outcome struct {
	attempt string
	host    string // its callers' address
	sent    time.Time
	ended   time.Time
	status  int // 0: the connection ended without an answer
	header  http.Header
	err     error
}

// client is a stand-in of one caller. It asks a directory which hosts to use, keeps a
// connection open and sends one request at a time.
type client struct {
	fleet *fleet
	zone  string
	// keepsLong is set for those clients that keep an answer of the directory three times as
	// long as it says.
	keepsLong bool

	addresses []string
	until     time.Time // of the addresses
	conn      net.Conn
	reader    *bufio.Reader
	peer      string
	usedAt    time.Time // when the last answer came on conn
}

// maxTTLSeconds is ttl_max_s of the settings.
const maxTTLSeconds = 5

// resolve asks the hosts, the one in the client's zone first, which hosts to use, unless the
// last answer still holds. Without an answer the client keeps the last one.
func (c *client) resolve() {
	if time.Now().Before(c.until) {
		return
	}
	var order []*host
	for _, h := range c.fleet.hosts {
		if h.zone == c.zone {
			order = append([]*host{h}, order...)
		} else {
			order = append(order, h)
		}
	}
	httpClient := http.Client{Timeout: time.Second}
	for _, h := range order {
		response, err := httpClient.Get(fmt.Sprintf("http://%s/goldcrestspan/resolve?Name=%s&Region=local&Zone=%s", h.directory, hostName, c.zone))
		if err != nil {
			continue
		}
		var reply struct {
			Addresses []string `json:"addrs"`
			TTL       float64  `json:"ttl_s"`
		}
		err = json.NewDecoder(response.Body).Decode(&reply)
		_ = response.Body.Close()
		if err != nil || len(reply.Addresses) == 0 {
			continue
		}
		c.addresses = reply.Addresses
		keep := time.Duration(min(reply.TTL, maxTTLSeconds) * float64(time.Second))
		if c.keepsLong {
			keep *= 3
		}
		c.until = time.Now().Add(keep)
		return
	}
}

// maxIdle is how long a client keeps an idle connection: four fifths of IdleTimeoutMs.
const maxIdle = idleLimit * 4 / 5

// connect reuses the open connection if its host is still to be used, or opens one.
func (c *client) connect() error {
	c.resolve()
	if c.conn != nil && contains(c.addresses, c.peer) && time.Since(c.usedAt) < maxIdle && c.isOpen() {
		return nil
	}
	c.disconnect()
	addresses := append([]string(nil), c.addresses...)
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	err := fmt.Errorf("no host is known")
	for _, address := range addresses {
		var conn net.Conn
		if conn, err = net.DialTimeout("tcp", address, time.Second); err == nil {
			c.conn, c.reader, c.peer = conn, bufio.NewReader(conn), address
			return nil
		}
	}
	return err
}

// isOpen reports whether the host has not closed the idle connection.
func (c *client) isOpen() bool {
	_ = c.conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := c.reader.Peek(1)
	return errors.Is(err, os.ErrDeadlineExceeded)
}

func contains(list []string, text string) bool {
	for _, item := range list {
		if item == text {
			return true
		}
	}
	return false
}

func (c *client) disconnect() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}

var (
	attemptMu    sync.Mutex
	attemptCount int
)

func newAttempt() string {
	attemptMu.Lock()
	defer attemptMu.Unlock()
	attemptCount++
	return fmt.Sprintf("%08x%08x", rand.Uint32(), attemptCount)
}

// send makes one client attempt.
func (c *client) send(method, path string, timeout time.Duration) outcome {
	o := outcome{attempt: newAttempt(), sent: time.Now()}
	if o.err = c.connect(); o.err != nil {
		o.ended = time.Now()
		return o
	}
	o.host = c.peer
	lines := []string{
		method + " " + path + " HTTP/1.1", "Host: " + hostName, "Attempt-Id: " + o.attempt,
		"Deadline-Ms: " + strconv.Itoa(int(timeout.Milliseconds())),
	}
	if method == http.MethodPost {
		lines = append(lines, "Content-Length: 0")
	}
	c.fleet.record.printf("%s sent to %s: %s %s", o.attempt, o.host, method, path)
	o.sent = time.Now()
	_ = c.conn.SetDeadline(o.sent.Add(timeout))
	if _, o.err = io.WriteString(c.conn, strings.Join(lines, "\r\n")+"\r\n\r\n"); o.err == nil {
		o.err = c.readAnswer(&o)
	}
	o.ended = time.Now()
	if o.err != nil {
		c.disconnect()
		c.fleet.record.printf("%s ends without an answer after %v: %v", o.attempt, o.ended.Sub(o.sent).Round(time.Millisecond), o.err)
		return o
	}
	c.fleet.record.printf("%s is answered %d after %v", o.attempt, o.status, o.ended.Sub(o.sent).Round(time.Millisecond))
	return o
}

func (c *client) readAnswer(o *outcome) error {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return err
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	o.status, o.header = response.StatusCode, response.Header
	c.usedAt = time.Now()
	if response.Close {
		c.disconnect()
	}
	return nil
}

// isPromise reports whether the status promises that the request has not run and never will.
func isPromise(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// retryAfter is when the client may come back: as it was told, up to a third of the time left.
func (o outcome) retryAfter(left time.Duration) time.Duration {
	seconds, err := strconv.ParseFloat(o.header.Get("Retry-After"), 64)
	if err != nil {
		return 0
	}
	return min(time.Duration(seconds*float64(time.Second)), left/3)
}
