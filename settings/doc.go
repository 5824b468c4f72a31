// Package settings reads the settings of one node from JSON with comments.
//
// Only the sections instance, listeners, backend and platform are required; all
// others have defaults:
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
// A deployment file describes all instances of a region; the settings of one
// instance are derived from it by name:
//
//	d, err := settings.ReadDeploymentFile("deployments/golubarnik/deployment.json")
//	s, err := d.Settings("racedesk-1")
//
// A listener uses TLS if its certificate files are set. In a deployment file,
// {instance} is replaced by the name of the instance:
//
//	"tls": {
//	  "peer": {
//	    "certificate_file": "/etc/sapphiretack/{instance}.pem",
//	    "key_file": "/etc/sapphiretack/{instance}.key",
//	    "authorities_file": "/etc/sapphiretack/authorities.pem",
//	  },
//	},
//
// Parsing is strict: unknown fields, wrong types, values out of range, invalid
// addresses and contradictory fields are errors. All of them are reported
// together, as a ValidationError with file, line, column, field and remedy, and no
// Settings are returned. Durations are integers in milliseconds in the file,
// under field names that end in _ms, because JSON has no duration type; in Go
// they are of type time.Duration.
package settings
