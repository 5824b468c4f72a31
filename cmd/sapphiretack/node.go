package main

import (
	"context"

	"github.com/integrii/flaggy"
	"github.com/zeebo/errs"

	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/settings"
)

// runNode runs a node until the context ends and its requests in flight have ended.
var runNode = func(_ context.Context, s settings.Settings) error {
	return errs.New("instance %s: this build has no node", s.Instance.Name)
}

// nodeFlags say where the settings of a node are.
type nodeFlags struct {
	settings   string
	deployment string
	instance   string
}

func nodeCommand(parser *flaggy.Parser, output *outputFlags) command {
	var f nodeFlags
	sub := newCommand(&parser.Subcommand, output, "node", "run the node of one instance",
		"sapphiretack node --settings /etc/sapphiretack/node.json",
		"sapphiretack node --deployment deployments/golubarnik/deployment.json --instance racedesk-1")
	sub.String(&f.settings, "s", "settings", "settings file of the node")
	sub.String(&f.deployment, "d", "deployment", "deployment file that describes the instance")
	sub.String(&f.instance, "i", "instance", "name of the instance in the deployment file")
	return command{sub: sub, run: func(ctx context.Context, _ *printer) error {
		s, err := f.read()
		if err != nil {
			return err
		}
		return runNode(ctx, s)
	}}
}

func (f nodeFlags) read() (settings.Settings, error) {
	switch {
	case f.settings != "" && f.deployment == "" && f.instance == "":
		return settings.ReadFile(f.settings)
	case f.settings == "" && f.deployment != "" && f.instance != "":
		d, err := settings.ReadDeploymentFile(f.deployment)
		if err != nil {
			return settings.Settings{}, err
		}
		return d.Settings(request.InstanceID(f.instance))
	}
	return settings.Settings{}, usageError.New("the settings are not clear; give --settings, or --deployment with --instance")
}
