package bench

import (
	"fmt"
	"strings"
	"time"

	"github.com/goldcrestspan/goldcrestspan/ident"
)

const regionName = "jadran"

// Shape describes the size of a deployment.
type Shape struct {
	EntryHosts     int
	Services       int
	Servers        int // backend servers of each service
	Slots          int // concurrency limit of a backend server
	ServerQueue    int // queue limit of a backend server
	Zones          int
	HopSameZone    time.Duration // one way
	HopOtherZone   time.Duration // one way
	ServiceTime    ServiceTime
	HostTimePerLeg time.Duration // of a host's processor for sending a leg or handling its reply
	DetectHostLoss time.Duration // until hosts detect a host that is down
}

// ServiceTime is the distribution of service times on a healthy server: Base plus
// an exponential with mean MeanExtra, and StragglerExtra more for the fraction
// StragglerShare.
type ServiceTime struct {
	Base           time.Duration
	MeanExtra      time.Duration
	StragglerShare float64
	StragglerExtra time.Duration
}

// Mean returns the mean of the distribution.
func (d ServiceTime) Mean() time.Duration {
	return d.Base + d.MeanExtra + time.Duration(d.StragglerShare*float64(d.StragglerExtra))
}

// Capacity returns the queries per second, with one leg to each service, that keep
// every slot busy.
func (s Shape) Capacity() float64 {
	return float64(s.Servers*s.Slots) / s.ServiceTime.Mean().Seconds()
}

// StandardTime returns the service time of most cases.
func StandardTime() ServiceTime {
	return ServiceTime{
		Base:           time.Millisecond,
		MeanExtra:      4 * time.Millisecond,
		StragglerShare: 0.02,
		StragglerExtra: 40 * time.Millisecond,
	}
}

// BookingDesk returns the shape of Plakatna Mreža's booking-desk.
func BookingDesk() Shape {
	return Shape{
		EntryHosts: 7, Services: 20, Servers: 2, Slots: 2, Zones: 3,
		HopSameZone: 100 * time.Microsecond, HopOtherZone: 500 * time.Microsecond,
		ServiceTime: StandardTime(), DetectHostLoss: 300 * time.Millisecond,
	}
}

// TransitPlanner returns the shape of BookingDesk with 30 services.
func TransitPlanner() Shape {
	shape := BookingDesk()
	shape.Services = 30
	return shape
}

// Archive returns the shape of archive-svc: one service with larger servers.
func Archive() Shape {
	shape := BookingDesk()
	shape.Services, shape.Servers, shape.Slots = 1, 7, 6
	return shape
}

// BookingPortal returns the shape of the Vltava academy's booking-portal, with
// four zones.
func BookingPortal() Shape {
	shape := BookingDesk()
	shape.Zones, shape.HopOtherZone = 4, time.Millisecond
	return shape
}

func hostID(i int) ident.HostID { return ident.HostID(fmt.Sprintf("entry-%02d", i)) }

func hostIndex(id ident.HostID) int {
	var i int
	_, _ = fmt.Sscanf(strings.TrimPrefix(string(id), "entry-"), "%d", &i)
	return i
}

func zoneName(i int) string { return fmt.Sprintf("zone-%c", 'a'+i) }
