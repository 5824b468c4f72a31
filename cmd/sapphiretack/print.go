package main

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/sapphiretack/sapphiretack/operator"
	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/settings"
)

// printer writes results as text or as JSON.
type printer struct {
	out  io.Writer
	err  io.Writer
	json bool
}

// write prints v as JSON, or calls text to print it as text with aligned columns.
func (p *printer) write(v any, text func(w io.Writer)) {
	if !p.json {
		w := tabwriter.NewWriter(p.out, 0, 0, 2, ' ', 0)
		text(w)
		_ = w.Flush()
		return
	}
	encoder := json.NewEncoder(p.out)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(v)
}

// genericError is the JSON form of an error that is neither settings.ValidationError nor
// *operator.Error.
type genericError struct {
	Message string `json:"message"`
}

// error prints an error as JSON to the standard output, or as text to the standard error.
func (p *printer) error(err error) {
	if !p.json {
		fmt.Fprintln(p.err, err)
		var e *operator.Error
		if errors.As(err, &e) && e.Current != nil {
			fmt.Fprintf(p.err, "current revision %d, version %d\n%s\n", e.Current.Revision, e.Current.Version, indent(e.Current.Document))
		}
		return
	}
	var problems settings.ValidationError
	var e *operator.Error
	switch {
	case errors.As(err, &problems):
		p.write(problems, nil)
	case errors.As(err, &e):
		p.write(e, nil)
	default:
		p.write(genericError{err.Error()}, nil)
	}
}

func indent(document []byte) string {
	var b bytes.Buffer
	if json.Indent(&b, document, "", "  ") != nil {
		return string(document)
	}
	return b.String()
}

// committedObject is an object with the identifier of the change that wrote it.
type committedObject struct {
	operator.Object
	Change operator.ChangeID `json:"change,omitempty"`
}

func (p *printer) object(o operator.Object, change operator.ChangeID) {
	p.write(committedObject{o, change}, func(w io.Writer) {
		state := ""
		if o.Withdrawn {
			state = ", withdrawn"
		}
		fmt.Fprintf(w, "%s/%s: revision %d, version %d%s\n", o.Kind, o.Name, o.Revision, o.Version, state)
		if change == "" && len(o.Document) > 0 {
			fmt.Fprintln(w, indent(o.Document))
		}
	})
}

// instanceAddresses is an instance of a deployment with the addresses of its node.
type instanceAddresses struct {
	Instance request.InstanceID `json:"instance"`
	Service  request.ServiceID  `json:"service"`
	Zone     request.ZoneID     `json:"zone"`
	Caller   string             `json:"caller"`
	Peer     string             `json:"peer"`
	Operator string             `json:"operator"`
	Loopback string             `json:"loopback"`
	Backend  string             `json:"backend"`
	Platform string             `json:"platform"`
}

func newInstanceAddresses(s settings.Settings) instanceAddresses {
	return instanceAddresses{
		Instance: s.Instance.Name, Service: s.Instance.Service, Zone: s.Instance.Zone,
		Caller: s.Listeners.Caller.String(), Peer: s.Listeners.Peer.String(), Operator: s.Listeners.Operator.String(),
		Loopback: s.Listeners.Loopback.String(), Backend: s.Backend.URL, Platform: s.Platform.URL,
	}
}

func (p *printer) instances(lines []instanceAddresses) {
	p.write(lines, func(w io.Writer) {
		fmt.Fprintln(w, "INSTANCE\tSERVICE\tZONE\tCALLER\tPEER\tOPERATOR\tLOOPBACK\tBACKEND\tPLATFORM")
		for _, l := range lines {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", l.Instance, l.Service, l.Zone, l.Caller, l.Peer, l.Operator, l.Loopback, l.Backend, l.Platform)
		}
	})
}

// checkResult is the JSON form of the result for a valid document.
type checkResult struct {
	File string `json:"file"`
	Kind string `json:"kind"`
}

func (p *printer) valid(file, kind string) {
	p.write(checkResult{file, kind}, func(w io.Writer) { fmt.Fprintf(w, "%s: the %s is valid\n", file, kind) })
}

func (p *printer) status(s operator.Status) {
	slices.SortFunc(s.Members, func(a, b operator.MemberStatus) int { return cmp.Compare(a.Instance, b.Instance) })
	p.write(s, func(w io.Writer) {
		self := s.Self
		ready := "ready"
		if !self.Ready {
			ready = "not ready"
		}
		fmt.Fprintf(w, "%s of %s in %s: %s, %s, configuration version %d\n", self.Instance, self.Service, self.Zone, self.State, ready, self.ConfigurationVersion)
		fmt.Fprintf(w, "level %d of %d, %d in flight, %d queued, limit %d, %d streams\n", self.Level, request.PriorityCount, self.InFlight, self.Queued, self.Limit, self.Streams)
		fmt.Fprintf(w, "own load: %.1f%% of a core, %d MiB, %d KiB of control messages sent\n\n", self.CPUShare*100, self.MemoryBytes>>20, self.ControlBytes>>10)
		fmt.Fprintln(w, "INSTANCE\tSERVICE\tZONE\tSTATE\tVERSION\tSLOTS\tADDRESS")
		for _, m := range s.Members {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%s\n", m.Instance, m.Service, m.Zone, m.State, m.ConfigurationVersion, m.Slots, m.Address)
		}
	})
}

func (p *printer) explanation(e operator.Explanation) {
	p.write(e, func(w io.Writer) {
		fmt.Fprintf(w, "%s", e.Service)
		if e.Operation != "" {
			fmt.Fprintf(w, "/%s", e.Operation)
		}
		fmt.Fprintf(w, ": %s\n", e.Verdict)
		if e.Class != "" {
			fmt.Fprintf(w, "class %s, priorities %d to %d; lower ones are more important\n", e.Class, e.PriorityFirst, e.PriorityLast)
		}
		// The level is absent if requests are refused for a reason other than load.
		if e.Level > 0 || e.LimitingService != "" {
			fmt.Fprintf(w, "level %d: requests with a lower priority number are admitted\n", e.Level)
		}
		if e.LimitingService != "" {
			fmt.Fprintf(w, "limited by service %s\n", e.LimitingService)
		}
		if e.Reason != "" {
			fmt.Fprintf(w, "reason %s: %s\n", e.Reason, e.Remedy)
		}
		for _, q := range e.Quarantine {
			fmt.Fprintf(w, "fingerprint %s: %s after %d crashes, for another %v\n", q.Fingerprint, q.State, q.Crashes, time.Duration(q.RemainingMs)*time.Millisecond)
		}
		for _, i := range e.Instances {
			fmt.Fprintf(w, "%s\tlevel %d\t%d in flight\t%d queued\n", i.Instance, i.Level, i.InFlight, i.Queued)
		}
	})
}
