package main

import (
	"os"

	"ibisstall.example/ibisstall/platform"
)

func init() {
	register(command{
		name:     "forward",
		short:    "run one VM on the users' platform",
		long:     "Runs one VM that forwards the requests of agent programs to their endpoints. The environment variable " + platform.SettingsVariable + " names the settings file, which the platform provides. The VM exits on SIGTERM. The log goes to standard output as JSON lines.",
		examples: []string{"ibisstall forward --check"},
		handler:  &forwardCommand{},
	})
}

type forwardCommand struct {
	Check bool `long:"check" description:"check the settings and exit"`
}

// Execute implements flags.Commander.
func (c *forwardCommand) Execute([]string) error {
	path := os.Getenv(platform.SettingsVariable)
	if c.Check {
		_, err := platform.LoadSettings(path)
		return err
	}
	return platform.Serve(path)
}
