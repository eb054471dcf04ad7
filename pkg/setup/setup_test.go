package setup

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/span"
	"github.com/tanagerspindle/tanagerspindle/pkg/strict"
)

func TestLoadFillsDefaults(t *testing.T) {
	settings, err := Load("testdata/ctrl.json")
	require.NoError(t, err)
	text, err := json.MarshalIndent(settings, "", "  ")
	require.NoError(t, err)
	goldie.New(t).Assert(t, "ctrl", append(text, '\n'))
}

func TestLoadReportsAllErrors(t *testing.T) {
	_, err := Load("testdata/bad.json")
	require.ErrorIs(t, err, &Error{Kind: KindInvalid})
	var diagnostics strict.Diagnostics
	require.ErrorAs(t, err, &diagnostics)
	goldie.New(t).Assert(t, "bad", []byte(diagnostics.Error()+"\n"))
}

func TestLoadFailsWithoutFile(t *testing.T) {
	_, err := Load("testdata/none.json")
	require.ErrorIs(t, err, &Error{Kind: KindRead})
}

func TestCheckFindsEachError(t *testing.T) {
	for name, test := range map[string]struct {
		base  func() *Settings
		field string
		spoil func(*Settings)
	}{
		"role":              {entry, "role", func(s *Settings) { s.Role = "boss" }},
		"name":              {entry, "name", func(s *Settings) { s.Name = "" }},
		"data centre":       {entry, "data_centre", func(s *Settings) { s.DataCentre = "a b" }},
		"entry's listen":    {entry, "listen", func(s *Settings) { s.Listen = "127.0.0.1:1" }},
		"exposed http":      {entry, "http", func(s *Settings) { s.HTTP = "0.0.0.0:80" }},
		"host name":         {entry, "http", func(s *Settings) { s.HTTP = "localhost:80" }},
		"no control":        {entry, "control", func(s *Settings) { s.Control = nil }},
		"control twice":     {entry, "control", func(s *Settings) { s.Control = append(s.Control, s.Control[0]) }},
		"entry with data":   {entry, "data", func(s *Settings) { s.DataDir = "/x" }},
		"drain":             {entry, "drain", func(s *Settings) { s.DrainTimeout = span.Duration(-1) }},
		"linger":            {entry, "linger", func(s *Settings) { s.ShutdownDelay = 0 }},
		"exposed metrics":   {entry, "metrics", func(s *Settings) { s.Metrics = "10.0.0.1:80" }},
		"public metrics":    {entry, "metrics", func(s *Settings) { s.AllowPlaintext, s.Metrics = true, "0.0.0.0:80" }},
		"half certificates": {entry, "certificate", func(s *Settings) { s.Key = "k.pem" }},
		"agent's listen":    {agent, "listen", func(s *Settings) { s.AllowPlaintext, s.Listen = true, "0.0.0.0:1" }},
		"agent's peers":     {agent, "peers", func(s *Settings) { s.Peers = []Peer{{}} }},
		"even peers":        {control, "peers", func(s *Settings) { s.Peers = append(s.Peers, Peer{"c2", "127.0.0.1:2"}) }},
		"without itself":    {control, "peers", func(s *Settings) { s.Name = "c9" }},
		"no data":           {control, "data", func(s *Settings) { s.DataDir = "" }},
		"loads":             {control, "loads", func(s *Settings) { s.LoadsPerSecond = 0 }},
		"flight":            {control, "flight", func(s *Settings) { s.MaxLoadsInFlight = 0 }},
		"control's http":    {control, "http", func(s *Settings) { s.HTTP = "127.0.0.1:1" }},
	} {
		t.Run(name, func(t *testing.T) {
			settings := test.base()
			require.NoError(t, settings.Check())
			test.spoil(settings)
			var diagnostics strict.Diagnostics
			require.ErrorAs(t, settings.Check(), &diagnostics)
			require.Len(t, diagnostics, 1, fmt.Sprint(diagnostics))
			require.Equal(t, test.field, diagnostics[0].Field)
		})
	}
}

func entry() *Settings {
	s := Default()
	s.Role, s.Name, s.DataCentre = RoleEntry, "e1", "surat"
	s.HTTP, s.Control = "127.0.0.1:8080", []string{"127.0.0.1:7001"}
	return &s
}

func agent() *Settings {
	s := entry()
	s.Role, s.Listen = RoleAgent, "127.0.0.1:7100"
	return s
}

func control() *Settings {
	s := Default()
	s.Role, s.Name, s.DataCentre = RoleControl, "c1", "surat"
	s.Listen, s.DataDir, s.Peers = "127.0.0.1:7001", "/data", []Peer{{"c1", "127.0.0.1:7001"}}
	return &s
}
