#!/usr/bin/env bash
# 0: the rule held, 1: it was broken, 2: the case could not run.
cd "$(dirname "$0")/../.." || exit 2
case=target/review/case-1
[ -x "$case" ] && [ -x target/platform-balancer ] && [ -x target/platform-agent ] || exit 2
timeout -k 5 115 "$case" review/1/record.txt target/platform-balancer target/platform-agent
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
