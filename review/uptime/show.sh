#!/bin/sh
# Shows a fault that no case can show, because it takes a process that has run for a day: see uptime.txt. It works on a
# copy of the sources in a temporary folder, changes nothing else, and needs no network.
#
# 1. A unit test on the unchanged sources: a time of 25 hours after the start is converted like any other.
# 2. A copy of the program whose clock started 23 h 59 min 50 s before the process (one changed line), in a fleet of three.
#
# Exits with 1 if the fault is there, 0 if not, 2 if it couldn't run.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
root=$(pwd)
copy=$(mktemp -d) || exit 2
trap 'rm -rf "$copy"' EXIT
cp -r Cargo.toml Cargo.lock crates docs "$copy" || exit 2
cd "$copy" || exit 2
cat >>crates/gateway/src/clock/tests.rs <<'TEST'

/// Expected: a time more than a day after the start is converted like any other.
#[test]
fn time_more_than_a_day_after_the_start_is_converted() {
    let clock = Clock::start();
    let later = clock.instant(clock.start_ms + 25.0 * 3_600_000.0) - clock.start;
    assert_eq!(later, Duration::from_secs(25 * 3600));
}
TEST
cargo test --offline --locked -p irishinge-gateway --bin irishinge clock >"$folder/record-test.txt" 2>&1
grep -E '^test |panicked|left:|right:' "$folder/record-test.txt"
grep -q '^test clock::' "$folder/record-test.txt" || exit 2

shifted='Clock { start: Instant::now() - Duration::from_secs(86_390), start_ms: unix.as_secs_f64() * 1000.0 - 86_390_000.0 }'
sed -i "s/Clock { start: Instant::now(), start_ms: unix.as_secs_f64() \* 1000.0 }/$shifted/" crates/gateway/src/clock.rs
grep -q 86_390 crates/gateway/src/clock.rs || exit 2
cargo build --release --offline --locked -p irishinge-gateway >"$folder/record-build.txt" 2>&1 || exit 2
cd "$root" || exit 2
mkdir "$copy/case" || exit 2
CASE_TMP=$copy/case RECORD=$folder/record.txt COPY_RUN="exec $copy/target/release/irishinge" \
  review/standins-2/target/release/review-standins-2 uptime
status=$?
rm -f "$folder/record-build.txt"
[ "$status" -le 1 ] && exit "$status"
exit 2
