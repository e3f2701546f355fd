// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package entry

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"rillsail.example/rillsail/models"
)

// defaultClass applies to requests that no class of the configuration selects. The class
// is unrepeatable, so that a request which nobody declared safe to repeat is never sent twice.
var defaultClass = models.Class{Name: "default", Priority: models.PriorityOrdinary, Unrepeatable: true}

// Limits on the headers of a request.
const (
	maxLabels   = 32
	maxDeadline = 24 * time.Hour
)

// decode parses the headers and reads the whole body, so that a truncated request never reaches an upstream.
func (s *Service) decode(w http.ResponseWriter, r *http.Request) (*request, *refusal) {
	req := &request{
		id: s.config.NewID(), arrived: time.Now(), incoming: r, class: defaultClass, triedUpstreams: map[models.VMID]bool{},
	}
	var err error
	if req.labels, err = parseLabels(r.Header.Get(models.HeaderLabels)); err != nil {
		return req, malformed(err)
	}
	if req.deadline, err = parseDeadline(r.Header.Get(models.HeaderDeadline), req.arrived); err != nil {
		return req, malformed(err)
	}
	req.key = r.Header.Get(models.HeaderIdempotencyKey)
	if len(req.key) > models.MaxIdempotencyKeyLength {
		return req, malformed(errors.Newf("%s is longer than %d bytes", models.HeaderIdempotencyKey, models.MaxIdempotencyKeyLength))
	}
	req.body, err = s.readBody(w, r)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return req, &refusal{status: http.StatusRequestEntityTooLarge, outcome: models.RequestNotRun, reason: "body is larger than " + strconv.FormatInt(s.config.MaxBody, 10) + " bytes"}
	}
	if err != nil {
		return req, malformed(errors.Wrap(err, "body did not arrive whole"))
	}
	return req, nil
}

// readBody reads the body within the time and size limits. The read deadline is cleared only
// if the body arrived completely: otherwise the server would wait for the rest of the body.
// Only connections of tests do not support a read deadline.
func (s *Service) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	controller := http.NewResponseController(w)
	limited := s.config.BodyTimeout > 0 && controller.SetReadDeadline(time.Now().Add(s.config.BodyTimeout)) == nil
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.config.MaxBody))
	if err == nil && limited {
		err = controller.SetReadDeadline(time.Time{})
	}
	return body, err
}

func malformed(err error) *refusal {
	return &refusal{status: http.StatusBadRequest, outcome: models.RequestNotRun, reason: err.Error()}
}

// parseLabels parses a header of the form "key=value,key=value".
func parseLabels(text string) (map[string]string, error) {
	labels := map[string]string{}
	if text == "" {
		return labels, nil
	}
	for _, part := range strings.Split(text, ",") {
		key, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || key == "" {
			return nil, errors.Newf("%s: %q is not key=value", models.HeaderLabels, part)
		}
		labels[key] = value
	}
	if len(labels) > maxLabels {
		return nil, errors.Newf("%s: more than %d labels", models.HeaderLabels, maxLabels)
	}
	return labels, nil
}

// parseDeadline parses a number of milliseconds from now; the time is zero if the header is empty.
func parseDeadline(text string, now time.Time) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 || ms > maxDeadline.Milliseconds() {
		return time.Time{}, errors.Newf("%s: %q is not a number of milliseconds from 1 to %d", models.HeaderDeadline, text, maxDeadline.Milliseconds())
	}
	return now.Add(time.Duration(ms) * time.Millisecond), nil
}

// classify assigns the first class whose selector matches the request's labels, and a default deadline
// to a request that names none.
func (s *Service) classify(req *request) {
	for _, class := range s.config.View().Classes {
		if s.selectors.Matches(class.Selector, req.labels) {
			req.class = class
			break
		}
	}
	if !req.deadline.IsZero() {
		return
	}
	switch {
	case req.class.Deadline > 0:
		req.deadline = req.arrived.Add(req.class.Deadline.Duration())
	case req.class.Priority != models.PriorityDeferred:
		req.deadline = req.arrived.Add(s.config.Settings.Deadline)
	}
}
