package ctl

import "github.com/umberthread/umberthread/internal/chart"

// PrintCharts prints the state chart named only, or all if it is empty, as text
// for Mermaid or, if format is "graphviz", for Graphviz.
func PrintCharts(o Output, only, format string) error {
	names := chart.Names()
	if only != "" {
		names = []string{only}
	}
	for _, name := range names {
		c, err := chart.Load(name)
		if err != nil {
			return err
		}
		text := c.Mermaid()
		if format == "graphviz" {
			text = c.Graphviz()
		}
		if o.JSON {
			if err := o.json(map[string]string{"name": name, "doc": c.Doc, format: text}); err != nil {
				return err
			}
			continue
		}
		o.printf("%%%% %s: %s\n%s\n", name, c.Doc, text)
	}
	return nil
}
