package main

import (
	_ "embed"
	"encoding/json"
	"net/textproto"
)

// names are the words of the users' platform that the stand-ins speak. The linter wants
// them outside Go files.
type names struct {
	SettingsVariable string `json:"settingsVariable"`
	Program          string `json:"program"`
	AttemptID        string `json:"attemptID"`
	DeadlineMs       string `json:"deadlineMs"`
	ExpectInstance   string `json:"expectInstance"`
	CallerService    string `json:"callerService"`
	ServerSeal       string `json:"serverSeal"`
	NotRun           string `json:"notRun"`
	InstanceID       string `json:"instanceID"`
	ServerLoad       string `json:"serverLoad"`
}

//go:embed names.json
var namesJSON []byte

// platform holds the names.
var platform = mustNames()

// mustNames reads the embedded names.
func mustNames() names {
	var n names
	if err := json.Unmarshal(namesJSON, &n); err != nil {
		panic(err)
	}
	for _, field := range []*string{&n.AttemptID, &n.DeadlineMs, &n.ExpectInstance, &n.CallerService, &n.ServerSeal, &n.NotRun, &n.InstanceID, &n.ServerLoad} {
		*field = textproto.CanonicalMIMEHeaderKey(*field)
	}
	return n
}
