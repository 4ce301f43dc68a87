"""Mutation tests: disables one rule at a time in a copy, where tests must then fail."""

from __future__ import annotations

import os
import subprocess
import sys
import tempfile
from pathlib import Path

import click

from .edited_copy import Edit, copy_repository

IGNORED_TEST_FILES = ("test_failures.py", "test_ablation.py")
"""Tests that take minutes, and those that only compare the edits with the code."""

MUTANTS = (
    Edit(
        "proof that a request did not run fences it",
        "running.py",
        "    world.fence(message.rid, world.grant_number)\n    world.counters.fenced",
        "    world.counters.fenced",
    ),
    Edit(
        "a commit needs its own grant, which must be valid",
        "running.py",
        "grant is None or grant.number != message.number or grant.hold.entry != peer",
        "grant is None or message.number > world.grant_number",
    ),
    Edit(
        "a grant expires with its lease",
        "running.py",
        "    if grant.expires_at <= world.now:\n        return Reason.GRANT_VOID\n",
        "",
    ),
    Edit(
        "a lost link is no proof that a request did not run",
        "membership.py",
        "            mark_unclear(world, req)\n",
        "            from .commitment import place_again\n"
        "            from .verdict import Reason\n"
        "            place_again(world, req, Reason.FENCED)\n",
    ),
    Edit(
        "a restarted agent does not answer for its previous incarnation",
        "running.py",
        "    if message.incarnation != world.incarnation:\n"
        "        _look_up_earlier_run(world, message.rid, peer, message.from_chunk)\n"
        "        return\n",
        "",
    ),
    Edit(
        "a bound key cannot be claimed again",
        "claims.py",
        "    elif not row.state.agent or message.refuted == row.state.number:",
        "    else:",
    ),
    Edit(
        "a restarted owner first rebuilds its claims from its peers",
        "claims.py",
        "    if not _is_rebuilt(world):\n"
        "        world.deferred_claims.append((peer, message))\n"
        "        return\n",
        "",
    ),
    Edit(
        "chunks are sent in order",
        "running.py",
        "    run.out_of_order[chunk.number] = chunk\n"
        "    while (chunk_next := run.out_of_order.pop(run.next_chunk, None)) "
        "is not None:\n"
        "        _store_chunk(world, run, chunk_next)",
        "    _store_chunk(world, run, chunk)",
    ),
    Edit(
        "a response with missing chunks is not complete",
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
        "a leaving endpoint gets no requests",
        "agent_tables.py",
        "        return self.leaving or self.drained or self.unreachable",
        "        return self.unreachable",
    ),
    Edit(
        "a lender does not use the share that it lent",
        "limits.py",
        "        share.lent.append(Loan(amount, now + LOAN_LEASE_S))\n",
        "",
    ),
    Edit(
        "a borrower stops using a loan before the lender resumes",
        "limits.py",
        "        until = asked + loan.lease_ms / 1000 - LOAN_MARGIN_S",
        "        until = asked + 2 * loan.lease_ms / 1000",
    ),
    Edit(
        "a new incarnation uses no share while old loans may be active",
        "limits.py",
        "if share is None or now < self.started + self.old_loans_s:\n"
        "            return 0.0",
        "if share is None:\n            return 0.0",
    ),
    Edit(
        "a revision never decreases",
        "config_store.py",
        "        if revision < self.revision:",
        "        if False:",
    ),
    Edit(
        "two different bodies with one revision are refused",
        "config_store.py",
        "            if digest == self.digest:\n                return None\n",
        "            return None\n",
    ),
    Edit(
        "a platform call after a failed one does not wait for changes",
        "direct/feeds.py",
        "        if self.consecutive_failures:\n            fraction",
        "        if False:\n            fraction",
    ),
    Edit(
        "a platform call waits no longer than a change may take to be applied",
        "direct/feeds.py",
        "        longest_s = MAX_WAIT_FRACTION * apply_deadline_s\n",
        "        longest_s = 1.5 * apply_deadline_s\n",
    ),
    Edit(
        "entries do not wait for changes in lockstep",
        "direct/feeds.py",
        "longest_s * random.uniform(1 - WAIT_JITTER_FRACTION, 1)",
        "longest_s",
    ),
    Edit(
        "a request without retries is not sent on a long-idle connection",
        "direct/forwarder.py",
        "None if self._has_another_attempt else MAX_IDLE_WITHOUT_RETRY_S",
        "None",
    ),
    Edit(
        "after a stalled connection no idle one is reused",
        "direct/forwarder.py",
        "            self._ctx.pool.close_all()\n",
        "            pass\n",
    ),
    Edit(
        "a request whose caller has disconnected is not served",
        "direct/serving.py",
        "        if conn.has_disconnected():\n",
        "        if False:\n",
    ),
    Edit(
        "recently started entries report all peers that they know",
        "direct/peers.py",
        "            rows\n"
        "            if age_s < RECENT_START_S\n"
        "            else self._round_robin.next_items(rows, max_count)\n",
        "            self._round_robin.next_items(rows, max_count)\n",
    ),
    Edit(
        "a pause follows a long scheduling round",
        "direct/scheduling.py",
        "if took_s > LONG_ROUND_S",
        "if False",
    ),
    Edit(
        "a grant that is sent twice is accepted once",
        "direct/slot_client.py",
        "        del session.waiting[job.number]\n        self._guard",
        "        self._guard",
    ),
    Edit(
        "an entry whose coordinator is unresponsive decides itself",
        "direct/slot_client.py",
        "            jobs.extend(self._abandon_coordinator(service, session))\n",
        "            self._abandon_coordinator(service, session)\n",
    ),
    Edit(
        "a slot at a leaving endpoint is declined",
        "direct/slot_client.py",
        "        if block is not None:\n",
        "        if False:\n",
    ),
    Edit(
        "a slot state that arrives late changes nothing",
        "direct/slot_server.py",
        "        if state.number <= client.state_number:\n            return False\n",
        "",
    ),
    Edit(
        "a job that was granted a slot is not granted another",
        "direct/slot_server.py",
        "elif granted is None and number not in client.denied:",
        "elif number not in client.denied:",
    ),
    Edit(
        "slots of a silent entry are released",
        "direct/slot_server.py",
        "if now - client.received_at > LEASE_S",
        "if False",
    ),
    Edit(
        "an entry that is no reader trusts no outdated report",
        "direct/readers.py",
        "now - row.received_at + part.age_of(row.digest) <= trust_s",
        "True",
    ),
    Edit(
        "after a failure a single request probes the endpoint",
        "direct/endpoint_selection.py",
        "if not row.admits_request:",
        "if False:",
    ),
    Edit(
        "a status that promises that a request was not run needs proof",
        "direct/forwarder.py",
        "        if self._is_unproven(status):\n",
        "        if False:\n",
    ),
    Edit(
        "a refusal without an id counts on a new connection only",
        "direct/upstream_request.py",
        "head.rid == self._req.rid if head.rid else self._is_first_response",
        "head.rid in (self._req.rid, '')",
    ),
    Edit(
        "no connection carries a request twice",
        "direct/upstream_request.py",
        "max_idle_s=max_idle_s, leave_out=carriers",
        "max_idle_s=max_idle_s",
    ),
    Edit(
        "a send to a reused address does not count as an attempt",
        "direct/forwarder.py",
        "attempt.outcome is AttemptOutcome.MISDIRECTED",
        "False",
    ),
    Edit(
        "an endpoint that may be cold gets no more than its budget",
        "direct/endpoint_selection.py",
        "return guard.has_budget(row, now) and not",
        "return not",
    ),
    Edit(
        "an endpoint that advertises a limit gets no more requests",
        "direct/send_guard.py",
        "return SendBlock(BlockReason.RATE_LIMITED, next_at) if next_at > now else None",
        "return None",
    ),
    Edit(
        "independent entries share the limit that an endpoint advertises",
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
        "a slot granted by an entry that does not know a limit is declined",
        "direct/send_guard.py",
        "        limit.is_active\n        and limit.next_due is not None\n",
        "        limit.is_active\n        and False\n",
    ),
    Edit(
        "of two overlapping reports of a limit the stricter one applies",
        "direct/advertised_state.py",
        "if not report.is_after(known) and report.rate > known.rate:",
        "if False:",
    ),
    Edit(
        "an endpoint whose responses announce that it leaves gets no requests",
        "direct/endpoints.py",
        "return self.published.leaving or self.advertised.is_leaving",
        "return self.published.leaving",
    ),
    Edit(
        "an endpoint that leaves does so for the rest of its incarnation",
        "direct/endpoints.py",
        "            row.advertised = known.advertised\n",
        "",
    ),
    Edit(
        "a record of an earlier revision of the platform changes nothing",
        "direct/endpoints.py",
        "        return 0 < self.revision < known.revision\n",
        "        return False\n",
    ),
    Edit(
        "a delayed write does not let a leaving endpoint serve again",
        "direct/endpoints.py",
        "    if is_comparable and published.inherits_leaving(known):\n",
        "    if False:\n",
    ),
    Edit(
        "the platform's word that an endpoint is gone makes earlier records stale",
        "direct/endpoint_sync.py",
        "            known.mark_unlisted(revision)\n",
        "            pass\n",
    ),
    Edit(
        "a peer's report on another incarnation changes nothing",
        "direct/notice_tracker.py",
        "if row is None or row.published.born != relayed.born:",
        "if row is None:",
    ),
    Edit(
        "an endpoint that asks an entry to back off gets no requests from it",
        "direct/send_guard.py",
        "return SendBlock(BlockReason.BACKOFF, until) if until > now else None",
        "return None",
    ),
    Edit(
        "the coordinator grants an entry no slot that it would decline",
        "direct/slot_server.py",
        "blocked_until=_blocked_until(waiting_job, now),",
        "blocked_until={},",
    ),
    Edit(
        "back-off applies only to the entry that was asked for it",
        "direct/send_guard.py",
        "backoff = None if job.for_peer else _backoff_block(row, now)",
        "backoff = _backoff_block(row, now)",
    ),
    Edit(
        "a cold endpoint gets fewer requests",
        "direct/send_guard.py",
        "max_cold(service.cold_rate, bound) if is_cold else max_warm(bound, 1)",
        "max_warm(bound, 1)",
    ),
    Edit(
        "only a few independent entries use a cold endpoint",
        "direct/send_guard.py",
        "return is_due and self._is_permitted_sender(row, max_independent(bound), now)",
        "return is_due",
    ),
    Edit(
        "a new coordinator receives the recent sends",
        "direct/slot_server.py",
        "                self._endpoints.record_send(send.endpoint, now - send.age_s)\n",
        "                pass\n",
    ),
    Edit(
        "an endpoint that was unreachable is cold afterwards",
        "direct/warm_up.py",
        "            self.assumed_cold_since = now\n",
        "            pass\n",
    ),
    Edit(
        "endpoints of a hall that was evacuated are cold",
        "direct/endpoints.py",
        "            if row.published.hall in self.evacuated - halls:\n",
        "            if False:\n",
    ),
    Edit(
        "endpoints of an evacuated hall get no requests",
        "direct/endpoints.py",
        "not row.is_leaving and row.published.hall not in self.evacuated",
        "not row.is_leaving",
    ),
    Edit(
        "an outdated operator command changes nothing",
        "direct/evacuated_halls.py",
        "        if revision < self.revision or (not complete_to"
        " and revision <= self._complete_to):\n            return False\n",
        "",
    ),
    Edit(
        "peers receive the revision of the operator commands",
        "direct/entry.py",
        "            orders_revision=self.evacuated.revision,\n",
        "",
    ),
    Edit(
        "a request that crashed its engines is not run",
        "direct/request_handler.py",
        "if admission is Admission.QUARANTINED:",
        "if False:",
    ),
    Edit(
        "a request that is quarantined while it waits is not run",
        "direct/slot_acquirer.py",
        "            if self.is_quarantined and not is_allowed_probe:\n",
        "            if False:\n",
    ),
    Edit(
        "a crash seen at another entry counts",
        "direct/crash_reporter.py",
        "            if self.quarantine.merge(report):",
        "            if False:",
    ),
    Edit(
        "a crash counts although the caller had disconnected before it",
        "direct/crash_reporter.py",
        "            self._add_pending(request._replace(is_connection_broken=False))\n",
        "            pass\n",
    ),
    Edit(
        "waiting callers of a quarantined request are refused at once",
        "direct/entry.py",
        "        self.ctx.scheduler.refuse(refusal_of)\n",
        "        return\n",
    ),
    Edit(
        "entries that start together share the rest of a quota",
        "direct/token_quota.py",
        "used * self._peers.never_seen_count + unreported * len(\n"
        "            self._peers.fresh(now)\n"
        "        )\n",
        "0\n",
    ),
    Edit(
        "refunded tokens count from the time of their use",
        "direct/token_quota.py",
        "            self._record_usage(organisation.name, -tokens, used_at)\n",
        "            self._record_usage(organisation.name, -tokens, used_at + 2.0)\n",
    ),
    Edit(
        "overlapping runs count once",
        "direct/crash_history.py",
        "        if not sequential or run.sent_at >= sequential[-1].crashed_at:\n",
        "        if True:\n",
    ),
    Edit(
        "after simultaneous crashes one copy is run at a time",
        "direct/quarantine.py",
        "            return history.probed_at + COPY_GAP_S\n",
        "            return -math.inf\n",
    ),
    Edit(
        "simultaneous crashes leave room for later ones",
        "direct/crash_history.py",
        "run in counted, -run.crashed_at",
        "True, -run.crashed_at",
    ),
    Edit(
        "probes that crash engines at once are bounded",
        "direct/quarantine.py",
        "len(history.sequential_runs(self._crashed_at)) >= self._max_runs + MAX_PROBES",
        "history.evidence(self._crashed_at) >= self._max_runs + MAX_PROBES",
    ),
    Edit(
        "runs after the third crash are bounded",
        "direct/quarantine.py",
        "        if history.late_runs(self._crashed_at) >= MAX_LATE_RUNS:\n",
        "        if False:\n",
    ),
    Edit(
        "a response to others does not clear a request that was just abandoned",
        "direct/crash_reporter.py",
        "            if not request.is_connection_broken and request.ended_at >= since:\n",
        "            if False:\n",
    ),
    Edit(
        "a request that its caller abandoned early has full weight",
        "direct/crash_reporter.py",
        "            self._add_pending(request._replace(is_connection_broken=False))\n",
        "            self._add_pending(request)\n",
    ),
    Edit(
        "a response clears the crashes recorded before it",
        "direct/quarantine.py",
        "has_changed=history.clear(history.crashes)",
        "has_changed=False",
    ),
    Edit(
        "a response clears the prompt parts of the crashes before it",
        "direct/quarantine.py",
        "has_changed=history.clear_until(harmless_at)",
        "has_changed=False",
    ),
    Edit(
        "a crash is recorded for the shared parts of the prompt",
        "direct/fingerprint.py",
        "for part in req.shared_parts[:MAX_PARTS]",
        "for part in ()",
    ),
    Edit(
        "the suspect of more crashes explains those that it shares",
        "direct/restrictions.py",
        "if not any(suspect.is_explained_by(other, max_runs) for other in suspects)",
        "",
    ),
    Edit(
        "a prompt part blocks only requests with all parts that it is tied to",
        "direct/quarantine.py",
        "or restricted[fingerprint].tied <= frozenset(suspects)",
        "or True",
    ),
    Edit(
        "a stream goes on at the software version that began it",
        "direct/slot_acquirer.py",
        "            job.software_version = self._origin.software_version\n",
        "            pass\n",
    ),
    Edit(
        "holders are told of a stream before its first event is passed on",
        "direct/stream_versions.py",
        "        if self._may_be_mixed(published.service):\n",
        "        if False:\n",
    ),
    Edit(
        "one listed version is not taken for the only one that served",
        "direct/software_versions.py",
        "is_known = self.confirmed_at >= until and self.covers(since, now)",
        "is_known = self.confirmed_at >= until",
    ),
    Edit(
        "one version is taken for the only one by evidence from after the take-up",
        "direct/software_versions.py",
        "is_known = self.confirmed_at >= until and self.covers(since, now)",
        "is_known = self.covers(since, now)",
    ),
    Edit(
        "a call confirms the list up to when it was sent",
        "direct/feeds.py",
        "        self.complete_at = self.called_at\n",
        "        self.complete_at = clock.now()\n",
    ),
    Edit(
        "the end of a response is not believed if another endpoint answers",
        "direct/liveness.py",
        "        if health.responder is Responder.OTHER:\n",
        "        if False:\n",
    ),
    Edit(
        "a slot at another software version is declined",
        "direct/slot_client.py",
        " or not job.fits(row)",
        "",
    ),
    Edit(
        "a stream that ends inside an event is broken off",
        "direct/upstream_request.py",
        "        if self._splitter.is_inside_event:\n",
        "        if self._splitter.is_inside_event and not conn.is_framed:\n",
    ),
    Edit(
        "a broken connection is no crash while the engine listens",
        "direct/crash_reporter.py",
        "        if self._has_exited(request.row):",
        "        if True:",
    ),
    Edit(
        "a recently started entry receives the quarantined requests",
        "direct/quarantine.py",
        "        restricted = list(self._restricted())[-max_reports:]\n",
        "        restricted: list[bytes] = []\n",
    ),
    Edit(
        "measurements of the previous incarnation do not apply to the new one",
        "direct/endpoints.py",
        "        if row is None or sample.born not in (0, row.published.born):\n",
        "        if row is None:\n",
    ),
    Edit(
        "a record of an older incarnation changes nothing",
        "direct/endpoints.py",
        "            return PublishResult.STALE\n",
        "            pass\n",
    ),
    Edit(
        "a new incarnation keeps no state of the old one",
        "direct/endpoints.py",
        "            self._add(self._new_incarnation(known, published, now))\n",
        "            known.published = published\n            self._add(known)\n",
    ),
    Edit(
        "requests end with the incarnation that runs them",
        "direct/endpoint_sync.py",
        "            conn.abort()\n",
        "            pass\n",
    ),
    Edit(
        "a response that its endpoint's end cuts off is not complete",
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
        "an organisation's regions apply, too",
        "direct/request_handler.py",
        "organisation.regions if organisation else frozenset()]",
        "frozenset()]",
    ),
)


