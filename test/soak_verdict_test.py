"""Tests of what excuses an attempt's end in a soak."""
import os, sys, unittest

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "scripts"))
from soak_verdict import Attempt, Choice, Evidence, Fault, Join, Judge, is_kept

MEMBERS = ("h1", "h2", "h3")


def attempt(end, status=0, **fields):
    values = dict(id="a", request="r", model="large", gateway="g1", reused=False, sent_at=10_000, deadline=8_000,
                  end_at=11_000)
    return Attempt(**{**values, **fields}, end=end, status=status)


def evidence(attempts, faults=(), **fields):
    joins = [Join(1, host, "r1", "large", MEMBERS) for host in MEMBERS]
    joins += [Join(1, host, "r2", "large", ("h4", "h5")) for host in ("h4", "h5")]
    values = dict(choices={"a": [Choice(10_010, "r1", "h1")]}, seen_by={"a": {"g1"}}, joins=joins)
    return Evidence(list(faults), list(attempts), **{**values, **fields})


def lost(one, *faults, **fields):
    return len(Judge(evidence([one], faults, **fields)).verdict()["lost"])


class CutAttempts(unittest.TestCase):
    def test_cut_beside_no_fault_is_lost(self):
        self.assertEqual(lost(attempt("cut")), 1)

    def test_unknown_ends_beside_no_fault_are_lost(self):
        for end, status in (("error", 502), ("error", 504), ("error", 404), ("malformed", 0), ("no_answer", 0)):
            self.assertEqual(lost(attempt(end, status)), 1, (end, status))

    def test_kill_or_freeze_of_the_attempts_gateway_excuses(self):
        for kind in ("gateway_killed", "gateway_frozen"):
            self.assertEqual(lost(attempt("cut"), Fault(kind, "g1", 10_500, 12_000)), 0, kind)

    def test_fault_of_another_gateway_or_another_time_does_not_excuse(self):
        self.assertEqual(lost(attempt("cut"), Fault("gateway_killed", "g2", 10_500, 12_000)), 1)
        self.assertEqual(lost(attempt("cut"), Fault("gateway_killed", "g1", 11_500, 12_000)), 1)
        self.assertEqual(lost(attempt("cut"), Fault("gateway_killed", "g1", 5_000, 9_000)), 1)

    def test_fault_of_the_gateway_that_passed_the_attempt_on_excuses(self):
        fault = Fault("gateway_frozen", "g2", 10_500, 12_000)
        self.assertEqual(lost(attempt("cut"), fault, seen_by={"a": {"g1", "g2"}}), 0)

    def test_planned_stop_and_faults_of_the_store_do_not_excuse(self):
        for kind in ("gateway_stopped", "gateway_starting", "manifest", "store_silent", "store_forgets"):
            self.assertEqual(lost(attempt("cut"), Fault(kind, "g1", 10_500, 12_000)), 1, kind)

    def test_lost_member_of_the_attempts_replica_excuses(self):
        self.assertEqual(lost(attempt("cut"), Fault("host_lost", "h3", 10_500, 12_500)), 0)
        self.assertEqual(lost(attempt("cut"), Fault("host_lost", "h4", 10_500, 12_500)), 1)

    def test_sound_silence_of_a_member_does_not_excuse_but_a_longer_one_does(self):
        self.assertEqual(lost(attempt("cut"), Fault("host_silent", "h3", 10_200, 11_500)), 1)
        self.assertEqual(lost(attempt("cut"), Fault("host_silent", "h3", 10_200, 11_501)), 0)

    def test_passed_deadline_excuses_an_error_but_not_a_missing_answer(self):
        self.assertEqual(lost(attempt("error", 504, end_at=18_000)), 0)
        self.assertEqual(lost(attempt("no_answer", end_at=18_000)), 1)

    def test_request_that_crossed_the_close_of_a_kept_connection_and_was_not_read_is_not_lost(self):
        self.assertEqual(lost(attempt("cut", reused=True), seen_by={}), 0)
        self.assertEqual(lost(attempt("cut", reused=True)), 1)
        self.assertEqual(lost(attempt("cut"), seen_by={}), 1)


class Refusals(unittest.TestCase):
    def verdict(self, refused, calls, *faults, **fields):
        ends = [attempt("refused", 503, id=f"a{n}", request=f"r{n}", **fields) for n in range(refused)]
        ends += [attempt("complete", 200, id=f"b{n}", request=f"s{n}") for n in range(calls - refused)]
        return Judge(evidence(ends, faults)).verdict()

    def test_two_in_a_hundred_are_allowed_while_enough_hosts_are_sound(self):
        self.assertTrue(is_kept(self.verdict(2, 100)))
        self.assertFalse(is_kept(self.verdict(3, 100)))
        self.assertTrue(is_kept(self.verdict(3, 100), bounds_refusals=False))

    def test_silence_of_a_sound_host_does_not_raise_the_bound(self):
        self.assertFalse(is_kept(self.verdict(3, 100, Fault("host_silent", "h1", 10_000, 11_200))))

    def test_loss_that_leaves_another_replica_does_not_raise_the_bound(self):
        self.assertFalse(is_kept(self.verdict(3, 100, Fault("host_lost", "h1", 10_000, 12_000))))

    def test_loss_in_all_replicas_of_a_model_excuses_its_refusals(self):
        faults = [Fault("host_lost", host, 10_000, 12_000) for host in ("h1", "h4")]
        self.assertTrue(is_kept(self.verdict(50, 100, *faults)))
        self.assertFalse(is_kept(self.verdict(50, 100, *faults, end_at=15_000)))
        self.assertFalse(is_kept(self.verdict(50, 100, *faults, model="")))

    def test_replicas_that_were_left_or_never_complete_are_no_capacity(self):
        given = evidence([attempt("refused", 503)])
        given.joins += [Join(2, "h4", "", "", ())]
        self.assertEqual(Judge(given).at_rest, {"large": {"r1"}})

    def test_refusals_of_a_gateway_that_starts_are_excused(self):
        self.assertTrue(is_kept(self.verdict(50, 100, Fault("gateway_starting", "g1", 10_000, 12_000))))
        self.assertFalse(is_kept(self.verdict(50, 100, Fault("gateway_starting", "g2", 10_000, 12_000))))


class GivenUp(unittest.TestCase):
    def kept(self, end, *faults, status=0):
        return is_kept(Judge(evidence([attempt(end, status)], faults, given_up=["r"])).verdict())

    def test_request_that_is_given_up_needs_an_excuse(self):
        self.assertFalse(self.kept("not_sent"))
        self.assertTrue(self.kept("not_sent", Fault("gateway_killed", "g1", 10_500, 12_000)))
        self.assertTrue(self.kept("no_answer", Fault("gateway_frozen", "g1", 10_500, 12_000)))
        self.assertFalse(self.kept("no_answer", Fault("store_silent", "store", 10_500, 12_000)))


if __name__ == "__main__":
    unittest.main()
