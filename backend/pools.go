package backend

import "time"

// Connections returns the number of open connections to the server, idle and
// busy.
func (c *Client) Connections(server Server) int {
	c.mu.Lock()
	p := c.pools[server.Address]
	c.mu.Unlock()
	if p == nil {
		return 0
	}
	return p.openCount()
}

// Trim closes idle connections to the server until at most keep connections are
// open. Calls in flight continue.
func (c *Client) Trim(server Server, keep int) {
	c.mu.Lock()
	p := c.pools[server.Address]
	c.mu.Unlock()
	if p != nil {
		p.trim(keep)
	}
}

// Close closes the idle connections. Calls in flight continue.
func (c *Client) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idleTimer != nil {
		c.idleTimer.Stop()
	}
	for _, p := range c.pools {
		p.trim(0)
	}
	return nil
}

// pool returns the server's connection pool and creates it if necessary.
func (c *Client) pool(server Server) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.pools[server.Address]
	if !ok {
		p = &pool{}
		c.pools[server.Address] = p
		if len(c.pools) == 1 {
			c.idleTimer = time.AfterFunc(c.options.IdleTimeout/2, c.closeExpiredIdle)
		}
	}
	return p
}

// closeExpiredIdle closes connections that were idle for too long and removes
// empty pools. It reschedules itself while pools are left.
func (c *Client) closeExpiredIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for address, p := range c.pools {
		if p.closeExpired(now, c.options.IdleTimeout) {
			delete(c.pools, address)
		}
	}
	if len(c.pools) > 0 {
		c.idleTimer.Reset(c.options.IdleTimeout / 2)
	}
}

// limit returns this host's share of the server's connection limit.
func (c *Client) limit(server Server) int {
	if c.options.ConnectionLimit == nil {
		return c.options.ConnectionsPerServer
	}
	return c.options.ConnectionLimit(server)
}
