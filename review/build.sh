#!/bin/sh
# Builds what the cases start: the project and its stand-ins (target/local). The stand-ins and
# clients of the cases themselves are plain JavaScript (review/harness.mjs) and need no build.
set -eu
cd "$(dirname "$0")/.."
[ node_modules -nt package-lock.json ] || npm ci --silent
npm run --silent build
test -f target/local/index.js
test -f target/http/client.js
