package rollout

import (
	"cmp"
	"slices"

	"github.com/pkg/errors"

	"github.com/goldcrestspan/goldcrestspan/bundle"
)

// The model explores every interleaving of hosts and operators over the pure
// decisions of this package, within bounds:
//   - operators read any head that ever was (stale reads), lose replies of
//     writes, have writes that land late, crash at any step and submit again;
//   - hosts hear from the store any accepted configuration, and at any time,
//     store up or down, any that was ever in force on any host: this covers
//     lost, late, duplicated and reordered messages of peers and paused hosts;
//   - hosts restart; the store goes down and comes back.
// A configuration is a small number here: its place in refTable.

const (
	modelHosts    = 3
	modelOps      = 2
	modelVersions = 6
	none          = 0
)

// refTable gives each configuration that operators can make a number from 1.
type refTable struct {
	refs   []bundle.Ref
	parent []uint8
	made   map[[3]uint8]uint8
}

func newRefTable() *refTable {
	t := &refTable{refs: make([]bundle.Ref, 1), parent: make([]uint8, 1), made: map[[3]uint8]uint8{}}
	t.add(0, 0, none)
	return t
}

// add is the configuration that an operator makes with an attempt on a parent.
func (t *refTable) add(op, attempt, parent uint8) uint8 {
	key := [3]uint8{op, attempt, parent}
	if id, ok := t.made[key]; ok {
		return id
	}
	id := uint8(len(t.refs))
	t.refs = append(t.refs, bundle.Ref{Generation: t.refs[parent].Generation + 1, Hash: bundle.Hash{id}})
	t.parent = append(t.parent, parent)
	t.made[key] = id
	return id
}

func (t *refTable) id(ref bundle.Ref) uint8 { return ref.Hash[0] }

func (t *refTable) generation(id uint8) uint64 { return t.refs[id].Generation }

// modelHost packs Core and Start of a host.
type modelHost struct {
	inForce, highest                  uint8
	settledStore, settledPeers, ready bool
}

type modelOp struct {
	draft, attempts, readHead, readVersion, cursor uint8
	at                                             opAt
	// late is a write of the head that is still under way, and the version
	// that it expects.
	late, lateVersion uint8
}

type opAt uint8

const (
	opIdle opAt = iota
	opReading
	opPreparing
	opWriting
	opWalking
)

// modelState is comparable, so that visited states are found by value.
type modelState struct {
	hosts    [modelHosts]modelHost
	ops      [modelOps]modelOp
	chain    [modelVersions]uint8 // accepted configurations; the version is the length
	length   uint8
	history  uint32 // manifests written to the history, by number
	applied  uint32 // ever in force on any host
	refused  uint32 // told "conflict"
	down     bool
	outages  uint8
	restarts uint8
}

func (s *modelState) head() uint8 { return s.chain[s.length-1] }

func (s *modelState) isAccepted(id uint8) bool {
	return slices.Contains(s.chain[:s.length], id)
}

// normal orders the hosts, which are alike: states that differ only in which
// host is which are visited once.
func (s modelState) normal(hosts int) modelState {
	slices.SortFunc(s.hosts[:hosts], func(a, b modelHost) int { return cmp.Compare(a.key(), b.key()) })
	return s
}

func (h modelHost) key() uint32 {
	key := uint32(h.inForce)<<16 | uint32(h.highest)<<8
	for i, flag := range []bool{h.settledStore, h.settledPeers, h.ready} {
		if flag {
			key |= 1 << i
		}
	}
	return key
}

// rules are the decisions that the model runs; mutants replace one.
type rules struct {
	apply        func(*Core, bundle.Ref) Verdict
	ready        func(*Start, bundle.Ref) bool
	onHead       func(submission, bundle.Ref, bundle.Ref) step
	onAncestor   func(submission, bundle.Ref) step
	onWrite      func(submission, error) step
	unguarded    bool // the head is written without an expected version
	skipsHistory bool // the parent is not put into the history first
	leaks        bool // hosts are offered signed changes that were not accepted
}

func productionRules() rules {
	return rules{
		apply:      (*Core).Apply,
		ready:      (*Start).Ready,
		onHead:     submission.onHead,
		onAncestor: submission.onAncestor,
		onWrite:    submission.onWrite,
	}
}

// limits bound the exploration.
type limits struct {
	hosts, ops int
	attempts   [modelOps]uint8
	outages    uint8
	restarts   uint8
}

