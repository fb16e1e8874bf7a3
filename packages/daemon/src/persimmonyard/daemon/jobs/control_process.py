"""The control role of the job service: replica, leadership, HTTP and gRPC."""

import asyncio
import gc
import random
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import grpc
import msgspec

from persimmonyard.daemon.background import BackgroundTasks
from persimmonyard.daemon.control.transport import MESSAGE_OPTIONS, GrpcTransport
from persimmonyard.daemon.disk_log import log_disk_event
from persimmonyard.daemon.http_server import HttpServer
from persimmonyard.daemon.intake import Intake
from persimmonyard.daemon.jobs.account_overview import add_account_gauges
from persimmonyard.daemon.jobs.durations import derive_durations
from persimmonyard.daemon.jobs.inspection import describe_term, inspection_server
from persimmonyard.daemon.jobs.job_service import JobService
from persimmonyard.daemon.jobs.leader_client import LeaderClient
from persimmonyard.daemon.jobs.leader_term import LeaderTerm
from persimmonyard.daemon.jobs.member_removal import MemberRemoval, leave_group
from persimmonyard.daemon.jobs.metrics import JobMetrics
from persimmonyard.daemon.jobs.operator_service import OperatorService
from persimmonyard.daemon.jobs.rpc import (
    Call,
    CallReply,
    JobCall,
    Join,
    Leave,
    OperatorCall,
    Outcome,
    call_handler,
)
from persimmonyard.daemon.jobs.settings import JobSettings
from persimmonyard.daemon.jobs.speed_keeper import add_speed_gauges
from persimmonyard.daemon.jobs.stall_clock import StallClock
from persimmonyard.daemon.jobs.upstream_client import UpstreamClient
from persimmonyard.daemon.jobs.wall_clock import SteadyWallClock
from persimmonyard.daemon.logs import get_logger
from persimmonyard.jobs import Command, JobStore, encode_command
from persimmonyard.replication import (
    LOG_DAMAGED,
    SYNC_FAILED,
    CoreConfig,
    DiskEvent,
    FileStorage,
    LogDamagedError,
    MemberChangeError,
    Replica,
    WriteRefusedError,
    boottime_now,
    check_writable,
    initialize,
)

__all__ = ["JobControlProcess"]

# Interval at which the process checks whether it leads, in seconds.
_LEADERSHIP_POLL_S = 0.05
# Delay between requests to join the group, in seconds.
_JOIN_RETRY_S = 0.5
# Interval at which members check the group, in seconds.
_MEMBER_CHECK_INTERVAL_S = 1.0
# After a failed sync, the process exits once a test write to the disk succeeds
# or this many have failed, at this interval in seconds; it is then restarted.
_MAX_DISK_CHECKS = 20
_DISK_CHECK_INTERVAL_S = 0.5
# Ratio of the longest to the shortest election timeout, so that candidates
# start at different times.
_ELECTION_SPREAD = 1.6


