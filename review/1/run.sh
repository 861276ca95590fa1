#!/usr/bin/env bash
exec "$(dirname "$0")/../run_driver.sh" "$(dirname "$0")" old_reply
