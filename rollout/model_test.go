package rollout

import (
	"cmp"
	"slices"

	"github.com/pkg/errors"

	"github.com/goldcrestspan/goldcrestspan/bundle"
)

// The model checker explores every interleaving of hosts and operators, within
// bounds, over the production decisions:
//   - operators read any present or earlier head, lose replies of writes, have
//     delayed writes, crash at any step and submit again;
//   - the store offers hosts any accepted configuration, and peers offer any
//     that was ever active on a host, which covers lost, late, duplicated and
//     reordered messages;
//   - hosts restart; the store goes down and comes back.
// Configurations are represented by their index in refTable.

const (
	modelHosts     = 3
	modelOperators = 2
	modelVersions  = 6
	noConfig       = 0
)

// refTable numbers the configurations that operators can make, from 1.
type refTable struct {
	refs   []bundle.Ref
	parent []uint8
	ids    map[[3]uint8]uint8
}

func newRefTable() *refTable {
	t := &refTable{refs: make([]bundle.Ref, 1), parent: make([]uint8, 1), ids: map[[3]uint8]uint8{}}
	t.add(0, 0, noConfig)
	return t
}

// add returns the number of the change that an operator makes of parent in the
// given attempt.
func (t *refTable) add(op, attempt, parent uint8) uint8 {
	key := [3]uint8{op, attempt, parent}
	if id, ok := t.ids[key]; ok {
		return id
	}
	id := uint8(len(t.refs))
	t.refs = append(t.refs, bundle.Ref{Generation: t.refs[parent].Generation + 1, Hash: bundle.Hash{id}})
	t.parent = append(t.parent, parent)
	t.ids[key] = id
	return id
}

func (t *refTable) id(ref bundle.Ref) uint8 { return ref.Hash[0] }

func (t *refTable) generation(id uint8) uint64 { return t.refs[id].Generation }

// modelHost is a compact form of a host's ActiveConfig and StartupGate.
type modelHost struct {
	current, highest            uint8
	storeDone, peersDone, ready bool
}

type modelOperator struct {
	change, attempts, readHead, readVersion, nextAncestor uint8
	phase                                                 operatorPhase
	// delayed is a delayed write of the head, and delayedVersion the version
	// that it expects.
	delayed, delayedVersion uint8
}

type operatorPhase uint8

const (
	operatorIdle operatorPhase = iota
	operatorReadingHead
	operatorWritingHistory
	operatorWritingHead
	operatorReadingAncestor
)

// modelState is comparable and so serves as the key of the visited states.
type modelState struct {
	hosts     [modelHosts]modelHost
	operators [modelOperators]modelOperator
	heads     [modelVersions]uint8 // accepted configurations, oldest first
	length    uint8                // of heads; also the version of the head
	history   uint32               // bit set of manifests written to the history
	applied   uint32               // bit set of configurations ever active on a host
	refused   uint32               // bit set of changes reported as conflicts
	down      bool
	outages   uint8
	restarts  uint8
}

func (s *modelState) head() uint8 { return s.heads[s.length-1] }

func (s *modelState) isAccepted(id uint8) bool {
	return slices.Contains(s.heads[:s.length], id)
}

// normalized sorts the hosts, so that states that differ only in the order of
// hosts are visited once.
func (s modelState) normalized(hosts int) modelState {
	slices.SortFunc(s.hosts[:hosts], func(a, b modelHost) int { return cmp.Compare(a.key(), b.key()) })
	return s
}

func (h modelHost) key() uint32 {
	key := uint32(h.current)<<16 | uint32(h.highest)<<8
	for i, flag := range []bool{h.storeDone, h.peersDone, h.ready} {
		if flag {
			key |= 1 << i
		}
	}
	return key
}

// rules are the decisions that the model runs. Mutants replace one of them.
type rules struct {
	apply              func(*ActiveConfig, bundle.Ref) Relation
	ready              func(*StartupGate, bundle.Ref) bool
	onHead             func(submission, bundle.Ref, bundle.Ref) step
	onAncestor         func(submission, bundle.Ref) step
	onWrite            func(submission, error) step
	unconditionalWrite bool // the head is written without an expected version
	skipsHistory       bool // the parent is not written to the history first
	offersUnaccepted   bool // hosts are offered signed changes that were not accepted
}

func productionRules() rules {
	return rules{
		apply:      (*ActiveConfig).Apply,
		ready:      (*StartupGate).Ready,
		onHead:     submission.onHead,
		onAncestor: submission.onAncestor,
		onWrite:    submission.onWrite,
	}
}

// limits bound the exploration.
type limits struct {
	hosts, operators int
	attempts         [modelOperators]uint8
	outages          uint8
	restarts         uint8
}

