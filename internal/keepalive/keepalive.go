// Package keepalive configures TCP keep-alive for long-lived connections.
package keepalive

import (
	"net"
	"time"
)

// Config detects within 2.5 s that a connection is dead although no reset was
// received, even if one probe is lost. Without it a watch on such a connection
// would wait forever.
var Config = net.KeepAliveConfig{
	Enable:   true,
	Idle:     time.Second,
	Interval: 500 * time.Millisecond,
	Count:    3,
}