def failing_tests(mutant: Edit) -> list[str]:
    """Return the ids of the tests that fail with a mutant.

    Raises:
        EditError: The module no longer contains the text to be replaced.
    """
    with tempfile.TemporaryDirectory() as directory:
        copy = Path(directory) / "copy"
        copy_repository(mutant, copy)
        options = ["-q", "-p", "no:cacheprovider"]
        options += [f"--ignore=tests/{name}" for name in IGNORED_TEST_FILES]
        process = subprocess.run(  # noqa: S603
            [sys.executable, "-m", "pytest", *options, "tests"],
            cwd=copy,
            env={**os.environ, "PYTHONPATH": str(copy)},
            capture_output=True,
            text=True,
            check=False,
        )
    rows = [line for line in process.stdout.splitlines() if line.startswith("FAILED")]
    return [line.removeprefix("FAILED ").split(" - ")[0] for line in rows]


@click.command()
def main() -> None:
    """Test every mutant; exit with 1 if the tests miss one."""
    missed = 0
    for mutant in MUTANTS:
        tests = failing_tests(mutant)
        missed += not tests
        first_failure = tests[0] if tests else "NOT DETECTED"
        click.echo(f"{mutant.rule}: {first_failure} ({len(tests)})")
    sys.exit(1 if missed else 0)


if __name__ == "__main__":
    main()
