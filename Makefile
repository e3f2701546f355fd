# SPDX-License-Identifier: Apache-2.0
# Copyright The Rillsail Authors

GO ?= go

.PHONY: build fmt lint vet tidy test race demo measure long generate

build: ## build all commands into bin/
	$(GO) build -o bin/ ./cmd/...

fmt: ## format the code
	$(GO) tool gofumpt -w $$(git ls-files '*.go' | grep -v '\.pb\.go$$\|\.twirp\.go$$')

lint: ## check format and style
	test -z "$$($(GO) tool gofumpt -l $$(git ls-files '*.go' | grep -v '\.pb\.go$$\|\.twirp\.go$$') | tee /dev/stderr)"
	$(GO) tool revive -config revive.toml -set_exit_status -exclude ./modules/peerrpc/... ./...

vet:
	$(GO) vet ./...

tidy: ## check go.mod; fetches what only tests of other modules need
	$(GO) mod tidy -diff

test: ## the README's test command
	$(GO) test ./...

# Plays of minutes on a clock of their own take ten times as long with the race detector, and
# show it nothing that shorter ones of the same packages don't: make test plays them without.
RACE_LONG = Random|Measure|TestConfigurationsOver|TestDivided|TestJobIsDone|TestLeavingUpstream|TestOnlyTasks|TestOverload|TestOwner|TestPairs|TestServicesKeep
# The packages in which goroutines share state.
RACE_PACKAGES = ./modules/... ./platform ./services/cell ./services/control ./services/daemon ./services/entry ./services/journal ./services/standin/...

race: ## the race detector over these packages, and over real daemons under faults; needs cgo
	$(GO) test -race -skip "$(RACE_LONG)$${RED:+|$$RED}" $(RACE_PACKAGES)
	$(GO) test -race -run '^TestSoakWithRaceDetector$$' -skip "$$RED" ./tests/integration

demo: ## run everything in one process
	$(GO) run ./cmd/rillsail-standin demo

generate: ## write the peers' calls anew; needs protoc, protoc-gen-go, protoc-gen-twirp
	protoc --go_out=. --go_opt=module=rillsail.example/rillsail --twirp_out=. \
		--twirp_opt=module=rillsail.example/rillsail modules/peerrpc/peer.proto

long: ## random interleavings with another seed and many more runs
	$(GO) test -timeout 30m ./services/cell ./services/control ./services/dispatch -run "Random|StartsBring" -args -rapid.checks=5000 -rapid.seed=$$(date +%s)

measure: ## the figures of docs/measurements, about 20 minutes
	sh contrib/measure.sh
