"""What a soak's callers may see beside its faults: whether an attempt's end is excused by the users' rules.

Times are wall-clock milliseconds. Nothing here reads files; soak-judge does."""
import math
from dataclasses import dataclass, field

MAX_SOUND_SILENCE = 1300  # ms; the platform's page: a sound host may be silent for so long.
REFORM_TIME = 2300  # ms; max_sound_silence of the planner 1.5 s, load 0.4 s, opening 0.1 s, one heartbeat 0.2 s, a round.
REFUSAL_SHARE = 0.02  # Of the calls, while enough hosts are sound.
CLOCK_SLACK = 50  # ms between the moment of a fault and its line in the log.
STREAM_TIME = 0.3  # s; twelve events of the stand-in, and the way.
SLOTS = 26  # Of a replica of the stand-in.
UNKNOWN_ENDS = ("cut", "malformed", "error", "no_answer")
NOT_RUN = (408, 421, 429, 503)  # Statuses that promise that a request has not run.


@dataclass(frozen=True)
class Fault:
    kind: str  # gateway_killed, gateway_stopped, gateway_frozen, host_silent, host_lost, manifest, store_*
    whom: str
    start: int
    end: int

    def overlaps(self, start, end, after=0):
        return self.start - CLOCK_SLACK <= end and start <= self.end + after + CLOCK_SLACK


@dataclass(frozen=True)
class Attempt:
    id: str
    request: str
    model: str
    gateway: str  # Its address without the port.
    reused: bool
    sent_at: int
    deadline: int
    end_at: int
    end: str
    status: int = 0


@dataclass(frozen=True)
class Choice:
    """A gateway sent an attempt to a target."""
    at: int
    target: str
    host: str


@dataclass(frozen=True)
class Join:
    """A host became a member of a replica, or, with an empty name, left its replica."""
    at: int
    host: str
    replica: str
    model: str
    members: tuple


@dataclass
class Evidence:
    faults: list
    attempts: list
    given_up: list = field(default_factory=list)  # Names of requests.
    choices: dict = field(default_factory=dict)  # Of each attempt's id.
    seen_by: dict = field(default_factory=dict)  # The gateways whose logs have the attempt's id.
    joins: list = field(default_factory=list)
    rate: float = 120.0


def is_refusal(attempt):
    return attempt.end in ("refused", "error") and attempt.status in NOT_RUN


def is_harm(host_fault):
    """Whether a host's fault is more than a silence that a sound host may show."""
    return host_fault.kind == "host_lost" or (
        host_fault.kind == "host_silent" and host_fault.end - host_fault.start > MAX_SOUND_SILENCE)


