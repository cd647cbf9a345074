"""Shared documents from the platform's store, which instances also replicate among themselves.

An instance that the store rejects, that starts while the store is down, or that does not read a
document itself gets it from its peers.  A document is a set of keys with values.  Each key keeps
the revision at which it changed, so that a copy carries only the changes, and a change is never
replaced by an older one.
"""

from collections.abc import Callable, Mapping

import attrs
import xxhash

from rosedyke import runtime as runtime_module
from rosedyke.observe import event
from rosedyke.rerunnable_jobs import events, messages

# Removed keys that are remembered, so that the copy for a peer can list them.
MAX_REMOVED_KEYS = 2000
DIGEST_RANGE = 1 << 64
# Ages that differ by less are not exchanged.  News takes a few renewals to reach all instances, and
# the shortest bound on an age is 2 s.
AGE_TOLERANCE_S = 0.1

Changes = Mapping[str, bytes | None]


@attrs.define
class Value:
    """The value of a key, None if it was removed, and the revision of its last change."""

    content: bytes | None
    revision: int


@attrs.define
class Document:
    """A document as this instance knows it.

    Attributes
    ----------
    on_change : callable
        ``on_change(changes)``, called with the changed keys and their values, None if removed, and
        once without changes when an empty document becomes known; it must not block.
    revision : int
        All changes up to this revision of the store are included; 0 until it is known.
    checked_at : float
        When it was last known to equal the one in the store.
    values : dict of str to Value
        All keys, including removed ones.
    digest : int
        Sum of the hashes of the keys with their values; equal documents have the same.
    first_revision : int
        Changes after this revision are all in ``values``; earlier removals may be unknown.
    """

    on_change: Callable[[Changes], None]
    revision: int = 0
    checked_at: float = float("-inf")
    values: dict[str, Value] = attrs.Factory(dict)
    digest: int = 0
    first_revision: int = 0

    def content(self) -> dict[str, bytes]:
        """Return the values of all keys that are not removed."""
        return {
            key: value.content for key, value in self.values.items() if value.content is not None
        }

    def changes_to(self, content: Mapping[str, bytes]) -> Changes:
        """Return the changes that lead from this content to another one."""
        known = self.content()
        return {
            key: content.get(key)
            for key in sorted(known.keys() | content.keys())
            if known.get(key) != content.get(key)
        }

    def set(self, key: str, content: bytes | None, revision: int) -> bool:
        """Store a key's value unless a newer one is known; return whether it differs."""
        known = self.values.get(key)
        if known is not None and known.revision >= revision:
            return False
        known_content = known.content if known is not None else None
        if content == known_content:
            return False
        self.digest -= _hash(key, known_content)
        self.digest = (self.digest + _hash(key, content)) % DIGEST_RANGE
        self.values[key] = Value(content, revision)
        return True

    def digest_after(self, changes: Changes, revisions: Mapping[str, int], revision: int) -> int:
        """Return the digest that the document would have after ``apply``."""
        digest = self.digest
        for key, content in changes.items():
            known = self.values.get(key, Value(None, 0))
            if known.revision < revisions.get(key, revision):
                digest += _hash(key, content) - _hash(key, known.content)
        return digest % DIGEST_RANGE

    def apply(self, changes: Changes, revisions: Mapping[str, int], revision: int) -> None:
        """Store changed keys; the document then includes all changes up to ``revision``."""
        applied = {
            key: content
            for key, content in changes.items()
            if self.set(key, content, revisions.get(key, revision))
        }
        was_known = self.revision > 0
        self.revision = max(self.revision, revision)
        if not was_known:
            self.first_revision = self.revision
        self._forget_removed_keys()
        if applied or not was_known:
            self.on_change(applied)

    def _forget_removed_keys(self):
        removed = [key for key, value in self.values.items() if value.content is None]
        if len(removed) <= MAX_REMOVED_KEYS:
            return
        removed.sort(key=lambda key: self.values[key].revision)
        for key in removed[: len(removed) // 2]:
            self.first_revision = max(self.first_revision, self.values.pop(key).revision)


def _hash(key: str, content: bytes | None) -> int:
    if content is None:
        return 0
    return xxhash.xxh3_64_intdigest(key.encode() + b"\0" + content)


def is_news(version: messages.DocumentVersion, known: messages.DocumentVersion) -> bool:
    """Return whether a version has an effect at a peer with another one."""
    is_fresher = version.age_s < known.age_s - AGE_TOLERANCE_S
    return version.revision > known.revision or (version.digest == known.digest and is_fresher)


class Documents:
    """The shared documents of an instance, by topic."""

    def __init__(self, runtime: runtime_module.Runtime):
        self.runtime = runtime
        self.by_topic: dict[str, Document] = {}

    def add(self, topic: str, on_change: Callable[[Changes], None]) -> None:
        """Register a document."""
        self.by_topic[topic] = Document(on_change)

    def replace(self, topic: str, revision: int, content: Mapping[str, bytes]) -> None:
        """Store the whole content as read from the store at a revision, unless it is older."""
        document = self.by_topic[topic]
        if revision >= document.revision:
            self.confirm(topic)
            document.apply(document.changes_to(content), {}, revision)

    def confirm(self, topic: str) -> None:
        """Record that the store has just answered that a document has no further changes."""
        self.by_topic[topic].checked_at = self.runtime.now()

    def age_s(self, topic: str) -> float:
        """Return the seconds since a document was known to equal the one in the store."""
        return self.runtime.now() - self.by_topic[topic].checked_at

    def versions(self) -> dict[str, messages.DocumentVersion]:
        """Return the version of each known document."""
        return {
            topic: messages.DocumentVersion(document.revision, document.digest, self.age_s(topic))
            for topic, document in self.by_topic.items()
            if document.revision
        }

    def outdated_topics(self, versions: Mapping[str, messages.DocumentVersion]) -> list[str]:
        """Return the topics of which a peer with these versions has newer changes.

        A document with the same content takes over the peer's revision and age.
        """
        outdated = []
        for topic, version in versions.items():
            document = self.by_topic.get(topic)
            if document is None:
                continue
            if version.digest == document.digest:
                self._adopt(document, version)
            elif version.revision > document.revision:
                outdated.append(topic)
        return outdated

    def _adopt(self, document, version):
        document.checked_at = max(document.checked_at, self.runtime.now() - version.age_s)
        if version.revision > document.revision:
            document.apply({}, {}, version.revision)

    def copy_since(self, topic: str, revision: int) -> messages.DocumentCopy:
        """Return a copy for a peer that knows a document up to a revision.

        The copy has revision 0 if the document is not known here.
        """
        document = self.by_topic.get(topic)
        if document is None or not document.revision:
            return messages.DocumentCopy(topic, 0, 0, 0.0, True, ())
        is_whole = revision < document.first_revision or not revision
        return messages.DocumentCopy(
            topic,
            document.revision,
            document.digest,
            self.age_s(topic),
            is_whole,
            tuple(
                messages.DocumentValue(key, value.revision, value.content)
                for key, value in document.values.items()
                if (value.content is not None if is_whole else value.revision > revision)
            ),
        )

    def merge(self, copy: messages.DocumentCopy, source: str) -> bool:
        """Store the changes of a peer's copy.

        Parameters
        ----------
        source : str
            Name of the peer.

        Returns
        -------
        bool
            False if the peer's whole document is needed.
        """
        document = self.by_topic[copy.topic]
        if not copy.revision or copy.revision < document.revision:
            return True
        event.log(
            events.DOCUMENT_FROM_PEER,
            topic=copy.topic,
            revision=copy.revision,
            values=len(copy.values),
            peer=source,
        )
        changes = {value.key: value.content for value in copy.values}
        revisions = {value.key: value.revision for value in copy.values}
        if copy.is_whole:
            changes, revisions = document.changes_to(changes), {}
        # The sender has never seen a key that was added and removed between two of its reads, so
        # its changes do not remove such a key here.
        is_equal = document.digest_after(changes, revisions, copy.revision) == copy.digest
        document.apply(changes, revisions, copy.revision if is_equal else document.revision)
        if is_equal:
            document.checked_at = max(document.checked_at, self.runtime.now() - copy.age_s)
        return is_equal
