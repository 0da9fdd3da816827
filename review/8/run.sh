#!/usr/bin/env bash
# Two machines lose the store and return while a worker leaves. Exit code: 1 the rule was broken, 0 it held, 2 not run.
cd "$(dirname "$0")/../.." || exit 2
program=target/release/bamboo-relay
case=target/review-2/release/returns
[ -x "$program" ] && [ -x "$case" ] || exit 2
exec "$case" "$program" review/8/record.txt
