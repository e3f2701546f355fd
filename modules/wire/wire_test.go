// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package wire_test

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/modules/wire"
)

// TestKinds checks the kind of error that each invalid input causes.
func TestKinds(t *testing.T) {
	good := `{"id":"a","team":"t","tasks":1,"size":{"cpu_milli":1,"memory_mib":1},"work_ms":1}`
	for input, kind := range map[string]wire.Kind{
		"":                                      wire.KindMalformed,
		"[]":                                    wire.KindMalformed,
		good + good:                             wire.KindMalformed,
		strings.Replace(good, "id", "ID2", 1):   wire.KindMalformed,
		strings.Replace(good, ":1,", ":0,", 1):  wire.KindInvalid,
		strings.Replace(good, ":1,", ":-1,", 1): wire.KindInvalid,
		strings.Repeat(" ", 300) + good:         wire.KindOversized,
	} {
		_, err := wire.Decode[models.JobSpec](strings.NewReader(input), 256)
		var e *wire.Error
		require.ErrorAs(t, err, &e, input)
		assert.Equal(t, kind, e.Kind, input)
	}
	_, err := wire.Decode[models.JobSpec](strings.NewReader(good), 256)
	assert.NoError(t, err)
}

// check decodes data as every listener does, and checks that the value is valid or the error has a 4xx status.
func check[T wire.Checker](t *testing.T, data []byte) {
	t.Helper()
	value, err := wire.DecodeBytes[T](data)
	if err == nil {
		require.NoError(t, value.Check())
		return
	}
	var e *wire.Error
	require.True(t, errors.As(err, &e), err)
	require.GreaterOrEqual(t, e.Status(), 400)
	require.Less(t, e.Status(), 500)
}

// FuzzListeners fuzzes the decoders of all three listeners and of the platform.
func FuzzListeners(f *testing.F) {
	for _, seed := range []string{
		`{"jobs":[{"id":"a","team":"t","tasks":1,"size":{"cpu_milli":1,"memory_mib":1},"work_ms":1}]}`,
		`{"put":[{"kind":"class","spec":{"name":"c","selector":"a in (b)","priority":"urgent","deadline_ms":1}}],"base":1}`,
		`{"put":[{"kind":"rule","spec":{"name":"r","kind":"apart","selector":"a=b","with":"c"}}]}`,
		`{"member":{"id":"e","incarnation":"i","domain":"d","peer_address":"1.2.3.4:5"},"uptime_ms":1,"revision":1,"load":{"u":-1}}`,
		`{"from":"a","to":"b","epoch":1,"tasks":[{"id":"t","kind":"batch","team":"x","size":{"cpu_milli":1,"memory_mib":1},"queued":0,"state":"offered","attempt":1}]}`,
		`{"action":"take","records":[{"key":"k","holder":"h"}]}`,
		`{"vms":[{"id":"v","kind":"worker","state":"live","address":"1.2.3.4:5","domain":"d","rack":"r","capacity":{"cpu_milli":-9223372036854775808,"memory_mib":1}}]}`,
		`{"cell":"c","epoch":18446744073709551615,"sequence":1,"versions":[1],"state":{"tasks":{},"jobs":{}}}`,
		`{"incarnation":"i","epoch":1,"attempts":[{"task":"t","attempt":1,"status":"nonsense","usage":{}}]}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		check[models.Submission](t, data)
		check[models.Cancellation](t, data)
		check[models.ConfigChange](t, data)
		check[models.Heartbeat](t, data)
		check[models.ConfigTransfer](t, data)
		check[models.OfferCall](t, data)
		check[models.ReportCall](t, data)
		check[models.ClaimCall](t, data)
		check[models.ForwardCall](t, data)
		check[models.HandoverCall](t, data)
		check[models.VMList](t, data)
		check[models.RenewAnswer](t, data)
		check[models.ConfigHead](t, data)
		check[models.Bucket](t, data)
		check[models.CellMap](t, data)
	})
}
