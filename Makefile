# What a maintainer does most. `bash .ci/run` does what CI does.
.PHONY: build test race lint run clean

build:
	sh -c "$$(sed -n 's/^build = "\(.*\)".*$$/\1/p' deploy/balancer.toml)"

test:
	go test -count=1 $$(go list ./... | grep -v /internal/testing/faultinjection$$)
	go test -count=1 ./internal/testing/faultinjection

race:
	GOFLAGS=-race go test -count=1 ./...

lint:
	@test -z "$$(gofmt -l policy internal cmd)" || { gofmt -l policy internal cmd; exit 1; }
	go vet ./...
	go tool -modfile=tools/go.mod staticcheck ./...
	go tool -modfile=tools/go.mod golangci-lint run ./...
	@unreachable=$$(go tool -modfile=tools/go.mod deadcode -test ./...); test -z "$$unreachable" || { echo "$$unreachable"; exit 1; }

# RELAY_CONFIG names the file that a gateway is told everything in (README, Start).
run: build
	@test -n "$$RELAY_CONFIG" || { echo "RELAY_CONFIG names no configuration file" >&2; exit 1; }
	sh -c "$$(sed -n 's/^run = "\(.*\)"$$/\1/p' deploy/balancer.toml)"

clean:
	rm -rf bin
