import unittest

from rosedyke.callers import application, settings
from rosedyke.configuration import intent
from rosedyke.daemon import operator_api, readiness, slo_recorder
from rosedyke.job import code
from rosedyke.membership import member
from rosedyke.standins import callers_fake, daemon_fake, virtual
from rosedyke.wire import peer

SERVER = intent.BackendServer("press-1", "10.0.0.1:80", "north")
SERVICE = intent.Service("sealing", "press", (), (SERVER,))
CONFIGURATION = intent.Configuration(3, (intent.Team("press", services=(SERVICE,)),))


def local_member(state=member.State.LIVE):
    return member.Member(peer.Peer("north-1", 7, "north", "127.0.0.1:1"), state)


class OperatorCase(unittest.TestCase):
    def setUp(self):
        clock = virtual.VirtualRuntime()
        self.current = daemon_fake.FakeCurrent(CONFIGURATION)
        self.membership = daemon_fake.FakeMembership(local_member())
        self.readiness = readiness.ReadinessCheck(self.current, self.membership)
        self.recorder = slo_recorder.SloRecorder(clock, self.current)
        self.manager = callers_fake.FakeManager()
        self.drain_requests = []
        callers = application.Application(
            settings.CallersSettings(), clock, self.manager, self.readiness, self.recorder
        )
        self.application = operator_api.OperatorApplication(
            "valley",
            clock,
            self.current,
            self.membership,
            self.readiness,
            self.recorder,
            callers,
            daemon_fake.FakeServerUsage(),
            lambda: self.drain_requests.append(1),
        )

    def request(self, method, path):
        statuses = []
        environ = {"REQUEST_METHOD": method, "PATH_INFO": path}
        chunks = self.application(environ, lambda status, fields: statuses.append(status))
        return int(statuses[0].split()[0]), b"".join(chunks)


class Status(OperatorCase):
    def test_status_round_trip(self):
        status, content = self.request("GET", "/v1/operator/status")
        self.assertEqual(status, 200)
        decoded = operator_api.decode_status(content)
        self.assertEqual((decoded.name, decoded.generation, decoded.ready), ("north-1", 3, True))
        self.assertEqual(decoded.members[0].state, "live")
        self.assertEqual(
            decoded.servers[0],
            operator_api.ServerStatus("press-1", "sealing", "north", 8, 2, "ok"),
        )

    def test_leaving_server(self):
        self.current.leaving.add("press-1")
        _, content = self.request("GET", "/v1/operator/status")
        self.assertEqual(operator_api.decode_status(content).servers[0].state, "leaving")

    def test_burn(self):
        _, content = self.request("GET", "/v1/operator/burn")
        decoded = operator_api.decode_burn(content)
        self.assertEqual((decoded.instance, decoded.data_centre), ("north-1", "north"))

    def test_drain(self):
        self.assertEqual(self.request("GET", "/v1/operator/drain")[0], 404)
        self.assertEqual(self.drain_requests, [])
        self.assertEqual(self.request("POST", "/v1/operator/drain")[0], 202)
        self.assertEqual(self.drain_requests, [1])

    def test_other_paths_go_to_the_callers_application(self):
        self.assertEqual(self.request("GET", "/readyz")[0], 200)


class ReadinessCheckTest(unittest.TestCase):
    def refusal_code(self, current, membership):
        refusal = readiness.ReadinessCheck(current, membership).refusal()
        return refusal and refusal.code

    def test_ready_only_with_a_configuration_and_a_serving_member(self):
        configured = daemon_fake.FakeCurrent(CONFIGURATION)
        self.assertIsNone(self.refusal_code(configured, daemon_fake.FakeMembership(local_member())))
        joining = daemon_fake.FakeMembership(local_member(member.State.JOINING))
        self.assertIs(self.refusal_code(configured, joining), code.Code.NOT_READY)
        unconfigured = daemon_fake.FakeCurrent()
        self.assertIs(
            self.refusal_code(unconfigured, daemon_fake.FakeMembership(local_member())),
            code.Code.NOT_READY,
        )

    def test_draining_takes_precedence(self):
        readiness_check = readiness.ReadinessCheck(
            daemon_fake.FakeCurrent(), daemon_fake.FakeMembership(local_member())
        )
        readiness_check.is_draining = True
        self.assertIs(readiness_check.refusal().code, code.Code.DRAINING)


if __name__ == "__main__":
    unittest.main()
