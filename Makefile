.PHONY: all build test lint fmt

# The wire names of the users' platform, which platform/ alone knows.
platform_names = 'Server-(Limit|Leaving)|X-(Attempt-Id|Server-Seal|Expect-Instance|Not-Run|Caller-Service|Deadline-Ms|Instance-Id|Server-Load)|trafficSplit|targetLatencyMs|maxAttempts|heartbeatUrl|appAddr|[Ss]idecar|UMBERTHREAD_BOOT'

all: lint test build

build:
	go build -o bin/ ./cmd/...

# The tests of crowds measure memory, so they run after all others, one at a time.
test:
	status=0; go test -count=1 $$(go list ./... | grep -v '/platform/crowd$$') || status=1; \
	go test -count=1 ./platform/crowd || status=1; exit $$status

lint:
	@test -z "$$(gofmt -l .)" || { echo "not formatted:"; gofmt -l .; exit 1; }
	go vet ./...
	go tool staticcheck ./...
	@! git grep -nE $(platform_names) -- '*.go' ':!platform' || { echo "names of the platform belong in platform/ and deploy/"; exit 1; }

PROVE_TIME ?= 30s

.PHONY: demo measure measure-quick prove scale

demo: build
	bin/umberbench demo

measure-quick: build
	bin/umberbench surge --policy full --policy off --times 3 --before 1s --for 5s --after 4s --last-line

measure: build
	bin/umberbench surge --policy full --policy static --policy off --times 1 --times 3 --times 10 --out docs/measurements
	for s in slow half gray-errors gray-slow surge-and-slow; do \
		bin/umberbench surge --scenario $$s --policy full --policy static --policy off --times 3 --out docs/measurements || exit 1; done
	bin/umberbench hop

scale: build
	bin/umberbench scale
	go test -run xxx -bench . ./admission ./budget ./route ./gossip ./raft ./claims ./confstore

prove:
	go run ./cmd/umberbench prove --time $(PROVE_TIME)

SEEDS ?= 50

.PHONY: soak

soak: build
	bin/umberbench soak --seeds $(SEEDS) --jobs 3