type model struct {
	rules   rules
	limits  limits
	table   *refTable
	visited map[modelState]struct{}
	queue   []modelState
	found   error
	from    modelState
	action  string
}

// explore visits every state and returns how many, and the first violation.
func explore(r rules, l limits) (int, error) {
	m := &model{rules: r, limits: l, table: newRefTable(), visited: make(map[modelState]struct{})}
	first := modelState{length: 1}
	first.chain[0] = 1
	m.push(first)
	for len(m.queue) > 0 && m.found == nil {
		m.from = m.queue[0]
		m.queue = m.queue[1:]
		m.stepAll(m.from)
	}
	return len(m.visited), m.found
}

func (m *model) push(s modelState) {
	s = s.normal(m.limits.hosts)
	if _, seen := m.visited[s]; seen || m.found != nil {
		return
	}
	m.visited[s] = struct{}{}
	if err := m.check(s); err != nil {
		m.fail(err)
		return
	}
	m.queue = append(m.queue, s)
}

func (m *model) fail(err error) {
	if m.found == nil {
		m.found = errors.Wrapf(err, "by %q from %+v", m.action, m.from)
	}
}

func (m *model) stepAll(s modelState) {
	for h := range m.limits.hosts {
		m.stepHost(s, h)
	}
	for o := range m.limits.ops {
		m.stepOp(s, o)
		m.stepLate(s, o)
	}
	if s.down || s.outages < m.limits.outages {
		next := s
		next.down = !s.down
		if next.down {
			next.outages++
		}
		m.action = "store goes down or comes back"
		m.push(next)
	}
}

// stepHost: the host hears, asks while it starts, or restarts.
func (m *model) stepHost(s modelState, h int) {
	for id := uint8(1); int(id) < len(m.table.refs); id++ {
		fromStore := !s.down && s.isAccepted(id)
		if fromStore || s.applied&(1<<id) != 0 || m.leaked(s, id) {
			m.action = "host applies"
			m.deliver(s, h, id)
		}
		if fromStore {
			m.action = "store answers a starting host"
			m.answer(s, h, SourceStore, id)
		}
	}
	for p := range m.limits.hosts {
		if p != h && s.hosts[p].inForce != none {
			m.action = "peer answers a starting host"
			m.answer(s, h, SourcePeers, s.hosts[p].inForce)
		}
	}
	m.action = "source does not answer a starting host"
	m.answer(s, h, SourceStore, none)
	m.answer(s, h, SourcePeers, none)
	if s.restarts < m.limits.restarts && s.hosts[h] != (modelHost{}) {
		next := s
		next.restarts++
		next.hosts[h] = modelHost{}
		m.action = "host restarts"
		m.push(next)
	}
}

func (m *model) leaked(s modelState, id uint8) bool {
	return m.rules.leaks && (s.ops[0].draft == id || s.ops[1].draft == id)
}

// unpack runs a change of a host over the production types.
func (m *model) onHost(s modelState, h int, change func(*Core, *Start)) {
	host := s.hosts[h]
	core := Core{inForce: m.table.refs[host.inForce]}
	start := Start{highest: m.table.refs[host.highest], ready: host.ready}
	start.settled[SourceStore], start.settled[SourcePeers] = host.settledStore, host.settledPeers
	change(&core, &start)
	ready := m.rules.ready(&start, core.inForce)
	next := s
	next.hosts[h] = modelHost{
		inForce: m.table.id(core.inForce), highest: m.table.id(start.highest),
		settledStore: start.settled[SourceStore], settledPeers: start.settled[SourcePeers], ready: ready,
	}
	if start.highest.Generation <= core.inForce.Generation {
		next.hosts[h].highest = none // holds nothing back, now or later
	}
	if ready {
		// No decision reads these any more.
		next.hosts[h].highest, next.hosts[h].settledStore, next.hosts[h].settledPeers = none, false, false
	}
	if core.inForce.Generation != 0 {
		next.applied |= 1 << m.table.id(core.inForce)
	}
	if err := m.checkHost(host, next.hosts[h], start); err != nil {
		m.fail(err)
		return
	}
	m.push(next)
}

func (m *model) deliver(s modelState, h int, id uint8) {
	m.onHost(s, h, func(c *Core, _ *Start) { m.rules.apply(c, m.table.refs[id]) })
}

// answer ends the asking of a source; none: it failed or had nothing.
func (m *model) answer(s modelState, h int, source Source, id uint8) {
	if s.hosts[h].ready {
		return
	}
	m.onHost(s, h, func(_ *Core, start *Start) {
		if id != none {
			start.Named(m.table.refs[id])
		}
		start.Settle(source)
	})
}

