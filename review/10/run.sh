#!/usr/bin/env bash
# Unreadable entries beside those of the workers. Exit code: 1 the rule was broken, 0 it held, 2 not run.
cd "$(dirname "$0")/../.." || exit 2
program=target/release/bamboo-relay
case=target/review-2/release/odd-entries
[ -x "$program" ] && [ -x "$case" ] || exit 2
exec "$case" "$program" review/10/record.txt
