#!/bin/sh
# Plays a scene of review/testdata/lab that is no case (REPORT.md names them), and writes scenes/NAME/record.txt. Exit status and
# TROUBLE=0 as of a case's run.sh.
#
#     sh review/scene.sh debts|lease|rule|left
cd "$(dirname "$0")/.." || exit 2
[ -x review/bin/lab ] && [ -x bin/harrierhoist ] || { echo "not built" >&2; exit 2; }
mkdir -p "review/scenes/$1" && exec review/bin/lab "$1" "review/scenes/$1"
