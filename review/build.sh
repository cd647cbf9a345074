#!/bin/sh
# Builds the stand-ins that the scripts start.  They are Python modules of this repository and use
# the libraries of the deploy file's build, so it is enough to compile and import them.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH=target/deps:platform:. exec python3 -W ignore -c "
import py_compile, sys
sys.dont_write_bytecode = True
for name in ('deployment', '1/case', '2/case', '3/case', '3/cut'):
    compile(open(f'review/{name}.py').read(), name, 'exec')
import adapter.fake_platform, rosedyke.standins.leased_servers
print('the stand-ins are built')
"
