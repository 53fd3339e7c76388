#!/bin/sh
# Builds what the cases of the second review start: the project itself and its stand-ins of the state
# service, the cloud, the workers and the load balancer (target/local). Needs no network once the
# packages are installed, which `build` of deploy/service.toml does.
set -e
cd "$(dirname "$0")/.."
npm run --silent build
test -f target/local/index.js
test -f target/bin/main.js
