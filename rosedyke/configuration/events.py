"""Numbered log events of the configuration package."""

import logging

from rosedyke.observe import event

IN_FORCE = event.define(
    2000,
    "configuration_in_force",
    logging.INFO,
    "A newer generation is active at this instance; the source field tells where it came from.",
)
STORE_FAILED = event.define(
    2001,
    "configuration_store_failed",
    logging.WARNING,
    "A watcher failed to read or watch the store; the instance keeps its current generation. "
    "See the runbook for a store outage.",
)
STORE_BEHIND = event.define(
    2002,
    "configuration_store_behind",
    logging.WARNING,
    "The store returned an older generation or revision than this instance has; it was ignored. "
    "If this persists, the store was restored from a backup: apply the files again.",
)
STORE_FORKED = event.define(
    2003,
    "configuration_store_forked",
    logging.ERROR,
    "The store or a peer has another change with the same generation: the store was restored from "
    "a backup. Apply the files again; a higher generation resolves the conflict.",
)
WATCH_SILENT = event.define(
    2004,
    "configuration_watch_silent",
    logging.WARNING,
    "A read found a change that the open watch did not report; the watch is reopened.",
)
FILE_UNREADABLE = event.define(
    2005,
    "configuration_file_unreadable",
    logging.ERROR,
    "A team's file in the store has a later format than this version supports; the instance keeps "
    "its current generation. Upgrade the instance to a newer version.",
)
PULL_FAILED = event.define(
    2006,
    "configuration_pull_failed",
    logging.INFO,
    "A pull from a peer with a newer generation failed; another peer is tried.",
)
SERVERS_LEAVING = event.define(
    2007,
    "configuration_servers_leaving",
    logging.INFO,
    "The platform's list of leaving backend servers changed; these servers get no new tasks.",
)
SUBSCRIBER_FAILED = event.define(
    2008,
    "configuration_subscriber_failed",
    logging.ERROR,
    "A subscriber failed to process a new generation and may still use the previous one. This is "
    "a bug: report it, and replace the instance.",
)
