// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package entry

import (
	"context"
	"net/http"

	"rillsail.example/rillsail/models"
)

// claim requests the right to send an unrepeatable request that carries an idempotency key, so
// that the request runs at most once even if its caller sends it again through another daemon.
func (s *Service) claim(ctx context.Context, req *request) *refusal {
	if !req.class.Unrepeatable || req.key == "" {
		return nil
	}
	state, ended, err := s.config.Claims.Claim(ctx, req.key, req.id)
	switch {
	case err != nil:
		req.key = "" // no claim is held, so endClaim has nothing to do
		return notRunRefusal("the idempotency key could not be claimed: "+err.Error(), minRetryAfter)
	case state == models.ClaimGranted:
		return nil
	}
	req.key = ""
	r := &refusal{status: http.StatusConflict, outcome: models.RequestUnknown, retryAfter: minRetryAfter}
	switch {
	case state == models.ClaimUnknown:
		r.reason = "the daemons that knew whether this key was used are gone; check at the booking whether it ran"
		r.retryAfter = 0
	case ended:
		r.reason = "a request with this key was sent before; it is over"
		r.retryAfter = 0
	default:
		r.reason = "a request with this key is under way"
	}
	return r
}

// endClaim reports the end of a request that holds its key. The key of a request that did
// not run is released before the caller receives the refusal.
func (s *Service) endClaim(req *request, o outcome) {
	if !req.class.Unrepeatable || req.key == "" {
		return
	}
	notRun := o.refusal != nil && o.refusal.outcome == models.RequestNotRun
	s.config.Claims.End(req.key, req.id, notRun)
}
