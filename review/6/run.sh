#!/usr/bin/env bash
# Callers that stop reading for 3.5 s. Exit code: 1 the rule was broken, 0 it held, 2 not run.
cd "$(dirname "$0")/../.." || exit 2
program=target/release/bamboo-relay
case=target/review-2/release/slow-reader
[ -x "$program" ] && [ -x "$case" ] || exit 2
exec "$case" "$program" review/6/record.txt
