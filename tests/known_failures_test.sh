#!/bin/bash
# Checks that CI passes over exactly the cases that KNOWN-RED.txt lists. Argument: source directory.
set -euo pipefail
source_dir=$1
folder=$(mktemp -d)
trap 'rm -r "$folder"' EXIT
printf 'test: alpha_test\ncase: alpha.one\nseen: fails sometimes\n\ntest: beta_test\ncase: beta.two\n' \
    > "$folder/known"

# expect EXIT_CODE DESCRIPTION; reads a ctest log from standard input
expect() {
    local status=0
    cat > "$folder/log"
    "$source_dir/.ci/known_failures" "$folder/log" "$folder/known" > "$folder/output" || status=$?
    if [ "$status" -ne "$1" ]; then
        echo "$2: exit code $status instead of $1"
        cat "$folder/output"
        exit 1
    fi
}

expect 0 "a listed case" <<'LOG'
 1/2 Test #1: alpha_test .......................***Failed    0.10 sec
[  FAILED  ] alpha.one (12 ms)
[  FAILED  ] alpha.one

 1 FAILED TEST
 2/2 Test #2: beta_test ........................   Passed    0.10 sec
LOG
expect 1 "another case of a listed program" <<'LOG'
 1/1 Test #1: alpha_test .......................***Failed    0.10 sec
[  FAILED  ] alpha.one (12 ms)
[  FAILED  ] alpha.three (3 ms)
[  FAILED  ] alpha.one
[  FAILED  ] alpha.three

 2 FAILED TESTS
LOG
expect 1 "a case that is listed for another program" <<'LOG'
 1/1 Test #2: beta_test ........................***Failed    0.10 sec
[  FAILED  ] alpha.one
 1 FAILED TEST
LOG
expect 1 "a crash after a listed case" <<'LOG'
 1/1 Test #1: alpha_test .......................***Exception: SegFault  0.10 sec
[  FAILED  ] alpha.one (12 ms)
LOG
expect 1 "a timeout" <<'LOG'
 1/1 Test #1: alpha_test .......................***Timeout 240.01 sec
LOG
expect 1 "a failed build" <<'LOG'
ninja: build stopped: subcommand failed.
LOG
