package load

import (
	"bytes"
	"os"
	"slices"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"

	"github.com/goldcrestspan/goldcrestspan/bundle"
)

// Kind names a fault or a planned change.
type Kind string

// The kinds of events. A kind that uses For is undone after that time.
const (
	// KindSlow multiplies the server's service times by Factor.
	KindSlow Kind = "slow"
	// KindLost makes the server unavailable for For, or for good if For is 0.
	KindLost Kind = "lost"
	// KindCrash crashes the server, which restarts after For.
	KindCrash Kind = "crash"
	// KindDrain makes the server report that it drains and refuse requests, for
	// For.
	KindDrain Kind = "drain"
	// KindLeave marks the server as leaving on the host list; the server itself
	// reports nothing.
	KindLeave Kind = "leave"
	// KindSilent blackholes the server's open connections.
	KindSilent Kind = "silent"
	// KindBadReplies makes the server send Count replies of each of these sorts:
	// truncated, corrupt, misrouted, lost.
	KindBadReplies Kind = "bad-replies"
	// KindStoreDown makes every call of the object API fail, for For.
	KindStoreDown Kind = "store-down"
	// KindStoreSlow delays calls of the object API by Delay, for For.
	KindStoreSlow Kind = "store-slow"
	// KindStoreSilent blackholes the open connections to the platform.
	KindStoreSilent Kind = "store-silent"
	// KindLostWrite submits a bundle whose write succeeds but whose reply is
	// lost.
	KindLostWrite Kind = "lost-write"
	// KindHostsEmpty makes the platform return an empty host list, for For.
	KindHostsEmpty Kind = "hosts-empty"
	// KindHostsLag makes the host list stale by Delay, for For.
	KindHostsLag Kind = "hosts-lag"
	// KindHostStop stops the oldest entry host gracefully.
	KindHostStop Kind = "host-stop"
	// KindHostKill kills the oldest entry host without a graceful stop.
	KindHostKill Kind = "host-kill"
	// KindHostStart starts another entry host.
	KindHostStart Kind = "host-start"
	// KindBundle submits a changed bundle.
	KindBundle Kind = "bundle"
	// KindRace submits conflicting bundles of two operators concurrently.
	KindRace Kind = "race"
	// KindRepartition publishes a new version of Index whose shards belong to
	// other services; the servers load it one after the other.
	KindRepartition Kind = "repartition"
	// KindPoison sends a request Count times that crashes every server that runs
	// it.
	KindPoison Kind = "poison"
)

var allKinds = []Kind{
	KindSlow, KindLost, KindCrash, KindDrain, KindLeave, KindSilent, KindBadReplies,
	KindStoreDown, KindStoreSlow, KindStoreSilent, KindLostWrite, KindHostsEmpty, KindHostsLag,
	KindHostStop, KindHostKill, KindHostStart, KindBundle, KindRace, KindRepartition, KindPoison,
}

// Kinds returns every kind of event.
func Kinds() []Kind { return slices.Clone(allKinds) }

// serverKinds are the kinds that need Event.Server.
var serverKinds = []Kind{KindSlow, KindLost, KindCrash, KindDrain, KindLeave, KindSilent, KindBadReplies}

// Event is one fault or planned change on the run's timeline.
type Event struct {
	// At is the time since the start of the run.
	At   bundle.Duration `yaml:"at" json:"at"`
	Kind Kind            `yaml:"kind" json:"kind"`
	// Server is a backend server's name, such as booking-desk-00-0.
	Server string `yaml:"server,omitempty" json:"server,omitempty"`
	// Index is the index of a KindRepartition event.
	Index string `yaml:"index,omitempty" json:"index,omitempty"`
	// For is how long the fault lasts; 0 is until the end of the run.
	For    bundle.Duration `yaml:"for,omitempty" json:"for,omitempty"`
	Factor float64         `yaml:"factor,omitempty" json:"factor,omitempty"`
	Delay  bundle.Duration `yaml:"delay,omitempty" json:"delay,omitempty"`
	Count  int             `yaml:"count,omitempty" json:"count,omitempty"`
}

// label is the event's short name in plots and progress output.
func (e Event) label() string {
	switch {
	case e.Server != "":
		return string(e.Kind) + " " + e.Server
	case e.Index != "":
		return string(e.Kind) + " " + e.Index
	default:
		return string(e.Kind)
	}
}

// timeline is the content of a faults file.
type timeline struct {
	Faults []Event `yaml:"faults"`
}

// ReadFaults reads a timeline from a YAML file and rejects unknown fields.
func ReadFaults(path string) ([]Event, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "faults")
	}
	var content timeline
	if err := yaml.NewDecoder(bytes.NewReader(raw), yaml.Strict()).Decode(&content); err != nil {
		return nil, errors.Wrapf(err, "faults file %s", path)
	}
	return content.Faults, nil
}

// checkEvents returns an error for the first event that can't be applied.
func checkEvents(events []Event, shape Shape, servers []string) error {
	for i, e := range events {
		switch {
		case !slices.Contains(allKinds, e.Kind):
			return errors.Errorf("faults: entry %d: unknown kind %q; use one of %v", i+1, e.Kind, allKinds)
		case slices.Contains(serverKinds, e.Kind) && !slices.Contains(servers, e.Server):
			return errors.Errorf("faults: entry %d (%s): unknown backend server %q", i+1, e.Kind, e.Server)
		case e.Kind == KindRepartition && shape.services(e.Index) == 0:
			return errors.Errorf("faults: entry %d (%s): unknown index %q", i+1, e.Kind, e.Index)
		}
	}
	return nil
}

// PresetNames are the names that Preset accepts.
var PresetNames = []string{"none", "slow", "all"}

// Preset returns the named timeline for a run of the given length; false if
// there is none of that name.
func Preset(name string, shape Shape, length time.Duration) ([]Event, bool) {
	switch name {
	case "", "none":
		return nil, true
	case "slow":
		return []Event{{Kind: KindSlow, Server: shape.server(0, 0, 0), Factor: slowFactor}}, true
	case "all":
		return oneOfEachKind(shape, length), true
	default:
		return nil, false
	}
}

// slowFactor multiplies the service times of a slow server in the presets.
const slowFactor = 10

// server returns the name of a server of the shape; numbers that are too large
// wrap around.
func (s Shape) server(group, service, server int) string {
	g := s.Groups[group%len(s.Groups)]
	return serverName(g.Index, service%g.Services, server%g.Servers)
}

// oneOfEachKind spreads one event of each kind evenly over the run. Lasting
// faults overlap the events that follow.
func oneOfEachKind(shape Shape, length time.Duration) []Event {
	const (
		overlap       = 2 // length of a lasting fault, in steps
		badReplyCount = 5
		poisonCount   = 8
	)
	step := length / time.Duration(len(allKinds)+overlap)
	events := make([]Event, 0, len(allKinds))
	for i, kind := range allKinds {
		e := Event{
			At:     bundle.Duration(step * time.Duration(i+1)),
			Kind:   kind,
			For:    bundle.Duration(step * overlap),
			Factor: slowFactor,
			Delay:  bundle.Duration(time.Second),
			Count:  badReplyCount,
		}
		if slices.Contains(serverKinds, kind) {
			e.Server = shape.server(i, i, i)
		}
		if kind == KindRepartition {
			e.Index = shape.Groups[0].Index
		}
		if kind == KindPoison {
			e.Count = poisonCount
		}
		events = append(events, e)
	}
	return events
}
