BUILD ?= build

.PHONY: all packages build demo check lint format bench clean

all: build

packages:
	@scripts/install-packages

build: packages
	@cmake -S . -B $(BUILD) -G Ninja > /dev/null
	@cmake --build $(BUILD)

# Installs, builds, starts stand-ins and two entry hosts, sends requests, prints the result, stops all.
demo: build
	@scripts/demo $(BUILD)

# Installs, builds, and runs all tests.
check: build
	@scripts/run-tests $(BUILD)

lint: build
	@scripts/lint $(BUILD)

format:
	@scripts/lint --fix-format

# Makes the figures of docs/CAPACITY.md anew.
bench: build
	@scripts/bench $(BUILD)

clean:
	rm -rf $(BUILD)
