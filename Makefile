# Commands for a fresh Debian 12 machine; see README.md and CONTRIBUTING.md.
PRESET ?= default
BUILD = build/$(PRESET)

.PHONY: setup build test demo bench matrix format lint fuzz clean

setup:
	.ci/setup

build: setup
	cmake --preset $(PRESET) > /dev/null
	cmake --build $(BUILD)

test: build
	ctest --test-dir $(BUILD) --output-on-failure -j 4

demo: build
	$(BUILD)/tests/demo

bench: build
	benchmark/run $(BUILD)

format:
	.ci/format

lint: build
	.ci/lint $(BUILD)

clean:
	rm -rf build
