import unittest

from rosedyke.callers import application, settings
from rosedyke.configuration import intent
from rosedyke.daemon import gate, operator, recorder
from rosedyke.job import code
from rosedyke.membership import member
from rosedyke.standins import callers_fake, daemon_fake, virtual
from rosedyke.wire import peer

SERVER = intent.BackendServer("press-1", "10.0.0.1:80", "north")
SERVICE = intent.Service("sealing", "press", (), (SERVER,))
CONFIGURATION = intent.Configuration(3, (intent.Team("press", services=(SERVICE,)),))


def own(state=member.State.LIVE):
    return member.Member(peer.Peer("north-1", 7, "north", "127.0.0.1:1"), state)


class OperatorCase(unittest.TestCase):
    def setUp(self):
        clock = virtual.VirtualRuntime()
        self.current = daemon_fake.FakeCurrent(CONFIGURATION)
        self.membership = daemon_fake.FakeMembership(own())
        self.gate = gate.Gate(self.current, self.membership)
        self.recorder = recorder.Recorder(clock, self.current)
        self.manager = callers_fake.FakeManager()
        self.drained = []
        callers = application.Application(
            settings.CallersSettings(), clock, self.manager, self.gate, self.recorder
        )
        self.application = operator.OperatorApplication(
            "valley",
            clock,
            self.current,
            self.membership,
            self.gate,
            self.recorder,
            callers,
            daemon_fake.FakeServerUsage(),
            lambda: self.drained.append(1),
        )

    def ask(self, method, path):
        begun = []
        environ = {"REQUEST_METHOD": method, "PATH_INFO": path}
        pieces = self.application(environ, lambda status, fields: begun.append(status))
        return int(begun[0].split()[0]), b"".join(pieces)


class Status(OperatorCase):
    def test_status_survives_the_way_over_http(self):
        status, content = self.ask("GET", "/v1/operator/status")
        self.assertEqual(status, 200)
        decoded = operator.decode_status(content)
        self.assertEqual((decoded.name, decoded.generation, decoded.ready), ("north-1", 3, True))
        self.assertEqual(decoded.members[0].state, "live")
        self.assertEqual(
            decoded.servers[0],
            operator.ServerStatus("press-1", "sealing", "north", 8, 2, "ok"),
        )

    def test_leaving_server(self):
        self.current.leaving.add("press-1")
        _, content = self.ask("GET", "/v1/operator/status")
        self.assertEqual(operator.decode_status(content).servers[0].state, "leaving")

    def test_burn(self):
        _, content = self.ask("GET", "/v1/operator/burn")
        decoded = operator.decode_burn(content)
        self.assertEqual((decoded.instance, decoded.data_centre), ("north-1", "north"))

    def test_drain(self):
        self.assertEqual(self.ask("GET", "/v1/operator/drain")[0], 404)
        self.assertEqual(self.drained, [])
        self.assertEqual(self.ask("POST", "/v1/operator/drain")[0], 202)
        self.assertEqual(self.drained, [1])

    def test_other_paths_are_the_callers(self):
        self.assertEqual(self.ask("GET", "/readyz")[0], 200)


class Gate(unittest.TestCase):
    def reason(self, current, membership):
        refusal = gate.Gate(current, membership).refusal()
        return refusal and refusal.code

    def test_open_only_with_a_configuration_and_a_serving_member(self):
        with_file = daemon_fake.FakeCurrent(CONFIGURATION)
        self.assertIsNone(self.reason(with_file, daemon_fake.FakeMembership(own())))
        joining = daemon_fake.FakeMembership(own(member.State.JOINING))
        self.assertIs(self.reason(with_file, joining), code.Code.NOT_READY)
        without = daemon_fake.FakeCurrent()
        self.assertIs(self.reason(without, daemon_fake.FakeMembership(own())), code.Code.NOT_READY)

    def test_draining_comes_first(self):
        closed = gate.Gate(daemon_fake.FakeCurrent(), daemon_fake.FakeMembership(own()))
        closed.is_draining = True
        self.assertIs(closed.refusal().code, code.Code.DRAINING)


if __name__ == "__main__":
    unittest.main()