class JobControlProcess:
    """A process in the control role.

    ``build_app`` returns the HTTP application for operators and upstreams,
    and ``process_started_at`` is when the process started, on the clock of
    leases.  ``failure`` gets the exit code if the replica fails.
    """

    def __init__(
        self,
        settings: JobSettings,
        upstream_client: UpstreamClient,
        build_app: Callable[["JobControlProcess"], Any],
        process_started_at: float | None = None,
    ):
        self._settings = settings
        self._upstream_client = upstream_client
        self._log = get_logger("control")
        self.store = JobStore()
        self.leader_term: LeaderTerm | None = None
        self._intake = Intake(settings.intake_limits())
        self._metrics = JobMetrics()
        self._metrics.watch_intake(self._intake)
        self._wall_clock = SteadyWallClock()
        self.service = JobService(self.store, lambda: self.leader_term, self._metrics)
        self._leader_client = LeaderClient([])
        self._stall_clock = StallClock()
        self.operators = OperatorService(
            self.service, self._leader_client, self._stall_clock
        )
        self._build_app = build_app
        self._process_started_at = process_started_at
        self._durations = derive_durations(settings.bounds)
        self._background = BackgroundTasks(self._log)
        self._http: HttpServer | None = None
        self.failure: asyncio.Future[int] = asyncio.get_running_loop().create_future()

    @property
    def name(self) -> str:
        """The name of the replica: the IP address of its instance."""
        return self._settings.addresses.ip

    def peer_address(self, name: str) -> str:
        """Return the gRPC address of a control process."""
        return f"{name}:{self._settings.addresses.peer_port}"

    def leader_address(self) -> str | None:
        """Return the control address of the leader, or None."""
        name = self._replica.leader_hint()
        if not name:
            return None
        port = self._settings.addresses.control.rpartition(":")[2]
        return f"{name}:{port}"

    def own_address(self) -> str:
        """Return the control address of this process."""
        return self._settings.addresses.control

    async def start(self) -> None:
        """Load the data folder and start the replica and the servers."""
        seeds = [seed.rpartition(":")[0] for seed in self._settings.group.seeds]
        seed_addresses = {seed: self.peer_address(seed) for seed in seeds}
        folder = Path(self._settings.group.data_folder)
        if self._settings.group.first_start and self.name in seed_addresses:
            await self._initialize(folder, seed_addresses)
        peer_addresses = {**seed_addresses, self.name: self.peer_address(self.name)}
        self._transport = GrpcTransport(self.name, peer_addresses)
        config = CoreConfig(
            replica_id=self.name,
            incarnation="",
            peers=tuple(seeds),
            heartbeat_s=self._durations.replica_heartbeat_s,
            election_min_s=self._durations.election_timeout_s,
            election_max_s=self._durations.election_timeout_s * _ELECTION_SPREAD,
            lease_s=self._durations.leader_lease_s,
            seed=random.getrandbits(32),
            began_at=self._process_started_at,
        )
        self._replica = Replica(
            config,
            FileStorage(folder),
            self._transport,
            self.store,
            self._fail,
            self._on_disk_event,
        )
        self._member_removal = MemberRemoval(
            self._replica, self._settings.group.tolerated_losses, self._log
        )
        self._server = grpc.aio.server(options=MESSAGE_OPTIONS)
        self._server.add_generic_rpc_handlers((call_handler(self._answer),))
        self._transport.register(self._server)
        host, port = self._settings.addresses.listen_on(self.peer_address(self.name))
        self._server.add_insecure_port(f"{host}:{port}")
        try:
            await self._replica.start()
        except LogDamagedError as error:
            self._log.error("the data folder is damaged", error=str(error))
            self._fail(LOG_DAMAGED)
            return
        gc.freeze()
        await self._server.start()
        host, port = self._settings.addresses.listen_on(self.own_address())
        self._http = HttpServer(
            self._build_app(self),
            host,
            port,
            self._durations.drain_s,
            self._intake,
            "control",
        )
        await self._http.start()
        await self._start_inspection()
        self._leader_client.add_seeds(list(seed_addresses.values()))
        self._background.start("stall clock", self._stall_clock.run)
        self._background.start("leadership", self._watch_leadership)
        self._background.start("membership", self._join_group)
        self._background.start("member removal", self._member_removal.run)
        self._log.info("listening", control=self.own_address(), members=seeds)

    async def _start_inspection(self) -> None:
        self._metrics.add_gauge(
            "jobs", "Jobs that are kept.", lambda: len(self.store.job_by_id)
        )
        self._metrics.add_gauge(
            "waiting_units", "Units that wait.", self.store.count_waiting
        )
        self._metrics.add_gauge(
            "term", "Term of the replicated log.", lambda: self._replica.status().term
        )
        self._metrics.add_gauge(
            "leads", "1 if this process leads.", lambda: self._replica.is_leader()
        )
        self._metrics.add_gauge(
            "voters",
            "Voters of the replicated log.",
            lambda: len(self._replica.members().voters),
        )
        self._metrics.add_gauge(
            "learners",
            "Members that do not vote yet.",
            lambda: len(self._replica.members().learners),
        )
        self._metrics.add_gauge(
            "silent_members",
            "Members that do not answer the leader; 0 at other processes.",
            lambda: len(self._member_removal.silent_members()),
        )
        add_account_gauges(self._metrics, lambda: self.leader_term)
        add_speed_gauges(self._metrics, lambda: self.leader_term)
        addresses = self._settings.addresses
        self._inspection = inspection_server(
            self._metrics,
            self._dump,
            addresses.metrics_host(),
            addresses.metrics_port,
            self._intake,
        )
        await self._inspection.start()

    def _dump(self) -> dict[str, Any]:
        """Return the state of this process for ``GET /dump``."""
        dump: dict[str, Any] = {"replica": self._replica.status()._asdict()}
        if self.leader_term is not None:
            dump["leadership"] = describe_term(self.leader_term)
        return dump

    async def _initialize(self, folder: Path, seed_addresses: dict[str, str]) -> None:
        """Initialize the data folder; wait while it refuses writes."""
        while True:
            try:
                initialize(folder, self.name, seed_addresses)
            except FileExistsError:
                self._log.info("the data folder is in use already")
            except WriteRefusedError as error:
                self._log.warning("disk refuses writes", error=str(error))
                await asyncio.sleep(_DISK_CHECK_INTERVAL_S)
                continue
            return

    def _on_disk_event(self, event: DiskEvent) -> None:
        log_disk_event(self._log, event)

    def _fail(self, code: int) -> None:
        if not self.failure.done():
            self._log.error(
                "replica stopped", code=int(code), error=str(self._replica.disk_error)
            )
            self.failure.set_result(code)

    def reload(self) -> None:
        """Log that the settings changed; they apply after a restart."""
        self._log.info("settings changed", members=self._replica.status().voters)

    async def stop(self) -> None:
        """Transfer leadership, finish the calls in progress and stop."""
        if not self.failure.done():
            deadline = boottime_now() + self._durations.notice_s
            await self._replica.transfer_leadership()
            await leave_group(
                self.name,
                self._member_removal,
                self._leader_client,
                self._log,
                deadline,
            )
        await self._replica.stop()
        self._end_leadership()
        self._background.cancel()
        if self._http is not None:
            await self._http.stop()
            await self._inspection.stop()
        await self._server.stop(0.2)
        await self._leader_client.close()
        await self._upstream_client.close()
        if self.failure.done() and self.failure.result() == SYNC_FAILED:
            await self._wait_for_disk()

    async def _wait_for_disk(self) -> None:
        """Wait until the disk accepts writes again, up to a limit.

        Without this wait, a process on a full disk would be restarted only to
        fail at its first write.
        """
        folder = Path(self._settings.group.data_folder)
        for _ in range(_MAX_DISK_CHECKS):
            try:
                await asyncio.to_thread(check_writable, folder)
            except OSError as error:
                self._log.warning("disk refuses writes", error=str(error))
                await asyncio.sleep(_DISK_CHECK_INTERVAL_S)
                continue
            self._log.info("disk takes writes")
            return

    async def _watch_leadership(self) -> None:
        while True:
            leads = self._replica.is_leader()
            current = self.leader_term
            if current is not None and (not leads or current.failed):
                self._end_leadership()
            if leads and self.leader_term is None:
                self._begin_leadership()
            await asyncio.sleep(_LEADERSHIP_POLL_S)

    def _begin_leadership(self) -> None:
        term = self._replica.status().term
        self.leader_term = LeaderTerm(
            self.store,
            self._upstream_client,
            self._durations,
            term,
            self._propose,
            self._replica.is_leader,
            self._metrics,
            self._wall_clock,
            leader_contact_at=self._replica.leader_contact_at(),
            work_budget=self._settings.work_budget(),
        )
        self.leader_term.start()

    def _end_leadership(self) -> None:
        if self.leader_term is not None:
            self.leader_term.close()
            self.leader_term = None

    async def _propose(self, command: Command) -> Any:
        started_at = time.perf_counter()
        result = await self._replica.propose(encode_command(command))
        took_s = time.perf_counter() - started_at
        self._metrics.record_commit(type(command).__name__, took_s)
        if took_s * 1_000 > self._settings.bounds.contact_ms / 10:
            self._log.warning(
                "slow commit",
                command=type(command).__name__,
                took_ms=int(took_s * 1_000),
            )
        return result

    async def _join_group(self) -> None:
        """Request to join the group whenever this process is not a member.

        A member may have been removed after a long silence.  It notices this
        because it hears from no leader.
        """
        member = False
        while True:
            if self._is_member():
                if not member:
                    voters = self._replica.status().voters
                    self._log.info("member of the group", voters=list(voters))
                member = True
                self._leader_client.set_members(self._member_addresses())
                await asyncio.sleep(_MEMBER_CHECK_INTERVAL_S)
                continue
            member = False
            call = Join(self.name, self.peer_address(self.name))
            reply = await self._leader_client.call(call, 1.0)
            self._log.info("asked to join", outcome=str(reply.outcome))
            members = (*reply.members, reply.leader)
            self._transport.add_addresses(
                {address.rpartition(":")[0]: address for address in members if address}
            )
            await asyncio.sleep(_JOIN_RETRY_S * random.uniform(0.5, 1.5))

    def _is_member(self) -> bool:
        status = self._replica.status()
        if self.name not in status.voters or status.recovering:
            return False
        return bool(status.leader)

    async def _answer(self, call: Call, context: Any) -> CallReply:
        if isinstance(call, JobCall):
            reply = await self.service.answer(call)
        elif isinstance(call, OperatorCall):
            reply = await self.operators.answer(call)
        elif self.leader_term is None or not self._replica.is_leader():
            reply = CallReply(Outcome.NOT_LEADER)
        elif isinstance(call, Join):
            reply = await self._add_member(call)
        elif isinstance(call, Leave):
            reply = await self._member_removal.answer_leave(call)
        else:
            configured = self.store.configuration is not None
            outcome = Outcome.OK if configured else Outcome.NO_CONFIGURATION
            reply = CallReply(outcome, clock_s=boottime_now())
        if reply.outcome != Outcome.NOT_LEADER and isinstance(
            call, JobCall | OperatorCall
        ):
            return reply
        return self._with_members(reply)

    def _with_members(self, reply: CallReply) -> CallReply:
        leader = self._replica.leader_hint()
        members = self._member_addresses()
        address = self.peer_address(leader) if leader else ""
        return msgspec.structs.replace(reply, leader=address, members=members)

    def _member_addresses(self) -> tuple[str, ...]:
        return tuple(self.peer_address(name) for name in self._replica.status().voters)

    async def _add_member(self, call: Join) -> CallReply:
        status = self._replica.status()
        if call.name in (*status.voters, *status.learners):
            return CallReply(Outcome.OK)
        try:
            await self._replica.add_member(call.name, call.address)
        except MemberChangeError as error:
            self._log.info("join refused", member=call.name, reason=str(error))
            return CallReply(Outcome.UNKNOWN)
        self._log.info("member added", member=call.name)
        return CallReply(Outcome.OK)
