# Seed of the property tests. It is fixed so that every run gives the same result.
export RAPID_SEED ?= 20261204
export RAPID_CHECKS ?= 200
export RAPID_NOFAILFILE ?= true
# Seed of the fault-injection tests that run real processes.
export FLEET_SEED ?= 5

.PHONY: build test lint demo

build:
	go build -o bin/ ./cmd/...

# Packages whose tests use synctest bubbles run with -cpu 1: with the race detector,
# Go 1.26 crashes when goroutines of one bubble on several processors poll timer
# channels that are due.
BUBBLES = $(shell grep -rlE 'testing/synctest|rapid.SyncTest' --include='*_test.go' . | xargs -n1 dirname | sort -u | xargs go list)
# The tests of package abuse fill the memory and the descriptors of the processes that they
# start, so they run apart from the others.
ABUSE = github.com/primrosethread/primrosethread/abuse
OTHERS = $(filter-out $(BUBBLES) $(ABUSE),$(shell go list ./...))

# All commands run even if an earlier one fails.
test:
	@failed=0; \
	run() { echo "go test -race -timeout 10m $$*"; go test -race -timeout 10m "$$@" || failed=1; }; \
	run $(OTHERS); \
	run -cpu 1 $(BUBBLES); \
	run -p 1 -count 1 $(ABUSE); \
	exit $$failed

lint:
	go tool -modfile=tools.mod staticcheck ./...

# Starts a fleet as processes on the loopback interface and checks its guarantees.
demo: build
	bin/demo -bin bin $(DEMO)
