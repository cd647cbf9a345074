"""Rerunnable jobs: they may run again from the start, but never twice at the same time.

A job's *holder* is the instance that answers its caller.  The backend servers of a data centre
form a *pool*, and one instance at a time, the pool's *owner*, talks to them: it places tasks,
renews the lease that everything on a server runs under, and takes note of the ends.  A fencing
token makes an owner's successor safe against it, so ownership needs no agreement and no store.
"""
