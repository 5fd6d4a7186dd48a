# Wraps CMake. Every target works on a fresh machine: what is missing is
# installed first.

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

# The seeded sweeps of the promises, longer than in CI.
soak: build
	@SKH_SEEDS=$${SKH_SEEDS:-20000} $(BUILD)/test/unit --gtest_brief=1 \
		--gtest_filter='History.Nothing*:ExpertMap.No*:ExpertMap.Once*'

# Gateways and balancers as processes, faults from outside, seeds in a row.
soak-processes: build
	@for seed in $$(seq $${SKH_FIRST:-100} $${SKH_LAST:-119}); do \
		python3 soak/soak.py --build $(BUILD) --seed $$seed --seconds 25 || exit 1; \
	done

# Each target for a minute; what it finds goes into fuzz/corpus and a test.
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
