# Targets for a checkout of hyssoplock; `make help` lists them.

CARGO ?= cargo
# Extra flags for every build, such as `--locked` or `-j4`.
FLAGS ?=
# Where `make try` leaves its settings files and logs.
OUT ?= try-logs
# How many cases each property gets from `make fuzz`, and the seed they start from.
CASES ?= 20000
SEED ?= 1
# How often `make test-repeat` runs the tests, which ones (a filterset of nextest), and where its logs go.
N ?= 20
TESTS ?= all()
REPEAT_OUT ?= repeat-logs
# Which seeds `make soak` plays, the last one left out.
SEEDS ?= 1..4

.PHONY: help setup build try test test-repeat lint bench bench-affinity scale bench-entry soak fuzz

help:
	@echo "make setup   install what the build needs (cmake)"
	@echo "make build   build the programs"
	@echo "make try     start a sample deployment, send it a burst and check the promises"
	@echo "make test    run all tests"
	@echo "make test-repeat   run tests N times (N=20 TESTS='package(router)') and list failures with what replays them"
	@echo "make lint    check format and lints"
	@echo "make bench   measure overhead and goodput, beside the last result"
	@echo "make bench-affinity   measure what cached prompt prefixes save"
	@echo "make bench-entry   measure what an entry adds to a call"
	@echo "make scale   measure what each role takes at several sizes, beside the last result"
	@echo "make soak   play seeds of faults against routers and loaders as processes (SEEDS=1..51)"
	@echo "make fuzz    run the property tests with many more cases (CASES, SEED), and the long tests"

setup:
	@.ci/setup

build: setup
	$(CARGO) build $(FLAGS) --workspace --bins

try: build
	$(CARGO) run $(FLAGS) --quiet --bin hyssop-load -- try --out $(OUT)

test: setup
	@FLAGS="$(FLAGS)" .ci/test

test-repeat: setup
	@FLAGS="$(FLAGS)" .ci/repeat $(N) "$(TESTS)" $(REPEAT_OUT)

lint: setup
	$(CARGO) fmt --all -- --check
	$(CARGO) clippy $(FLAGS) --workspace --all-targets -- -D warnings

bench: setup
	$(CARGO) build $(FLAGS) --release --workspace --bins
	$(CARGO) run $(FLAGS) --release --quiet --bin hyssop-load -- bench

bench-affinity: setup
	$(CARGO) build $(FLAGS) --release --workspace --bins
	$(CARGO) run $(FLAGS) --release --quiet --bin hyssop-load -- affinity

bench-entry: setup
	$(CARGO) build $(FLAGS) --release --bin hyssop-entry
	$(CARGO) run $(FLAGS) --release --quiet -p entry --example overhead

scale: setup
	$(CARGO) build $(FLAGS) --release --workspace --bins
	$(CARGO) run $(FLAGS) --release --quiet --bin hyssop-load -- scale

soak: setup
	$(CARGO) build $(FLAGS) --workspace --bins
	$(CARGO) run $(FLAGS) --quiet --bin hyssop-load -- soak --seeds $(SEEDS)

fuzz: setup
	PROPTEST_CASES=$(CASES) PROPTEST_RNG_SEED=$(SEED) LONG=1 FLAGS="$(FLAGS)" .ci/test
	FUZZ_CASES=$(CASES) FUZZ_SEED=$(SEED) $(CARGO) test $(FLAGS) --release -p state --test fuzz -- --ignored
