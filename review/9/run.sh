#!/bin/sh
# The machines that follow the store lose power as a key is withdrawn. Exit code: 1 the rule was broken, 0 it held, 2 not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/bamboo-relay ] && [ -x target/review-2/alone ] || exit 2
exec target/review-2/alone review/9
