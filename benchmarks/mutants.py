"""Switches off one rule at a time in a copy of the package; the tests must notice."""

from __future__ import annotations

import os
import subprocess
import sys
import tempfile
from pathlib import Path

import click

from .edited_copy import Edit, copy_with

IGNORED = ("test_failures.py", "test_ablation.py")
"""Tests that need minutes, and those that only compare the edits with the code."""

MUTANTS = (
    Edit(
        "a proof of not-run fences the request",
        "running.py",
        "    world.fence(message.rid, world.grant_number)\n    world.counters.fenced",
        "    world.counters.fenced",
    ),
    Edit(
        "a commit needs its own grant, in force",
        "running.py",
        "grant is None or grant.number != message.number or grant.hold.entry != peer",
        "grant is None or message.number > world.grant_number",
    ),
    Edit(
        "a grant ends with its lease",
        "running.py",
        "    if grant.expires <= world.now:\n        return Reason.GRANT_VOID\n",
        "",
    ),
    Edit(
        "a lost link is no proof",
        "membership.py",
        "            make_unclear(world, req)\n",
        "            from .commitment import place_again\n"
        "            from .verdict import Reason\n"
        "            place_again(world, req, Reason.FENCED)\n",
    ),
    Edit(
        "a restarted agent does not vouch for its earlier life",
        "running.py",
        "    if message.incarnation != world.incarnation:\n"
        "        _restarted(world, message.rid, peer, message.from_chunk)\n"
        "        return\n",
        "",
    ),
    Edit(
        "a bound key is not claimed anew",
        "claims.py",
        "    elif not row.state.agent or message.refuted == row.state.number:",
        "    else:",
    ),
    Edit(
        "a restarted owner first asks its peers",
        "claims.py",
        "    if not _rebuilt(world):\n"
        "        world.deferred_claims.append((peer, message))\n"
        "        return\n",
        "",
    ),
    Edit(
        "chunks leave in order",
        "running.py",
        "    run.ahead[chunk.number] = chunk\n"
        "    while (chunk_next := run.ahead.pop(run.next_chunk, None)) is not None:\n"
        "        _keep(world, run, chunk_next)",
        "    _keep(world, run, chunk)",
    ),
    Edit(
        "an answer with chunks missing is not whole",
        "running.py",
        "    whole = message.whole and run.next_chunk == message.chunks",
        "    whole = message.whole",
    ),
    Edit(
        "the lowest tier is displaced first",
        "queueing.py",
        "        for tier in sorted(self._tiers, reverse=True):\n            arrivals",
        "        for tier in sorted(self._tiers):\n            arrivals",
    ),
    Edit(
        "a leaving endpoint takes nothing",
        "agent_tables.py",
        "        return self.leaving or self.drained or self.unreachable",
        "        return self.unreachable",
    ),
    Edit(
        "a lender does not use what it lent",
        "limits.py",
        "        share.lent.append(Loan(amount, now + LOAN_LEASE_S))\n",
        "",
    ),
    Edit(
        "a borrower stops before the lender resumes",
        "limits.py",
        "        until = asked + loan.lease_ms / 1000 - LOAN_MARGIN_S",
        "        until = asked + 2 * loan.lease_ms / 1000",
    ),
    Edit(
        "a new life uses no share while old loans may run",
        "limits.py",
        "if share is None or now < self.started + self.quiet_s:\n            return 0.0",
        "if share is None:\n            return 0.0",
    ),
    Edit(
        "a revision never goes back",
        "spreading.py",
        "        if revision < self.revision:",
        "        if False:",
    ),
    Edit(
        "two bodies under one revision are refused",
        "spreading.py",
        "            if digest == self.digest:\n                return None\n",
        "            return None\n",
    ),
    Edit(
        "a call to the platform after a failed one does not wait for changes",
        "direct/feeds.py",
        "        if self.consecutive_failures:\n            fraction",
        "        if False:\n            fraction",
    ),
    Edit(
        "a call to the platform is held no longer than a change may take",
        "direct/feeds.py",
        "        longest_s = MAX_WAIT_FRACTION * apply_deadline_s\n",
        "        longest_s = 1.5 * apply_deadline_s\n",
    ),
    Edit(
        "entries do not wait for changes in step",
        "direct/feeds.py",
        "longest_s * random.uniform(1 - WAIT_JITTER_FRACTION, 1)",
        "longest_s",
    ),
    Edit(
        "what cannot be tried again is sent on no connection that rested",
        "direct/forwarder.py",
        "None if self._has_another_attempt else MAX_IDLE_WITHOUT_RETRY_S",
        "None",
    ),
    Edit(
        "after a silent connection no idle one is used",
        "direct/forwarder.py",
        "                self._ctx.pool.close_all()\n",
        "                pass\n",
    ),
    Edit(
        "a request whose caller has left is not served",
        "direct/serving.py",
        "        if conn.has_disconnected():\n",
        "        if False:\n",
    ),
    Edit(
        "entries that have just started name all others that they know",
        "direct/peers.py",
        "            rows\n"
        "            if age_s < RECENT_START_S\n"
        "            else self._round_robin.next_items(rows, max_count)\n",
        "            self._round_robin.next_items(rows, max_count)\n",
    ),
    Edit(
        "long rounds leave time between them",
        "direct/scheduling.py",
        "if took_s > LONG_ROUND_S",
        "if False",
    ),
    Edit(
        "a grant that is told twice is taken once",
        "direct/slot_client.py",
        "        del session.waiting[job.number]\n        self._guard",
        "        self._guard",
    ),
    Edit(
        "an entry whose coordinator is silent decides itself",
        "direct/slot_client.py",
        "            jobs.extend(self._abandon_coordinator(service, session))\n",
        "            self._abandon_coordinator(service, session)\n",
    ),
    Edit(
        "a place at an endpoint that leaves is declined",
        "direct/slot_client.py",
        "        if block is not None:\n",
        "        if False:\n",
    ),
    Edit(
        "a state that comes late changes nothing",
        "direct/slot_server.py",
        "        if state.number <= client.state_number:\n            return False\n",
        "",
    ),
    Edit(
        "a place that was granted is not granted again",
        "direct/slot_server.py",
        "elif granted is None and number not in client.denied:",
        "elif number not in client.denied:",
    ),
    Edit(
        "places of a silent entry come back",
        "direct/slot_server.py",
        "if now - client.received_at > LEASE_S",
        "if False",
    ),
    Edit(
        "who does not read the platform trusts no word that is old",
        "direct/readers.py",
        "now - row.received_at + part.age_of(row.digest) <= trust_s",
        "True",
    ),
    Edit(
        "after a failure one request goes first",
        "direct/endpoint_selection.py",
        "not row.admits_request or row.free_slots",
        "row.free_slots",
    ),
    Edit(
        "an endpoint whose address another has costs no attempt",
        "direct/forwarder.py",
        "attempt.outcome is not AttemptOutcome.MISDIRECTED",
        "True",
    ),
    Edit(
        "an endpoint that may be cold is sent no more than it bears",
        "direct/endpoint_selection.py",
        "return guard.has_budget(row, now) and not",
        "return not",
    ),
    Edit(
        "an endpoint that names a limit is sent no more",
        "direct/send_guard.py",
        "return SendBlock(BlockReason.RATE_LIMITED, next_at) if next_at > now else None",
        "return None",
    ),
    Edit(
        "entries that decide alone share the limit that an endpoint names",
        "direct/send_guard.py",
        "others_s = (self._coordinator_selector.entry_count_with_unseen - 1) * each_s",
        "others_s = 0.0",
    ),
    Edit(
        "entries that lose their coordinator do not all send at once",
        "direct/send_guard.py",
        "if now > turn_at + each_s:",
        "if limit.next_due is None:",
    ),
    Edit(
        "a place of one that has not heard of a limit is declined",
        "direct/send_guard.py",
        "        limit.is_active\n        and limit.next_due is not None\n",
        "        limit.is_active\n        and False\n",
    ),
    Edit(
        "of two words on a limit that overlap the stricter counts",
        "direct/advertised_state.py",
        "if not report.is_after(known) and report.rate > known.rate:",
        "if False:",
    ),
    Edit(
        "an endpoint that says in its answers that it leaves gets nothing",
        "direct/endpoints.py",
        "return self.published.leaving or self.advertised.is_leaving",
        "return self.published.leaving",
    ),
    Edit(
        "that an endpoint leaves is for the rest of its life",
        "direct/endpoints.py",
        "                row.advertised = known.advertised\n",
        "",
    ),
    Edit(
        "what a peer tells of another life changes nothing",
        "direct/notice_tracker.py",
        "if row is None or row.published.born != relayed.born:",
        "if row is None:",
    ),
    Edit(
        "an endpoint that asks for rest gets nothing from that entry",
        "direct/send_guard.py",
        "return SendBlock(BlockReason.BACKOFF, until) if until > now else None",
        "return None",
    ),
    Edit(
        "the coordinator gives an entry no place that it declines",
        "direct/slot_server.py",
        "blocked_until=_blocked_until(waiting_job, now),",
        "blocked_until={},",
    ),
    Edit(
        "a rest is a matter of the entry that was asked for it",
        "direct/send_guard.py",
        "backoff = None if job.for_peer else _backoff_block(row, now)",
        "backoff = _backoff_block(row, now)",
    ),
    Edit(
        "an endpoint that is cold is sent less",
        "direct/send_guard.py",
        "max_cold(service.cold_rate, bound) if is_cold else max_warm(bound, 1)",
        "max_warm(bound, 1)",
    ),
    Edit(
        "few of those that decide alone use a cold endpoint",
        "direct/send_guard.py",
        "return is_due and self._is_permitted_sender(row, max_independent(bound), now)",
        "return is_due",
    ),
    Edit(
        "a new coordinator is told what was sent before",
        "direct/slot_server.py",
        "                self._endpoints.record_send(send.endpoint, now - send.age_s)\n",
        "                pass\n",
    ),
    Edit(
        "what was out of reach is cold when it is back",
        "direct/warm_up.py",
        "            self.assumed_cold_since = now\n",
        "            pass\n",
    ),
    Edit(
        "endpoints of a hall that was empty are cold",
        "direct/endpoints.py",
        "            if row.published.hall in self.evacuated - halls:\n",
        "            if False:\n",
    ),
    Edit(
        "endpoints of an emptied hall get nothing",
        "direct/endpoints.py",
        "not row.is_leaving and row.published.hall not in self.evacuated",
        "not row.is_leaving",
    ),
    Edit(
        "an order that is older than what is known changes nothing",
        "direct/evacuated_halls.py",
        "        if revision < self.revision:\n            return False\n",
        "",
    ),
    Edit(
        "others are told that the operator gave an order",
        "direct/entry.py",
        "            orders_revision=self.evacuated.revision,\n",
        "",
    ),
    Edit(
        "a request that ended its engines is not run",
        "direct/request_handler.py",
        "if admission is Admission.QUARANTINED:",
        "if False:",
    ),
    Edit(
        "nor is one that waits when the news comes",
        "direct/forwarder.py",
        "            if self._is_quarantined:\n",
        "            if False:\n",
    ),
    Edit(
        "an end at another entry counts",
        "direct/crash_reporter.py",
        "            if self.quarantine.merge(report):",
        "            if False:",
    ),
    Edit(
        "an end counts though the caller had left before it",
        "direct/crash_reporter.py",
        "            self._add_pending(request._replace(is_connection_broken=False))\n",
        "            pass\n",
    ),
    Edit(
        "who waits when the news comes is answered at once",
        "direct/entry.py",
        "        self.ctx.scheduler.refuse(fingerprint, QUARANTINED_REFUSAL)\n",
        "        return\n",
    ),
    Edit(
        "entries that start together share the rest of a limit",
        "direct/token_quota.py",
        "used * self._peers.never_seen_count + unreported * len(\n"
        "            self._peers.fresh(now)\n"
        "        )\n",
        "0\n",
    ),
    Edit(
        "tokens that are given back count from when they were spent",
        "direct/token_quota.py",
        "            self._record_usage(organisation.name, -tokens, used_at)\n",
        "            self._record_usage(organisation.name, -tokens, used_at + 2.0)\n",
    ),
    Edit(
        "runs at the same time count once",
        "direct/crash_history.py",
        "            if not sequential or run.sent_at >= sequential[-1].crashed_at:\n",
        "            if True:\n",
    ),
    Edit(
        "after ends at a moment one copy is run at a time",
        "direct/quarantine.py",
        "if is_quarantined else history.probed_at + COPY_GAP_S",
        "if is_quarantined else now",
    ),
    Edit(
        "ends of one moment leave room for later ones",
        "direct/crash_history.py",
        "run in counted, -run.crashed_at",
        "True, -run.crashed_at",
    ),
    Edit(
        "trials that end engines at once are bounded",
        "direct/quarantine.py",
        "len(history.sequential_runs(self._crashed_at)) >= self._max_runs + MAX_PROBES",
        "history.evidence(self._crashed_at) >= self._max_runs + MAX_PROBES",
    ),
    Edit(
        "so many runs after the third end, and no more",
        "direct/quarantine.py",
        "        if history.late_runs(self._crashed_at) >= MAX_LATE_RUNS:\n",
        "        if False:\n",
    ),
    Edit(
        "an answer to others does not clear what was given up a moment ago",
        "direct/crash_reporter.py",
        "            if not request.is_connection_broken and request.ended_at >= since:\n",
        "            if False:\n",
    ),
    Edit(
        "what a caller left early counts whole",
        "direct/crash_reporter.py",
        "            self._add_pending(request._replace(is_connection_broken=False))\n",
        "            self._add_pending(request)\n",
    ),
    Edit(
        "an answer clears what was seen before it",
        "direct/quarantine.py",
        "        if not history.clear(history.crashes):\n            return False\n",
        "        return False\n",
    ),
    Edit(
        "a connection that breaks is no end while somebody listens",
        "direct/crash_reporter.py",
        "        if self._has_exited(request.row):",
        "        if True:",
    ),
    Edit(
        "an entry that has just started hears what is barred",
        "direct/quarantine.py",
        "if now - history.changed_at < GOSSIP_S or self._is_restricted(history)",
        "if now - history.changed_at < GOSSIP_S",
    ),
    Edit(
        "what was met at the life before says nothing of the new one",
        "direct/endpoints.py",
        "        if row is None or sample.born not in (0, row.published.born):\n",
        "        if row is None:\n",
    ),
    Edit(
        "an entry of an older life changes nothing",
        "direct/endpoints.py",
        "            return PublishResult.STALE\n",
        "            pass\n",
    ),
    Edit(
        "a new life holds nothing of the old one",
        "direct/endpoints.py",
        "            self._add(self._new_incarnation(known, published, now))\n",
        "            known.published = published\n            self._add(known)\n",
    ),
    Edit(
        "requests of a life end with it",
        "direct/endpoint_sync.py",
        "            conn.abort()\n",
        "            pass\n",
    ),
    Edit(
        "an answer that is ended by its endpoint's end is not whole",
        "direct/endpoint_connection.py",
        "        if self._is_aborted:\n            # A response",
        "        if False:\n            # A response",
    ),
    Edit(
        "requests stay in the regions of their route",
        "direct/endpoints.py",
        "(halls is None or row.published.hall in halls)",
        "True",
    ),
    Edit(
        "an organisation's regions bind, too",
        "direct/request_handler.py",
        "organisation.regions if organisation else frozenset()]",
        "frozenset()]",
    ),
)


def tried(mutant: Edit) -> list[str]:
    """Return the tests that notice a mutant.

    Raises:
        EditError: The rule's text is no longer in the module.
    """
    with tempfile.TemporaryDirectory() as directory:
        copy = Path(directory) / "copy"
        copy_with(mutant, copy)
        options = ["-q", "-p", "no:cacheprovider"]
        options += [f"--ignore=tests/{name}" for name in IGNORED]
        found = subprocess.run(  # noqa: S603
            [sys.executable, "-m", "pytest", *options, "tests"],
            cwd=copy,
            env={**os.environ, "PYTHONPATH": str(copy)},
            capture_output=True,
            text=True,
            check=False,
        )
    rows = [line for line in found.stdout.splitlines() if line.startswith("FAILED")]
    return [line.removeprefix("FAILED ").split(" - ")[0] for line in rows]


@click.command()
def main() -> None:
    """Try every mutant; exit with 1 if one goes unnoticed."""
    missed = 0
    for mutant in MUTANTS:
        tests = tried(mutant)
        missed += not tests
        noticed = tests[0] if tests else "NOT NOTICED"
        click.echo(f"{mutant.rule}: {noticed} ({len(tests)})")
    sys.exit(1 if missed else 0)


if __name__ == "__main__":
    main()
