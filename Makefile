# Targets for a new Debian 12 machine; see README.md and CONTRIBUTING.md.
PRESET ?= default
BUILD = build/$(PRESET)

.PHONY: setup build test demo bench matrix format lint fuzz sanitize clean

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

matrix: build
	tests/run_matrix $(BUILD)

fuzz: setup
	cmake --preset fuzz > /dev/null
	cmake --build build/fuzz --target fuzz_configuration fuzz_settings fuzz_frame fuzz_response fuzz_rows
	fuzz/run build/fuzz

sanitize: setup
	cmake --preset address > /dev/null
	cmake --build build/address
	ctest --test-dir build/address --output-on-failure -R '_logic_test|wire_test|http_server_test|process_path_test|process_once_test|process_orders_test|process_affinity_test|process_region_test'
	cmake --preset thread > /dev/null
	cmake --build build/thread --target wire_test http_server_test
	ctest --test-dir build/thread --output-on-failure -R 'wire_test|http_server_test'
