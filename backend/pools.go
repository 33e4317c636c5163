package backend

import "time"

// Connections returns the open connections to the server, busy ones included.
func (c *Client) Connections(server Server) int {
	c.mu.Lock()
	p := c.pools[server.Address]
	c.mu.Unlock()
	if p == nil {
		return 0
	}
	return p.size()
}

// Trim drops idle connections to the server until at most keep are open: for a
// host that is no longer the server's home, and with keep 0 for a server that
// has left. Calls in flight go on.
func (c *Client) Trim(server Server, keep int) {
	c.mu.Lock()
	p := c.pools[server.Address]
	c.mu.Unlock()
	if p != nil {
		p.trim(keep)
	}
}

// Close drops the idle connections; calls in flight go on.
func (c *Client) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sweeper != nil {
		c.sweeper.Stop()
	}
	for _, p := range c.pools {
		p.trim(0)
	}
	return nil
}

// pool returns the pool of the server's connections.
func (c *Client) pool(server Server) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.pools[server.Address]
	if !ok {
		p = &pool{}
		c.pools[server.Address] = p
		if len(c.pools) == 1 {
			c.sweeper = time.AfterFunc(c.options.IdleTimeout/2, c.sweep)
		}
	}
	return p
}

// sweep drops connections that were idle for too long, and pools without any;
// it comes again while there are pools.
func (c *Client) sweep() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for address, p := range c.pools {
		if p.expire(now, c.options.IdleTimeout) {
			delete(c.pools, address)
		}
	}
	if len(c.pools) > 0 {
		c.sweeper.Reset(c.options.IdleTimeout / 2)
	}
}

// limit is this host's share of the server's connection limit.
func (c *Client) limit(server Server) int {
	if c.options.ConnectionLimit == nil {
		return c.options.ConnectionsPerServer
	}
	return c.options.ConnectionLimit(server)
}