class Judge:
    def __init__(self, evidence):
        self.evidence = evidence
        self.members = {}
        for join in evidence.joins:
            self.members.setdefault(join.replica, set()).update(join.members)
        self.harms = [fault for fault in evidence.faults if is_harm(fault)]
        self.struck = self.struck_replicas()
        self.at_rest = {}
        current = self.membership_at(min((one.sent_at for one in evidence.attempts), default=0))
        for join in current.values():
            if join.replica and all(name in current and current[name].replica == join.replica for name in join.members):
                self.at_rest.setdefault(join.model, set()).add(join.replica)

    def membership_at(self, time):
        current = {}
        for join in self.evidence.joins:
            if join.at <= time:
                current[join.host] = join
        return current

    def struck_replicas(self):
        """Triples of a model, a replica that lost a host, and the fault."""
        struck = []
        for fault in self.harms:
            join = self.membership_at(fault.start).get(fault.whom)
            if join is not None and join.replica:
                struck.append((join.model, join.replica, fault))
        return struck

    def gateway_excuse(self, attempt, kinds):
        for fault in self.evidence.faults:
            gateways = {attempt.gateway} | self.evidence.seen_by.get(attempt.id, set())
            if fault.kind in kinds and fault.whom in gateways and fault.overlaps(attempt.sent_at, attempt.end_at):
                return f"{fault.kind} {fault.whom}"
        return None

    def target_excuse(self, attempt):
        for choice in self.evidence.choices.get(attempt.id, []):
            hosts = self.members.get(choice.target, set()) | {choice.host, choice.target}
            for fault in self.harms:
                if fault.whom in hosts and fault.overlaps(choice.at, attempt.end_at):
                    return f"{fault.kind} {fault.whom}"
        return None

    def excuse(self, attempt):
        """Why an attempt may have been cut or end unknown; None if nothing excuses it."""
        if attempt.end == "malformed":  # Bytes that are no answer: only a target that broke off can have sent them.
            return self.target_excuse(attempt)
        found = self.gateway_excuse(attempt, ("gateway_killed", "gateway_frozen")) or self.target_excuse(attempt)
        if found or attempt.end == "no_answer":
            return found
        if attempt.end_at - attempt.sent_at >= attempt.deadline:
            return "deadline passed"
        if attempt.end == "cut" and attempt.reused and attempt.id not in self.evidence.seen_by:
            return "crossed the close of its connection"
        return None

    def is_short(self, model, time):
        """Whether the hosts that are left can't bear the callers' rate. Chats are three fifths of the requests, half
        of them for each model."""
        need = math.ceil(self.evidence.rate * 0.6 / 2 * STREAM_TIME / SLOTS)
        lost = {replica for its_model, replica, fault in self.struck
                if its_model == model and fault.overlaps(time, time, REFORM_TIME)}
        return len(self.at_rest.get(model, set())) - len(lost) < need if model else self.are_plain_hosts_gone(time)

    def are_plain_hosts_gone(self, time):
        lost = {fault.whom for fault in self.harms if fault.whom.startswith("p") and fault.overlaps(time, time)}
        return len(lost) >= 2

    def refusal_excuse(self, attempt):
        if self.is_short(attempt.model, attempt.end_at):
            return "too few hosts left"
        return self.gateway_excuse(attempt, ("gateway_killed", "gateway_frozen", "gateway_starting"))

    def verdict(self):
        attempts = self.evidence.attempts
        calls = len({one.request for one in attempts})
        lost = [one for one in attempts if one.end in UNKNOWN_ENDS
                and not is_refusal(one) and self.excuse(one) is None]
        refusals = [one for one in attempts if is_refusal(one)]
        unexcused = [one for one in refusals if self.refusal_excuse(one) is None]
        left = [name for name in self.evidence.given_up if not self.may_give_up(name)]
        return {"calls": calls, "whole": sum(one.end == "complete" for one in attempts), "refusals": len(refusals),
                "refusals_unexcused": unexcused, "refusals_allowed": int(calls * REFUSAL_SHARE),
                "cut": sum(one.end in ("cut", "malformed") for one in attempts),
                "errors": sum(one.end == "error" and not is_refusal(one) for one in attempts),
                "no_answer": sum(one.end == "no_answer" for one in attempts),
                "excuses": self.count_excuses(), "gave_up": len(self.evidence.given_up), "gave_up_unexcused": left, "lost": lost}

    def count_excuses(self):
        """How many unknown ends each sort of fault excuses."""
        counts = {}
        for one in self.evidence.attempts:
            if one.end in UNKNOWN_ENDS and not is_refusal(one) and (why := self.excuse(one)):
                sort = why.split()[0] if "_" in why.split()[0] else why
                counts[sort] = counts.get(sort, 0) + 1
        return counts

    def may_give_up(self, request):
        ends = [one for one in self.evidence.attempts if one.request == request]
        return any((self.refusal_excuse(one) if is_refusal(one) else
                    self.gateway_excuse(one, ("gateway_killed", "gateway_frozen", "gateway_stopped", "gateway_starting"))
                    if one.end == "not_sent" else self.excuse(one)) for one in ends if one.end != "complete")


def is_kept(verdict, bounds_refusals=True):
    """Whether the users' rules were kept."""
    return (not verdict["lost"] and not verdict["gave_up_unexcused"]
            and (not bounds_refusals or len(verdict["refusals_unexcused"]) <= verdict["refusals_allowed"]))
