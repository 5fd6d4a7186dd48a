# Wraps CMake. Targets that build, test or lint first install the Debian packages that are missing.

BUILD ?= build
BUILD_TEST ?= build-test

.PHONY: all deps build demo test soak soak-processes fuzz bench capacity format lint clean

all: build

deps:
	@scripts/install-deps.sh

build: deps
	@cmake -S . -B $(BUILD) -G Ninja >/dev/null
	@cmake --build $(BUILD)

demo: build
	@BUILD=$(BUILD) scripts/demo.sh

test: deps
	@BUILD=$(BUILD_TEST) scripts/test.sh

# Runs the seeded property tests with more seeds than in CI.
soak: build
	@SKH_SEEDS=$${SKH_SEEDS:-20000} $(BUILD)/test/unit --gtest_brief=1 \
		--gtest_filter='History.Nothing*:ExpertMap.No*:ExpertMap.ASuccessor*'

# Runs gateways and balancers as processes under injected faults, one run for each seed.
soak-processes: build
	@for seed in $$(seq $${SKH_FIRST:-100} $${SKH_LAST:-119}); do \
		python3 soak/soak.py --build $(BUILD) --seed $$seed --seconds 25 || exit 1; \
	done

# Runs each fuzz target for a minute. Add each input that fails to fuzz/corpus and to a test.
fuzz: deps
	@BUILD=build-fuzz FUZZ_SECONDS=$${FUZZ_SECONDS:-60} fuzz/run.sh

bench: build
	@BUILD=$(BUILD) bench/run.sh

capacity: build
	@BUILD=$(BUILD) bench/capacity.sh

format:
	@clang-format -i $$(git ls-files -co --exclude-standard '*.c' '*.h' '*.cc' | grep -v pb-c)

lint: deps
	@BUILD=$(BUILD_TEST) scripts/lint.sh

clean:
	rm -rf $(BUILD) $(BUILD_TEST)
