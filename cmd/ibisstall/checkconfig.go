package main

import (
	"fmt"
	"os"

	"ibisstall.example/ibisstall/internal/settings"
)

func init() {
	register(command{
		name:  "check-config",
		short: "check a settings file",
		long: "Checks a settings file and the key files that it refers to. " +
			"Every invalid setting is reported with its file, section, key and allowed values.",
		examples: []string{
			"ibisstall check-config --config vm.ini",
			"ibisstall check-config --config vm.ini --skip-files",
			"ibisstall check-config --defaults > vm.ini",
		},
		handler: &checkConfigCommand{},
	})
}

type checkConfigCommand struct {
	Config    string `long:"config" value-name:"FILE" description:"settings file to check"`
	SkipFiles bool   `long:"skip-files" description:"do not read the files that the settings name"`
	Defaults  bool   `long:"defaults" description:"print every key with its meaning and default, and exit"`
}

// Execute implements flags.Commander.
func (c *checkConfigCommand) Execute([]string) error {
	if c.Defaults {
		return settings.WriteDefaults(os.Stdout)
	}
	if c.Config == "" {
		return &usageError{"check-config needs --config FILE or --defaults"}
	}
	s, err := c.load()
	if err != nil {
		return err
	}
	fmt.Printf("%s: good: data centre %s, region %s, %d static endpoints\n", c.Config, s.VM.DC, s.VM.Region, len(s.Endpoints))
	return nil
}

func (c *checkConfigCommand) load() (*settings.Settings, error) {
	if !c.SkipFiles {
		return settings.Load(c.Config)
	}
	data, err := os.ReadFile(c.Config)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return settings.Parse(c.Config, data)
}
