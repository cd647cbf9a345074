"""Exit codes of the command-line tool, so that scripts can act on an outcome without its text."""

OK = 0
FAILED = 1  # interrupted, timed out or an internal error; the result is not known
USAGE = 2  # the command line or a setting is invalid
REJECTED = 3  # the files or the job have faults; nothing was changed, nothing ran
CONFLICT = 4  # another operator's change came first; nothing was changed
UNKNOWN = 5  # the store's reply was lost; the output names the command that checks the result
UNREACHABLE = 6  # the store or instance could not be reached; nothing was changed
NOT_IN_FORCE = 7  # accepted, but not yet in force at every instance when the wait ended
DIFFERS = 8  # `diff` found a difference
NOT_FOUND = 9  # the named team, change or job does not exist
JOB_FAILED = 10  # the job ended without a complete answer
