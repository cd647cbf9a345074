import unittest

import processes
import region


class Addresses(unittest.TestCase):
    """The kernel may assign a port twice before a process has bound it: not on an own address."""

    def ips(self, created):
        addresses = [created.store_address]
        for instance in created.instances:
            addresses += [
                instance.caller_address,
                instance.operator_address,
                instance.peer_address,
            ]
        return {address.rsplit(":", 1)[0] for address in addresses}

    def test_regions_that_run_at_the_same_time_share_no_address(self):
        # An instance doesn't start, "Address already in use", and the test waits for its readiness
        # in vain: between the choice of a port and its use another region has taken it.
        first, second = (
            region.Region(processes.Group(None), ("dc1", "dc2", "dc3"), 2) for _ in range(2)
        )
        self.assertEqual(self.ips(first) & self.ips(second), set())

    def test_each_program_of_a_region_has_an_address_of_its_own(self):
        created = region.Region(processes.Group(None), ("dc1", "dc2", "dc3"), 2)
        self.assertEqual(len(self.ips(created)), 1 + len(created.instances))


if __name__ == "__main__":
    unittest.main()