type model struct {
	rules     rules
	limits    limits
	table     *refTable
	visited   map[modelState]struct{}
	queue     []modelState
	violation error
	from      modelState
	action    string
}

// explore visits every reachable state. It returns their number and the first
// violation.
func explore(r rules, l limits) (int, error) {
	m := &model{rules: r, limits: l, table: newRefTable(), visited: make(map[modelState]struct{})}
	first := modelState{length: 1}
	first.heads[0] = 1
	m.push(first)
	for len(m.queue) > 0 && m.violation == nil {
		m.from = m.queue[0]
		m.queue = m.queue[1:]
		m.stepAll(m.from)
	}
	return len(m.visited), m.violation
}

func (m *model) push(s modelState) {
	s = s.normalized(m.limits.hosts)
	if _, seen := m.visited[s]; seen || m.violation != nil {
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
	if m.violation == nil {
		m.violation = errors.Wrapf(err, "by %q from %+v", m.action, m.from)
	}
}

func (m *model) stepAll(s modelState) {
	for h := range m.limits.hosts {
		m.stepHost(s, h)
	}
	for o := range m.limits.operators {
		m.stepOp(s, o)
		m.stepDelayedWrite(s, o)
	}
	if s.down || s.outages < m.limits.outages {
		next := s
		next.down = !s.down
		if next.down {
			next.outages++
		}
		m.action = "outage of the store begins or ends"
		m.push(next)
	}
}

// stepHost explores a host's messages, its startup and a restart.
func (m *model) stepHost(s modelState, h int) {
	for id := uint8(1); int(id) < len(m.table.refs); id++ {
		fromStore := !s.down && s.isAccepted(id)
		if fromStore || s.applied&(1<<id) != 0 || m.isOffered(s, id) {
			m.action = "host applies"
			m.deliver(s, h, id)
		}
		if fromStore {
			m.action = "store answers a starting host"
			m.answerStartup(s, h, SourceStore, id)
		}
	}
	for p := range m.limits.hosts {
		if p != h && s.hosts[p].current != noConfig {
			m.action = "peer answers a starting host"
			m.answerStartup(s, h, SourcePeers, s.hosts[p].current)
		}
	}
	m.action = "source does not answer a starting host"
	m.answerStartup(s, h, SourceStore, noConfig)
	m.answerStartup(s, h, SourcePeers, noConfig)
	if s.restarts < m.limits.restarts && s.hosts[h] != (modelHost{}) {
		next := s
		next.restarts++
		next.hosts[h] = modelHost{}
		m.action = "host restarts"
		m.push(next)
	}
}

// isOffered reports whether hosts are offered the change although it may not have
// been accepted.
func (m *model) isOffered(s modelState, id uint8) bool {
	return m.rules.offersUnaccepted && (s.operators[0].change == id || s.operators[1].change == id)
}

// onHost applies a change to a host by the production types.
func (m *model) onHost(s modelState, h int, change func(*ActiveConfig, *StartupGate)) {
	host := s.hosts[h]
	active := ActiveConfig{current: m.table.refs[host.current]}
	startup := StartupGate{highest: m.table.refs[host.highest], ready: host.ready}
	startup.done[SourceStore], startup.done[SourcePeers] = host.storeDone, host.peersDone
	change(&active, &startup)
	ready := m.rules.ready(&startup, active.current)
	next := s
	next.hosts[h] = modelHost{
		current: m.table.id(active.current), highest: m.table.id(startup.highest),
		storeDone: startup.done[SourceStore], peersDone: startup.done[SourcePeers], ready: ready,
	}
	if startup.highest.Generation <= active.current.Generation {
		next.hosts[h].highest = noConfig // has no effect any more
	}
	if ready {
		// Not read once the host is ready.
		next.hosts[h].highest, next.hosts[h].storeDone, next.hosts[h].peersDone = noConfig, false, false
	}
	if active.current.Generation != 0 {
		next.applied |= 1 << m.table.id(active.current)
	}
	if err := m.checkHost(host, next.hosts[h], startup); err != nil {
		m.fail(err)
		return
	}
	m.push(next)
}

func (m *model) deliver(s modelState, h int, id uint8) {
	m.onHost(s, h, func(active *ActiveConfig, _ *StartupGate) { m.rules.apply(active, m.table.refs[id]) })
}

// answerStartup is a source's answer to a starting host; noConfig means that the
// source failed or has no configuration.
func (m *model) answerStartup(s modelState, h int, source Source, id uint8) {
	if s.hosts[h].ready {
		return
	}
	m.onHost(s, h, func(_ *ActiveConfig, startup *StartupGate) {
		if id != noConfig {
			startup.Observe(m.table.refs[id])
		}
		startup.MarkDone(source)
	})
}

// checkHost checks the invariants of one step of a host.
func (m *model) checkHost(before, after modelHost, startup StartupGate) error {
	was, now := m.table.generation(before.current), m.table.generation(after.current)
	switch {
	case now < was:
		return errors.New("configuration reverts")
	case now == was && before.current != after.current:
		return errors.New("content changes within a generation")
	case after.ready && !before.ready && (!startup.done[SourceStore] || !startup.done[SourcePeers]):
		return errors.New("ready before store and peers were asked")
	case after.ready && !before.ready && now < startup.highest.Generation:
		return errors.New("ready with an older generation than was reported at startup")
	case after.ready && after.current == noConfig:
		return errors.New("ready without an active configuration")
	}
	return nil
}

// check checks the invariants of a state, and that it can recover.
func (m *model) check(s modelState) error {
	var byGeneration [modelVersions + 2]uint8
	for id := uint8(1); int(id) < len(m.table.refs); id++ {
		bit := uint32(1) << id
		accepted := s.isAccepted(id)
		switch {
		case s.refused&bit != 0 && accepted:
			return errors.Errorf("%d reported as refused, but it was the head", id)
		case m.rules.offersUnaccepted || s.applied&bit == 0:
			continue
		case !accepted:
			return errors.Errorf("%d active without acceptance", id)
		}
		generation := m.table.generation(id)
		if other := byGeneration[generation]; other != noConfig {
			return errors.Errorf("%d and %d active with one generation", other, id)
		}
		byGeneration[generation] = id
	}
	for v := uint8(1); v < s.length; v++ {
		if m.table.parent[s.heads[v]] != s.heads[v-1] {
			return errors.Errorf("%d was accepted over %d, which is not its parent", s.heads[v], s.heads[v-1])
		}
	}
	if m.rules.offersUnaccepted {
		return nil
	}
	return m.checkRecovery(s)
}

// checkRecovery checks that, without further faults, all hosts converge on the
// head and become ready, and operators who submit again learn the outcome. While
// the store is down, hosts converge on the newest configuration among them.
func (m *model) checkRecovery(s modelState) error {
	newest := uint8(noConfig)
	for _, host := range s.hosts {
		if m.table.generation(host.current) > m.table.generation(newest) {
			newest = host.current
		}
	}
	for _, target := range []uint8{newest, s.head()} {
		if target == noConfig {
			continue
		}
		for _, host := range s.hosts[:m.limits.hosts] {
			if err := m.checkHostRecovery(host, target, s.head()); err != nil {
				return err
			}
		}
	}
	for o := range m.limits.operators {
		if err := m.checkOperatorRecovery(s, o); err != nil {
			return err
		}
	}
	return nil
}

func (m *model) checkHostRecovery(host modelHost, target, head uint8) error {
	active := ActiveConfig{current: m.table.refs[host.current]}
	startup := StartupGate{highest: m.table.refs[host.highest], ready: host.ready}
	m.rules.apply(&active, m.table.refs[target])
	if startup.highest.Generation > m.table.generation(target) {
		startup.Discard(startup.highest) // no host has it, so pulls of it fail
	}
	startup.MarkDone(SourceStore)
	startup.MarkDone(SourcePeers)
	if active.current != m.table.refs[target] && m.table.generation(target) <= m.table.generation(head) {
		return errors.Errorf("host has %d after recovery, not %d", m.table.id(active.current), target)
	}
	if !m.rules.ready(&startup, active.current) {
		return errors.Errorf("host is not ready after recovery")
	}
	return nil
}

// checkOperatorRecovery reruns the operator's submit without faults.
func (m *model) checkOperatorRecovery(s modelState, o int) error {
	op := s.operators[o]
	if op.phase == operatorIdle {
		return nil
	}
	const maxSteps = 3 * modelVersions
	at, sub := stepReadHead, m.submission(op)
	ancestor := uint8(noConfig)
	for range maxSteps {
		switch at {
		case stepReadHead:
			ancestor = m.table.parent[s.head()]
			at = m.rules.onHead(sub, m.table.refs[s.head()], m.table.refs[ancestor])
		case stepWriteHead:
			at = m.rules.onWrite(sub, nil)
		case stepReadAncestor:
			if s.history&(1<<ancestor) == 0 {
				return errors.Errorf("operator never learns the outcome of %d: the history lacks %d", op.change, ancestor)
			}
			ancestor = m.table.parent[ancestor]
			at = m.rules.onAncestor(sub, m.table.refs[ancestor])
		default:
			return nil
		}
	}
	return errors.Errorf("operator's submit of %d never ends", op.change)
}
