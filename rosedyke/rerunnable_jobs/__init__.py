"""Rerunnable jobs: they may run again from the start, but never twice at the same time.

A job's *holder* is the instance that answers its caller.  Backend servers are grouped into *pools*,
and one instance at a time, the pool's *owner*, controls the servers of a pool: it places tasks,
renews the leases that they run under, and processes their completions.  Servers fence off a former
owner by its lower token, so ownership needs neither consensus nor a store.
"""
