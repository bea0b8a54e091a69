MODULES := ./... ./agent/... ./bench/... ./cranberryward/... ./entry/... ./gateway/... ./measure/... ./standin/...
VERSION := $(shell git describe --tags --always --dirty 2>/dev/null || echo development)
SEED ?= 1
ROUNDS ?= 1
SECONDS ?= 20
FUZZ_TIME ?= 2s
DEPLOYMENT ?= parlamigo
CROWDS := gateway/crowder cranberryward/crowder

.PHONY: build format vet lint test fuzz check bench measure slopes soak announcements

build:
	go build -ldflags "-X github.com/cranberryward/cranberryward.Version=$(VERSION)" -o bin/ ./agent ./cranberryward ./entry ./gateway ./standin

format:
	@unformatted=$$(gofmt -l $$(git ls-files '*.go')); if [ -n "$$unformatted" ]; then echo "gofmt: $$unformatted"; exit 1; fi

vet:
	go vet $(MODULES)

bin/staticcheck: tools/go.mod
	cd tools && GOWORK=off go build -o ../bin/staticcheck honnef.co/go/tools/cmd/staticcheck

bin/gopls: tools/gopls/go.mod
	cd tools/gopls && GOWORK=off go build -o ../../bin/gopls golang.org/x/tools/gopls

lint: bin/staticcheck
	bin/staticcheck $(MODULES)

# The crowds come after all other tests, as they measure memory and need the machine for themselves.
test:
	@status=0; \
	go test -race -count=1 -timeout 40m $$(go list $(MODULES) | grep -v '/crowder$$') || status=1; \
	go test -race -count=1 -timeout 20m -p 1 $(addprefix ./,$(CROWDS)) || status=1; \
	exit $$status

# Each fuzz target for a moment, from its corpus on.
fuzz:
	@for file in $$(git grep -lE '^func Fuzz' -- '*_test.go'); do \
		directory=$$(dirname $$file); \
		for target in $$(sed -n 's/^func \(Fuzz[A-Za-z]*\).*/\1/p' $$file); do \
			(cd $$directory && go test -run '^$$' -fuzz "^$$target$$" -fuzztime $(FUZZ_TIME) .) || exit 1; \
		done; \
	done

check: format vet lint test fuzz

measure:
	go run ./measure --seed $(SEED) --deployment $(DEPLOYMENT)

bench:
	go test -run '^$$' -bench . -benchtime 500ms ./planner ./router
	go run ./bench path

slopes:
	go run ./bench slopes

soak:
	go test -count=1 -timeout 60m -v -run TestSoak ./cranberryward/prover -seed $(SEED) -rounds $(ROUNDS) -soak-seconds $(SECONDS)
	SOAK_SEED=$(SEED) SOAK_ROUNDS=$(ROUNDS) go test -count=1 -timeout 60m -v -run TestSoak ./gateway/soaker

# Backend servers that leave and ask for a time, under 100 callers; GATEWAY is another program to play it against, with its whole path.
announcements:
	ANNOUNCEMENT_SECONDS=$(SECONDS) SOAK_GATEWAY=$(GATEWAY) go test -count=1 -timeout 60m -v -run TestAnnouncementsUnderCallers ./gateway/soaker