// checkHost holds one step of one host to the promises.
func (m *model) checkHost(before, after modelHost, start Start) error {
	was, is := m.table.generation(before.inForce), m.table.generation(after.inForce)
	switch {
	case is < was:
		return errors.New("configuration reverts")
	case is == was && before.inForce != after.inForce:
		return errors.New("content changes within a generation")
	case after.ready && !before.ready && (!start.settled[SourceStore] || !start.settled[SourcePeers]):
		return errors.New("ready before store and peers were asked")
	case after.ready && !before.ready && is < start.highest.Generation:
		return errors.New("ready with less than was named at the start")
	case after.ready && after.inForce == none:
		return errors.New("ready with nothing in force")
	}
	return nil
}

// check holds a state to the promises, and to healing.
func (m *model) check(s modelState) error {
	var byGeneration [modelVersions + 2]uint8
	for id := uint8(1); int(id) < len(m.table.refs); id++ {
		bit := uint32(1) << id
		accepted := s.isAccepted(id)
		switch {
		case s.refused&bit != 0 && accepted:
			return errors.Errorf("%d told refused, and it was the head", id)
		case m.rules.leaks || s.applied&bit == 0:
			continue
		case !accepted:
			return errors.Errorf("%d in force without acceptance", id)
		}
		generation := m.table.generation(id)
		if other := byGeneration[generation]; other != none {
			return errors.Errorf("%d and %d in force with one generation", other, id)
		}
		byGeneration[generation] = id
	}
	for v := uint8(1); v < s.length; v++ {
		if m.table.parent[s.chain[v]] != s.chain[v-1] {
			return errors.Errorf("%d was accepted over %d, which its author never saw", s.chain[v], s.chain[v-1])
		}
	}
	if m.rules.leaks {
		return nil
	}
	return m.heals(s)
}

// heals: once links and store heal, all hosts have the head and are ready, and
// each operator who submits again is told. With the store still down, hosts
// come together on the newest that any of them has.
func (m *model) heals(s modelState) error {
	newest := uint8(none)
	for _, host := range s.hosts {
		if m.table.generation(host.inForce) > m.table.generation(newest) {
			newest = host.inForce
		}
	}
	for _, target := range []uint8{newest, s.head()} {
		if target == none {
			continue
		}
		for _, host := range s.hosts[:m.limits.hosts] {
			if err := m.hostHeals(host, target, s.head()); err != nil {
				return err
			}
		}
	}
	for o := range m.limits.ops {
		if err := m.opHeals(s, o); err != nil {
			return err
		}
	}
	return nil
}

func (m *model) hostHeals(host modelHost, target, head uint8) error {
	core := Core{inForce: m.table.refs[host.inForce]}
	start := Start{highest: m.table.refs[host.highest], ready: host.ready}
	m.rules.apply(&core, m.table.refs[target])
	if start.highest.Generation > m.table.generation(target) {
		start.Withdraw(start.highest) // pulls of it fail until it is given up
	}
	start.Settle(SourceStore)
	start.Settle(SourcePeers)
	if core.inForce != m.table.refs[target] && m.table.generation(target) <= m.table.generation(head) {
		return errors.Errorf("host keeps %d after links healed, not %d", m.table.id(core.inForce), target)
	}
	if !m.rules.ready(&start, core.inForce) {
		return errors.Errorf("host is not ready after links healed")
	}
	return nil
}

// opHeals runs the operator's submit again with a store that works.
func (m *model) opHeals(s modelState, o int) error {
	op := s.ops[o]
	if op.at == opIdle {
		return nil
	}
	const mostSteps = 3 * modelVersions
	at, sub := stepReadHead, m.submission(op)
	ancestor := uint8(none)
	for range mostSteps {
		switch at {
		case stepReadHead:
			ancestor = m.table.parent[s.head()]
			at = m.rules.onHead(sub, m.table.refs[s.head()], m.table.refs[ancestor])
		case stepWriteHead:
			at = m.rules.onWrite(sub, nil)
		case stepReadAncestor:
			if s.history&(1<<ancestor) == 0 {
				return errors.Errorf("operator never learns of %d: the history lacks %d", op.draft, ancestor)
			}
			ancestor = m.table.parent[ancestor]
			at = m.rules.onAncestor(sub, m.table.refs[ancestor])
		default:
			return nil
		}
	}
	return errors.Errorf("operator's submit of %d never ends", op.draft)
}
