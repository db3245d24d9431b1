#!/bin/sh
# The third review has no script among its cases, so that there is no stand-in to build. The day in review/11 is played by the bench.
exit 0
