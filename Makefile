# build, test, lint and run.

.PHONY: build test soak faults lint run run-gearman console check

build:
	cargo build --release --locked

test:
	cargo test --locked --workspace --no-fail-fast

# What takes minutes: every crash point of the store, fleets over many seeds.
soak:
	SOAK=1 cargo test --locked --workspace -- --nocapture

lint:
	cargo fmt --check
	cargo clippy --locked --workspace --all-targets -- -D warnings
	RUSTDOCFLAGS="-D warnings" cargo doc --locked --workspace --no-deps

# Needs ROUTER_CONFIG; see the README.
run: build
	target/release/pumiceway serve

# Both frontends: HTTP and Gearman.
run-gearman: build
	target/release/pumiceway serve --gearman deploy/gearman.toml

console: build
	target/release/pumiceway console

# All that must hold before a change lands. What touches what the platform runs also plays, one after the other and with
# nothing else running, the quick days of the full fleet and of a hundred dispatchers on szeged-budapest, and those on
# real sockets and in the simulator on szeged-budapest and on verband-katalog; in full at every third.
check:
	bash .ci/run

# Random, overlapping faults over thirty real processes, a seed after the other; SEEDS=FROM..TO.
SEEDS ?= 11..21
faults:
	cargo build --release --locked
	FAULT_SEEDS=$(SEEDS) FAULT_PROGRAM=$(CURDIR)/target/release/pumiceway \
		cargo test --locked -p pumiceway --test faults further -- --nocapture
