package main

import (
	"fmt"
	"os"

	"ibisstall.example/ibisstall/internal/keys"
)

func init() {
	register(command{
		name:  "key",
		short: "make keys of workspaces and operators",
		long:  "Generates keys. The table of weights and limits and the settings contain only their hashes.",
		sub: []command{{
			name: "generate", short: "make a key and its hash", handler: &keyGenerate{},
			long: "Generates a random key. Give the key to its user, and add the hash to the key_hashes cell of the workspace's row " +
				"or, for an operator, to [keys] operator_key_hashes. To rotate a key, add the new hash first and remove the old one " +
				"once the user has switched to the new key.",
			examples: []string{"ibisstall key generate", "ibisstall key generate --output operator.key"},
		}},
	})
}

type keyGenerate struct {
	Output string `long:"output" short:"o" value-name:"FILE" description:"write the key to a new file closed to others, and print only the hash"`
	JSON   bool   `long:"json" description:"print JSON"`
}

// Execute implements flags.Commander.
func (c *keyGenerate) Execute([]string) error {
	key := keys.Generate()
	hash := keys.HashKey(key).String()
	if c.Output != "" {
		if err := writeNewSecret(c.Output, key); err != nil {
			return err
		}
		key = ""
	}
	if c.JSON {
		return printJSON(struct {
			Key  string `json:"key,omitempty"`
			Hash string `json:"hash"`
		}{key, hash})
	}
	if key != "" {
		fmt.Println("key: ", key)
	}
	fmt.Println("hash:", hash)
	return nil
}

// writeNewSecret writes a secret to a new file that only its owner can access.
// It fails if the file exists.
func writeNewSecret(name, secret string) error {
	const ownerOnly = 0o600
	f, err := os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_EXCL, ownerOnly)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintln(f, secret); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}
