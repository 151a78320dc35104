package backend

import "expvar"

// Counters counts events on the connections to backend servers.
type Counters struct {
	// Messages counts requests of which at least one byte was written.
	Messages expvar.Int
	// Checks counts health checks on new connections.
	Checks expvar.Int
	// Dialed counts connections opened.
	Dialed expvar.Int
	// Dropped counts answers that arrived after their caller hung up.
	Dropped expvar.Int
	// Lost counts connections to servers that answered no check.
	Lost expvar.Int
	// Retired counts connections closed while idle.
	Retired expvar.Int
	// Silent counts connections that went silent while the server still answered
	// health checks on new ones.
	Silent expvar.Int
	// Unsent counts requests that were retried on another connection because
	// theirs was closed before a byte was written.
	Unsent expvar.Int
	// Wrong counts answers dropped for their id, digest or length.
	Wrong expvar.Int
}

// Map returns the counters for publication.
func (c *Counters) Map() *expvar.Map {
	m := new(expvar.Map).Init()
	m.Set("checks", &c.Checks)
	m.Set("dialed", &c.Dialed)
	m.Set("dropped", &c.Dropped)
	m.Set("lost", &c.Lost)
	m.Set("messages", &c.Messages)
	m.Set("retired", &c.Retired)
	m.Set("silent", &c.Silent)
	m.Set("unsent", &c.Unsent)
	m.Set("wrong", &c.Wrong)
	return m
}
