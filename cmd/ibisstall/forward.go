package main

import (
	"os"

	"ibisstall.example/ibisstall/platform"
)

func init() {
	register(command{
		name:     "forward",
		short:    "run one VM on the users' platform",
		long:     "Runs one VM that passes the requests of agent programs on to their endpoints, with the settings that the platform provides in the file that " + platform.SettingsVariable + " names. It ends on SIGTERM. The log goes to standard output as JSON lines.",
		examples: []string{"ibisstall forward --check"},
		data:     &forwardCommand{},
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
