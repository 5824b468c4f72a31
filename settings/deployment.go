package settings

import (
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
	"github.com/zeebo/errs"

	"github.com/sapphiretack/sapphiretack/request"
)

// Error is the class of errors about settings other than a ValidationError.
var Error = errs.Class("settings")

// Deployment describes the instances of one region; the settings of each instance are derived from it.
type Deployment struct {
	Region    request.RegionID
	Zones     []request.ZoneID
	Services  []Service
	Instances []DeploymentInstance
	Platform  Platform

	seedsPerZone int
	common       Settings // the sections that all instances share
}

// Service describes the backend servers of one service.
type Service struct {
	Name    request.ServiceID
	Backend Backend // without URL, which differs per instance
}

// DeploymentInstance is one instance of a deployment.
type DeploymentInstance struct {
	Name    request.InstanceID
	Service request.ServiceID
	Zone    request.ZoneID
	Address netip.Addr
	Port    int // the first of portsPerInstance consecutive ports
}

// The ports of an instance, as offsets from its first port. The loopback listener and the backend server use 127.0.0.1.
const (
	callerPort = iota
	peerPort
	operatorPort
	loopbackPort
	backendPort
	portsPerInstance
)

const (
	defaultPort         = 7400
	defaultSeedsPerZone = 2

	// instancePlaceholder is replaced by the name of the instance in trace.file and the paths of tls in a deployment.
	instancePlaceholder = "{instance}"
)

var loopbackAddress = netip.AddrFrom4([4]byte{127, 0, 0, 1})

// ReadDeploymentFile reads a deployment from a file; the error is a ValidationError or a file system error.
func ReadDeploymentFile(path string) (*Deployment, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ReadDeployment(path, data)
}

// ReadDeployment parses a deployment; the file name is used only in messages, and the error is a ValidationError.
func ReadDeployment(file string, data []byte) (*Deployment, error) {
	r := &reader{file: file, data: data}
	d := &Deployment{}
	if o := r.parse(); o != nil {
		d.read(o)
		o.checkUnknown()
	}
	if err := r.result(); err != nil {
		return nil, err
	}
	return d, nil
}

func (d *Deployment) read(o *object) {
	d.Region = request.RegionID(o.name("region"))
	d.Platform = readSection(o, "platform", readPlatform)
	d.seedsPerZone = o.integer("seeds_per_zone", defaultSeedsPerZone, 1, 16)
	d.readZones(o)
	for _, service := range o.objects("services") {
		d.readService(service)
		service.checkUnknown()
	}
	port := o.integer("port", defaultPort, 1, 65536-portsPerInstance)
	for _, instance := range o.objects("instances") {
		d.readInstance(instance, port)
		instance.checkUnknown()
	}
	d.checkUnused(o)
	readCommon(o, &d.common)
	if t := d.common.Trace; t.Exporter == ExporterStdout && t.File != "" && len(d.Instances) > 1 && !strings.Contains(t.File, instancePlaceholder) {
		o.add("trace", fmt.Sprintf("the file %q is shared by all instances", t.File), "write "+instancePlaceholder+" in trace.file, for example \"run/"+instancePlaceholder+".spans\"")
	}
}

func (d *Deployment) readZones(o *object) {
	o.required("zones", "write a list of availability zone names")
	for i, v := range o.elements("zones") {
		element := o.r.object("", v.StartOffset, &hujson.Object{})
		field := fmt.Sprintf("zones[%d]", i)
		element.members[field] = v
		zone := request.ZoneID(element.name(field))
		if slices.Contains(d.Zones, zone) {
			element.add(field, fmt.Sprintf("the availability zone %q is listed twice", zone), "remove one of the two")
		}
		d.Zones = append(d.Zones, zone)
	}
}

func (d *Deployment) readService(o *object) {
	s := Service{Name: request.ServiceID(o.name("name"))}
	if _, known := d.service(s.Name); known {
		o.add("name", fmt.Sprintf("the service %q is listed twice", s.Name), "remove one of the two")
	}
	s.Backend = readCapacity(o)
	d.Services = append(d.Services, s)
}

func (d *Deployment) readInstance(o *object, port int) {
	m := DeploymentInstance{
		Name:    request.InstanceID(o.name("name")),
		Service: request.ServiceID(o.name("service")),
		Zone:    request.ZoneID(o.name("zone")),
		Port:    o.integer("port", port, 1, 65536-portsPerInstance),
	}
	m.Address = readAddress(o)
	if _, known := d.service(m.Service); !known && m.Service != "" {
		o.add("service", fmt.Sprintf("the service %q is not in services", m.Service), "add it to services or correct the name")
	}
	if !slices.Contains(d.Zones, m.Zone) && m.Zone != "" {
		o.add("zone", fmt.Sprintf("the availability zone %q is not in zones", m.Zone), "add it to zones or correct the name")
	}
	for _, other := range d.Instances {
		if other.Name == m.Name && m.Name != "" {
			o.add("name", fmt.Sprintf("the instance %q is listed twice", m.Name), "give each instance a unique name")
		}
		if m.Address.IsValid() && other.Address == m.Address && abs(other.Port-m.Port) < portsPerInstance {
			o.add("port", fmt.Sprintf("the ports %d to %d overlap with those of instance %q at the same address", m.Port, m.Port+portsPerInstance-1, other.Name),
				fmt.Sprintf("leave %d consecutive ports to each instance", portsPerInstance))
		}
	}
	d.Instances = append(d.Instances, m)
}

