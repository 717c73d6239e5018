from unittest import TestCase

from cranberryshore.limits import FairQueue, TeamQuotas


class FairQueueTest(TestCase):
    def setUp(self):
        self.queue = FairQueue(is_live=lambda entry: True)

    def take(self, count):
        taken = []
        for _ in range(count):
            team, urgent, entry = self.queue.peek()
            self.queue.charge(team, urgent, 1.0)
            taken.append(self.queue.pop(team, urgent))
        return taken

    def test_idle_team_accumulates_no_credit(self):
        for number in range(10):
            self.queue.push("a", False, f"a{number}")
        self.take(8)
        for number in range(4):
            self.queue.push("b", False, f"b{number}")
        self.assertEqual(sum(entry.startswith("a") for entry in self.take(4)), 2)

    def test_urgent_first_but_ordinary_never_starves(self):
        for number in range(20):
            self.queue.push("a", True, f"urgent-{number}")
        self.queue.push("b", False, "ordinary")
        taken = self.take(10)
        self.assertEqual(taken[0], "urgent-0")
        self.assertIn("ordinary", taken)


class QuotaTest(TestCase):
    def test_shares_add_up_to_the_quota(self):
        demands = {"e1": 9000, "e2": 3000, "e3": 0}
        rooms = []
        for own in demands:
            quotas = TeamQuotas({"team": 6000})
            for peer, demand in demands.items():
                if peer != own:
                    quotas.set_peer_demand(peer, {"team": demand})
            rooms.append(quotas.room("team", 0, demands[own]))
        self.assertEqual(rooms, [4500, 1500, 0])
