// Package keepalive holds the TCP keep-alive of long-lived connections.
package keepalive

import (
	"net"
	"time"
)

// Config finds connections that went silent: something between the two ends has
// lost track of them, nothing comes back, not even a reset, and new ones work.
// Without it the next call on one ends as unknown, and a watch waits for good.
// Three probes in 2.5 s leave room for one lost packet.
var Config = net.KeepAliveConfig{
	Enable:   true,
	Idle:     time.Second,
	Interval: 500 * time.Millisecond,
	Count:    3,
}
