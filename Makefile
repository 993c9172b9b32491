.PHONY: all build test lint fmt

all: lint test build

build:
	go build -o bin/ ./cmd/...

test:
	go test -count=1 ./...

lint:
	@test -z "$$(gofmt -l .)" || { echo "not formatted:"; gofmt -l .; exit 1; }
	go vet ./...
	go tool staticcheck ./...

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
