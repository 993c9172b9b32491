package ctl

import (
	"strings"

	"github.com/umberthread/umberthread/settings"
)

// levelNames holds the printed names of the levels of the settings tree.
var levelNames = map[settings.Level]string{
	settings.LevelDefault: "default", settings.LevelFleet: "fleet", settings.LevelService: "service", settings.LevelKind: "kind",
}

const settingsPageHead = `# Settings of the operators' tree

This page is printed by ` + "`umberctl settings`" + ` from the table that the program
checks settings with. A key may stand at the default, at a fleet, a service or a
request kind, down to the level in the third column; a lower level overrides a
higher one. Changes take effect without a restart.

| key | default | lowest level | allowed | meaning |
| --- | --- | --- | --- | --- |
`

const workspacesHead = `
## Workspaces

A workspace stands beside the tree, as the table ` + "`[workspace.NAME]`" + ` of a document and as
the scope ` + "`workspace:NAME`" + ` of a change: ` + "`umberctl config set workspace:scouts#rate=200`" + `. See
[design/workspaces.md](design/workspaces.md).

| key | allowed | meaning |
| --- | --- | --- |
`

// PrintSettingsReference prints the reference of all settings as Markdown, or
// their definitions as JSON.
func PrintSettingsReference(o Output) error {
	if o.JSON {
		return o.json(settings.Keys())
	}
	o.printf("%s", settingsPageHead)
	for _, k := range settings.Keys() {
		def := "`" + k.Default + "`"
		if k.Default == "" {
			def = "none"
		}
		o.printf("| `%s` | %s | %s | %s | %s |\n", k.Name, def, levelNames[k.DeepestLevel], strings.ReplaceAll(k.Allowed, "|", `\|`), k.Doc)
	}
	o.printf("%s", workspacesHead)
	for _, k := range settings.WorkspaceSettings() {
		o.printf("| `%s` | %s | %s |\n", k.Name, k.Allowed, k.Doc)
	}
	return nil
}
