#!/bin/sh
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0: no disruption.
here=$(cd "$(dirname "$0")" && pwd)
RECORD="$here/record.txt" exec node "$here/case.mjs"
