"""Multi-step jobs: replicated state, placement and leases.

The job roles of the daemon use this package.  Requests with their attempts
are scheduled by ``persimmonyard.scheduler``, whose planner and fleet are
other classes.
"""

from persimmonyard.jobs.account_shares import total_capacity
from persimmonyard.jobs.account_status import (
    AccountStatus,
    account_statuses,
    limit_reason,
)
from persimmonyard.jobs.admission import decide_job
from persimmonyard.jobs.capacity import charged_resources
from persimmonyard.jobs.changes import Change, JobEnded, RunPlaced, TaskEnded
from persimmonyard.jobs.commands import (
    Answer,
    CancelJob,
    Command,
    EndRuns,
    ExpireJobs,
    ForgetUpstreams,
    InvalidCommandError,
    NoteDoubts,
    NotedSpeed,
    NoteSilence,
    NoteSpeeds,
    NoteUpstreams,
    OpenOccurrences,
    Placement,
    PlaceRuns,
    PutConfiguration,
    RunEnd,
    RunSilence,
    Seat,
    SetZone,
    Silence,
    StartEvidence,
    SubmitJob,
    decode_command,
    encode_command,
)
from persimmonyard.jobs.configuration import (
    AccountSpec,
    JobConfiguration,
    Limits,
    Route,
    ServiceSpec,
    configuration_problem,
)
from persimmonyard.jobs.fleet import (
    Fleet,
    Upstream,
    UpstreamReport,
    lease_s,
    order_fence,
)
from persimmonyard.jobs.health import UpstreamHealth
from persimmonyard.jobs.job_checks import job_problem
from persimmonyard.jobs.kinds import task_kind
from persimmonyard.jobs.leader_wait import (
    ComeBack,
    KeepWaiting,
    LeaderLoss,
    decide_without_leader,
)
from persimmonyard.jobs.model import (
    GANG_TASK,
    Job,
    JobState,
    Step,
    TaskEnd,
    TaskKey,
    UnitKey,
)
from persimmonyard.jobs.noted_doubts import EndDoubt
from persimmonyard.jobs.placement_preview import (
    PlacementPreview,
    PlanInputs,
    preview_placement,
)
from persimmonyard.jobs.planner import Plan, Planner, Preemption
from persimmonyard.jobs.preemption import RunProgress
from persimmonyard.jobs.records import JobRecord, SeatRecord, Unit, UnitStatus
from persimmonyard.jobs.report_origin import ReportOrigin, is_upstream_report
from persimmonyard.jobs.run_time_estimator import RunTimeEstimator
from persimmonyard.jobs.store import JobStore
from persimmonyard.jobs.store_view import StoreWithJob
from persimmonyard.jobs.withdrawn_jobs import Withdrawn

__all__ = [
    "GANG_TASK",
    "AccountSpec",
    "AccountStatus",
    "Answer",
    "CancelJob",
    "Change",
    "ComeBack",
    "Command",
    "EndDoubt",
    "EndRuns",
    "ExpireJobs",
    "Fleet",
    "ForgetUpstreams",
    "InvalidCommandError",
    "Job",
    "JobConfiguration",
    "JobEnded",
    "JobRecord",
    "JobState",
    "JobStore",
    "KeepWaiting",
    "LeaderLoss",
    "Limits",
    "NoteDoubts",
    "NoteSilence",
    "NoteSpeeds",
    "NoteUpstreams",
    "NotedSpeed",
    "OpenOccurrences",
    "PlaceRuns",
    "Placement",
    "PlacementPreview",
    "Plan",
    "PlanInputs",
    "Planner",
    "Preemption",
    "PutConfiguration",
    "ReportOrigin",
    "Route",
    "RunEnd",
    "RunPlaced",
    "RunProgress",
    "RunSilence",
    "RunTimeEstimator",
    "Seat",
    "SeatRecord",
    "ServiceSpec",
    "SetZone",
    "Silence",
    "StartEvidence",
    "Step",
    "StoreWithJob",
    "SubmitJob",
    "TaskEnd",
    "TaskEnded",
    "TaskKey",
    "Unit",
    "UnitKey",
    "UnitStatus",
    "Upstream",
    "UpstreamHealth",
    "UpstreamReport",
    "Withdrawn",
    "account_statuses",
    "charged_resources",
    "configuration_problem",
    "decide_job",
    "decide_without_leader",
    "decode_command",
    "encode_command",
    "is_upstream_report",
    "job_problem",
    "lease_s",
    "limit_reason",
    "order_fence",
    "preview_placement",
    "task_kind",
    "total_capacity",
]
