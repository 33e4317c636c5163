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

// The kinds of events. Those with a "for" are undone after that time.
const (
	// KindSlow multiplies the server's service times by Factor.
	KindSlow Kind = "slow"
	// KindLost takes the server away; it comes back after For, if set.
	KindLost Kind = "lost"
	// KindCrash crashes the server; it comes back after For.
	KindCrash Kind = "crash"
	// KindDrain makes the server refuse new work and say so, for For.
	KindDrain Kind = "drain"
	// KindLeave announces the server as leaving on the host list only.
	KindLeave Kind = "leave"
	// KindSilent makes the server's open connections silent for good.
	KindSilent Kind = "silent"
	// KindBadReplies makes the server's next Count replies half, damaged,
	// crossed and lost, that many of each.
	KindBadReplies Kind = "bad-replies"
	// KindStoreDown refuses every call of the object API, for For.
	KindStoreDown Kind = "store-down"
	// KindStoreSlow holds calls of the object API back by Delay, for For.
	KindStoreSlow Kind = "store-slow"
	// KindStoreSilent makes the open connections to the platform silent.
	KindStoreSilent Kind = "store-silent"
	// KindLostWrite submits a bundle whose write takes effect though its
	// reply is lost.
	KindLostWrite Kind = "lost-write"
	// KindHostsEmpty empties the host list, for For.
	KindHostsEmpty Kind = "hosts-empty"
	// KindHostsLag makes the host list lag by Delay, for For.
	KindHostsLag Kind = "hosts-lag"
	// KindHostStop stops the oldest entry host as planned.
	KindHostStop Kind = "host-stop"
	// KindHostKill ends the oldest entry host as a crash does.
	KindHostKill Kind = "host-kill"
	// KindHostStart starts one more entry host.
	KindHostStart Kind = "host-start"
	// KindBundle submits a changed bundle.
	KindBundle Kind = "bundle"
	// KindRace lets two operators submit conflicting bundles at once.
	KindRace Kind = "race"
	// KindRepartition publishes a next version of Index with its shards moved
	// to other services, which the servers load one after the other.
	KindRepartition Kind = "repartition"
	// KindPoison sends a request that crashes each server that runs it, Count
	// times over.
	KindPoison Kind = "poison"
)

// kinds is every kind, in the order of the constants.
var kinds = []Kind{
	KindSlow, KindLost, KindCrash, KindDrain, KindLeave, KindSilent, KindBadReplies,
	KindStoreDown, KindStoreSlow, KindStoreSilent, KindLostWrite, KindHostsEmpty, KindHostsLag,
	KindHostStop, KindHostKill, KindHostStart, KindBundle, KindRace, KindRepartition, KindPoison,
}

// Kinds lists every kind of event.
func Kinds() []Kind { return slices.Clone(kinds) }

// ofServer are the kinds that name a backend server.
var ofServer = []Kind{KindSlow, KindLost, KindCrash, KindDrain, KindLeave, KindSilent, KindBadReplies}

// Event is one fault or change on the run's timeline.
type Event struct {
	// At counts from the first arrival.
	At   bundle.Duration `yaml:"at" json:"at"`
	Kind Kind            `yaml:"kind" json:"kind"`
	// Server is a backend server's name, such as booking-desk-00-0.
	Server string `yaml:"server,omitempty" json:"server,omitempty"`
	// Index is for repartition.
	Index string `yaml:"index,omitempty" json:"index,omitempty"`
	// For is how long it lasts; 0: to the end.
	For    bundle.Duration `yaml:"for,omitempty" json:"for,omitempty"`
	Factor float64         `yaml:"factor,omitempty" json:"factor,omitempty"`
	Delay  bundle.Duration `yaml:"delay,omitempty" json:"delay,omitempty"`
	Count  int             `yaml:"count,omitempty" json:"count,omitempty"`
}

// label is the event's short name in plots and progress lines.
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

// ReadFaults reads a faults file; unknown fields and kinds are refused.
func ReadFaults(path string) ([]Event, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "faults")
	}
	var t timeline
	if err := yaml.NewDecoder(bytes.NewReader(raw), yaml.Strict()).Decode(&t); err != nil {
		return nil, errors.Wrapf(err, "faults file %s", path)
	}
	return t.Faults, nil
}

// checkEvents refuses what could not be carried out, before anything starts.
func checkEvents(events []Event, shape Shape, servers []string) error {
	for i, e := range events {
		switch {
		case !slices.Contains(kinds, e.Kind):
			return errors.Errorf("faults: entry %d: no kind %q; use one of %v", i+1, e.Kind, kinds)
		case slices.Contains(ofServer, e.Kind) && !slices.Contains(servers, e.Server):
			return errors.Errorf("faults: entry %d (%s): no backend server %q", i+1, e.Kind, e.Server)
		case e.Kind == KindRepartition && shape.services(e.Index) == 0:
			return errors.Errorf("faults: entry %d (%s): no index %q", i+1, e.Kind, e.Index)
		}
	}
	return nil
}

// Presets are the names that stand for a timeline.
var Presets = []string{"none", "slow", "all"}

// Preset makes a timeline for a run of a length.
func Preset(name string, shape Shape, length time.Duration) ([]Event, bool) {
	switch name {
	case "", "none":
		return nil, true
	case "slow":
		return []Event{{Kind: KindSlow, Server: shape.server(0, 0, 0), Factor: slowFactor}}, true
	case "all":
		return everyKind(shape, length), true
	default:
		return nil, false
	}
}

// slowFactor is that of the presets' slow server.
const slowFactor = 10

// server names a server of the shape: group, service and server by number.
func (s Shape) server(group, service, server int) string {
	g := s.Groups[group%len(s.Groups)]
	return serverName(g.Index, service%g.Services, server%g.Servers)
}

// everyKind spreads one event of each kind over the run. What lasts for a
// while overlaps the ones that follow.
func everyKind(shape Shape, length time.Duration) []Event {
	const (
		overlap     = 2 // steps that a lasting event takes
		badReplies  = 5
		poisonTimes = 8
	)
	step := length / time.Duration(len(kinds)+overlap)
	events := make([]Event, 0, len(kinds))
	for i, kind := range kinds {
		e := Event{
			At:     bundle.Duration(step * time.Duration(i+1)),
			Kind:   kind,
			For:    bundle.Duration(step * overlap),
			Factor: slowFactor,
			Delay:  bundle.Duration(time.Second),
			Count:  badReplies,
		}
		if slices.Contains(ofServer, kind) {
			e.Server = shape.server(i, i, i)
		}
		if kind == KindRepartition {
			e.Index = shape.Groups[0].Index
		}
		if kind == KindPoison {
			e.Count = poisonTimes
		}
		events = append(events, e)
	}
	return events
}
