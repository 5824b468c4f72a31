// Package settings reads the settings of one node from JSON with comments.
//
// A small file suffices, since every section but instance, listeners, backend
// and platform has defaults:
//
//	{
//	  "instance": {"name": "racedesk-1", "service": "racedesk", "zone": "plovdiv-a", "region": "bg-south"},
//	  "listeners": {
//	    "caller": "10.20.1.11:7400",
//	    "peer": "10.20.1.11:7401",
//	    "operator": "10.20.1.11:7402",
//	    "loopback": "127.0.0.1:7403",
//	  },
//	  "backend": {"url": "http://127.0.0.1:7404", "slots": 30, "connections": 290},
//	  "platform": {"url": "http://10.20.0.5:7300"},
//	}
//
// A deployment file describes all instances of a region at once; the settings
// of one instance are taken from it by name:
//
//	d, err := settings.ReadDeploymentFile("deployments/golubarnik/deployment.json")
//	s, err := d.Settings("racedesk-1")
//
// The listeners use TLS when the files of their certificates are named; in a
// deployment file, {instance} stands for the name of the instance:
//
//	"tls": {
//	  "peer": {
//	    "certificate_file": "/etc/sapphiretack/{instance}.pem",
//	    "key_file": "/etc/sapphiretack/{instance}.key",
//	    "authorities_file": "/etc/sapphiretack/authorities.pem",
//	  },
//	},
//
// Reading is strict. An unknown field, a wrong type, a value out of range, an
// address that does not parse and fields that contradict each other are all
// reported at once, as Problems with file, line, column, field and remedy, and
// no Settings are returned. Fields that hold a duration end in _ms in the file,
// because JSON has no duration type, and are time.Duration in Go.
package settings
