package report

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/sourcegraph/conc"
)

const (
	// fetchTimeout bounds one daemon's answer.
	fetchTimeout = 3 * time.Second
	// maxMetrics is the largest answer read, in bytes.
	maxMetrics = 4 << 20
)

// Fetch reads the metrics of each daemon from its private listener. One that
// does not answer is reported and holds up nobody.
func (r *Report) Fetch(ctx context.Context, client *http.Client, addresses []string) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	r.Daemons = make([]Daemon, len(addresses))
	var group conc.WaitGroup
	for i, address := range addresses {
		group.Go(func() { r.Daemons[i] = fetch(ctx, client, address) })
	}
	group.Wait()
}

func fetch(ctx context.Context, client *http.Client, address string) Daemon {
	values, err := read(ctx, client, address)
	if err != nil {
		return Daemon{Address: address, Error: err.Error()}
	}
	return Daemon{Address: address, Values: values}
}

func read(ctx context.Context, client *http.Client, address string) (map[string]float64, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/debug/vars", nil)
	if err != nil {
		return nil, &Error{Op: "ask " + address, Kind: KindFetch, Err: err}
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, &Error{Op: "ask " + address, Kind: KindFetch, Err: err}
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, &Error{Op: "ask " + address, Kind: KindFetch, Err: fmt.Errorf("status %d", response.StatusCode)}
	}
	values := map[string]float64{}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxMetrics)).Decode(&values); err != nil {
		return nil, &Error{Op: "read " + address, Kind: KindFetch, Err: err}
	}
	return values, nil
}

func (d Daemon) write(w io.Writer) {
	_, _ = fmt.Fprintf(w, "\n%s\n", d.Address)
	if d.Error != "" {
		_, _ = fmt.Fprintf(w, "  no metrics: %s\n", d.Error)
		return
	}
	names := make([]string, 0, len(d.Values))
	for name := range d.Values {
		names = append(names, name)
	}
	slices.Sort(names)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, name := range names {
		_, _ = fmt.Fprintf(table, "  %s\t%g\n", name, d.Values[name])
	}
	_ = table.Flush()
}
