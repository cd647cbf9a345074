"""Numbered log events of the configuration package."""

import logging

from rosedyke.observe import event

IN_FORCE = event.define(
    2000,
    "configuration_in_force",
    logging.INFO,
    "A newer generation is in force at this instance; the fields say from where it came.",
)
STORE_FAILED = event.define(
    2001,
    "configuration_store_failed",
    logging.WARNING,
    "The store didn't answer a watcher; the instance goes on with the generation it has. "
    "See the runbook for a store that is down.",
)
STORE_BEHIND = event.define(
    2002,
    "configuration_store_behind",
    logging.WARNING,
    "The store answered with an older generation or revision than this instance holds; it was "
    "ignored. If it lasts, the store was restored from an old copy: apply the files again.",
)
STORE_FORKED = event.define(
    2003,
    "configuration_store_forked",
    logging.ERROR,
    "The same generation was made by another change than the one held here: the store was "
    "restored from an old copy. Apply the files again; the next generations settle it.",
)
WATCH_SILENT = event.define(
    2004,
    "configuration_watch_silent",
    logging.WARNING,
    "A read found a change that the open watch never reported; the watch is opened anew.",
)
FILE_UNREADABLE = event.define(
    2005,
    "configuration_file_unreadable",
    logging.ERROR,
    "A team's file in the store has a later format than this version knows; the instance keeps the "
    "generation it has. Replace the instance with a newer version.",
)
PULL_FAILED = event.define(
    2006,
    "configuration_pull_failed",
    logging.INFO,
    "A peer that has a newer generation didn't hand it over; another one is asked.",
)
SERVERS_LEAVING = event.define(
    2007,
    "configuration_servers_leaving",
    logging.INFO,
    "The platform's list of leaving backend servers changed; they get no new work.",
)
SUBSCRIBER_FAILED = event.define(
    2008,
    "configuration_subscriber_failed",
    logging.ERROR,
    "A part of the instance failed on a new generation and may go on with the one before. This is "
    "a fault of the program: report it, and replace the instance.",
)
