import base64
import unittest

from rosedyke.standins import keyvalue, store_format


def b64(text):
    return base64.b64encode(text.encode()).decode()


class Revisions(unittest.TestCase):
    def setUp(self):
        self.state = keyvalue.KeyValue()

    def txn(self, **request):
        return store_format.do_txn(self.state, request, stale_revision=0)

    def put(self, key, value, **fields):
        return {"request_put": {"key": b64(key), "value": b64(value), **fields}}

    def test_operations_of_a_transaction_share_one_revision(self):
        self.txn(success=[self.put("a", "1"), self.put("b", "2")])
        revisions = {record.mod_revision for record in self.state.records.values()}
        self.assertEqual((revisions, self.state.revision), ({2}, 2))

    def test_failed_comparison_runs_the_failure_operations(self):
        comparison = {"key": b64("a"), "target": "VERSION", "result": "GREATER", "version": "0"}
        document = self.txn(
            compare=[comparison], success=[self.put("a", "1")], failure=[self.put("b", "2")]
        )
        self.assertNotIn("succeeded", document)
        self.assertEqual(list(self.state.records), [b"b"])

    def test_operation_name_in_camel_case(self):
        self.txn(success=[{"requestPut": {"key": b64("a"), "value": b64("1")}}])
        self.assertEqual(self.state.records[b"a"].value, b"1")

    def test_earlier_revisions_are_readable_until_compacted(self):
        for value in ("1", "2", "3"):
            self.txn(success=[self.put("a", value)])
        self.assertEqual(self.state.range(b"a", revision=3)[0][0].value, b"2")
        self.state.compact(4)
        with self.assertRaises(keyvalue.Compacted):
            self.state.range(b"a", revision=3)
        with self.assertRaises(keyvalue.Compacted):
            self.state.since(3, b"a", b"")
        self.assertEqual(self.state.range(b"a", revision=4)[0][0].value, b"3")

    def test_too_many_operations_are_rejected(self):
        with self.assertRaises(store_format.BadRequest):
            self.txn(success=[self.put(f"k{number}", "") for number in range(129)])


class Leases(unittest.TestCase):
    def setUp(self):
        self.state = keyvalue.KeyValue()
        self.lease = self.state.grant(10, now=0.0)
        self.state.put(b"a", b"1", 2, self.lease)
        self.state.revision = 2

    def test_expiry_of_a_lease_deletes_its_keys(self):
        self.assertEqual(self.state.expire(now=9.9), 0)
        self.assertEqual(self.state.expire(now=10.0), 1)
        self.assertEqual((self.state.records, self.state.revision), ({}, 3))

    def test_keep_alive_extends_a_lease(self):
        self.state.keep_alive(self.lease, now=9.0)
        self.assertEqual(self.state.expire(now=18.9), 0)

    def test_expired_lease_is_unknown(self):
        self.state.expire(now=11.0)
        with self.assertRaises(keyvalue.UnknownLease):
            self.state.keep_alive(self.lease, now=11.0)
        with self.assertRaises(keyvalue.UnknownLease):
            self.state.put(b"b", b"", 4, self.lease)
