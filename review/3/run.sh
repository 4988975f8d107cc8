#!/usr/bin/env bash
# Runs this case; see claim.txt. TROUBLE=0 leaves the disruption out.
exec bash "$(dirname "$0")/../run_case.sh" late-request "$(cd "$(dirname "$0")" && pwd)"
