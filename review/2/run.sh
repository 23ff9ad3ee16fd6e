#!/bin/sh
# 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0: without the disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
sh review/build.sh >/dev/null 2>&1 || exit 2
target/review/release/standins chain-refusal "$here/record.txt"