func readAddress(o *object) netip.Addr {
	const remedy = `write an IP address without a port, such as "10.20.1.11"`
	if !o.required("address", remedy) {
		return netip.Addr{}
	}
	s, isString := o.textValue("address")
	if !isString {
		return netip.Addr{}
	}
	address, err := netip.ParseAddr(s)
	if err != nil || address.IsUnspecified() {
		o.add("address", fmt.Sprintf("found %q", s), remedy)
		return netip.Addr{}
	}
	return address
}

// checkUnused reports services and availability zones that have no instance.
func (d *Deployment) checkUnused(o *object) {
	for _, s := range d.Services {
		if !slices.ContainsFunc(d.Instances, func(m DeploymentInstance) bool { return m.Service == s.Name }) {
			o.add("services", fmt.Sprintf("the service %q has no instance", s.Name), "add an instance or remove the service")
		}
	}
	for _, zone := range d.Zones {
		if !slices.ContainsFunc(d.Instances, func(m DeploymentInstance) bool { return m.Zone == zone }) {
			o.add("zones", fmt.Sprintf("the availability zone %q has no instance", zone), "add an instance or remove the availability zone")
		}
	}
}

func (d *Deployment) service(name request.ServiceID) (Service, bool) {
	for _, s := range d.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// Settings returns the settings of one instance, or an error of class Error if the deployment does not contain it.
func (d *Deployment) Settings(name request.InstanceID) (Settings, error) {
	for _, m := range d.Instances {
		if m.Name == name {
			return d.settings(m), nil
		}
	}
	return Settings{}, Error.New("the deployment has no instance %q; use one of: %s", name, strings.Join(d.instanceNames(), ", "))
}

func (d *Deployment) settings(m DeploymentInstance) Settings {
	s := d.common
	s.Instance = Instance{Name: m.Name, Service: m.Service, Zone: m.Zone, Region: d.Region}
	s.Listeners = Listeners{
		Caller:         m.addrPort(m.Address, callerPort),
		Peer:           m.addrPort(m.Address, peerPort),
		Operator:       m.addrPort(m.Address, operatorPort),
		Loopback:       m.addrPort(loopbackAddress, loopbackPort),
		AdvertisedPeer: m.addrPort(m.Address, peerPort),
	}
	service, _ := d.service(m.Service)
	s.Backend = service.Backend
	s.Backend.URL = "http://" + m.addrPort(loopbackAddress, backendPort).String()
	s.Platform = d.Platform
	s.Seeds = d.seeds(m)
	s.Trace.File = strings.ReplaceAll(s.Trace.File, instancePlaceholder, string(m.Name))
	s.TLS = s.TLS.forInstance(m.Name)
	return s
}

// seeds returns the peer addresses of the first seedsPerZone other instances of each availability zone.
func (d *Deployment) seeds(self DeploymentInstance) []netip.AddrPort {
	var seeds []netip.AddrPort
	count := map[request.ZoneID]int{}
	for _, m := range d.Instances {
		if m.Name == self.Name || count[m.Zone] == d.seedsPerZone {
			continue
		}
		count[m.Zone]++
		seeds = append(seeds, m.addrPort(m.Address, peerPort))
	}
	return seeds
}

func (d *Deployment) instanceNames() []string {
	names := make([]string, len(d.Instances))
	for i, m := range d.Instances {
		names[i] = string(m.Name)
	}
	return names
}

func (m DeploymentInstance) addrPort(address netip.Addr, port int) netip.AddrPort {
	return netip.AddrPortFrom(address, uint16(m.Port+port))
}

// objects reads a required list of objects.
func (o *object) objects(name string) []*object {
	o.required(name, "write a list of objects")
	var result []*object
	for i, v := range o.elements(name) {
		path := o.field(name) + "[" + strconv.Itoa(i) + "]"
		members, isObject := v.Value.(*hujson.Object)
		if !isObject {
			o.r.add(v.StartOffset, path, "found "+describe(v), "write an object in braces")
			continue
		}
		result = append(result, o.r.object(path, v.StartOffset, members))
	}
	return result
}

func abs(n int) int {
	if n < 0 {
		return -n
	}
	return n
}
