#include "runs/run_home.h"

#include <algorithm>
#include <utility>

namespace jasminedyke {

namespace {

// Time for which runs of earlier homes may live on upstreams that a new home
// does not know or that have not replied to it: their leases, and a margin for
// their notification. Where callers return later, a home that was replaced
// without knowing it may prolong its leases until then.
constexpr duration kEarlierRunsTime = std::chrono::milliseconds(1500);
constexpr duration kSweepInterval = std::chrono::milliseconds(50);
// An answer is useful until this multiple of the job's objective, counted from
// its arrival.
constexpr int kUsefulObjectiveFactor = 3;
// The share of this instance's link that specifications in starts may take
// before owners send the starts themselves. Each specification also comes in
// once with its job, lease-renewal requests need as many bytes as the
// specifications, and a burst of starts must be sent within the short delay
// that callers of short tasks can tolerate. Below this share the home sends the
// starts, as a start by the owner costs one more message and separate
// connections.
constexpr double kMaxSpecShare = 0.2;
// The share below which the home sends the starts again.
constexpr double kResumeSpecShare = 0.1;

// A stop takes a round trip and the time that upstreams need to end a run, and
// is repeated if it goes unanswered.
constexpr duration kOverdueStop = std::chrono::milliseconds(400);

// A job is returned to its owner once upstreams have refused one of its tasks
// as malformed this many times.
constexpr int kMaxRejections = 2;

// The size of the specification, which each start of a task of the job carries.
size_t SpecBytes(const home_job& job) {
  return job.request.kept_spec_bytes.value_or(job.request.spec.size());
}

}  // namespace

run_home::run_home(scheduler& clock,
                   upstream_port& port,
                   const home_group& group,
                   const settings& options,
                   send_report send,
                   fenced_handler on_fenced)
    : clock_(clock),
      port_(port),
      group_(group),
      settings_(options),
      bound_(options.resend_after),
      on_fenced_(std::move(on_fenced)),
      gate_(options.drain_grace_period),
      placer_(clock, upstreams_, options.placement),
      reports_(clock, jobs_, std::move(send)),
      claims_(clock, upstreams_),
      owner_links_(clock, jobs_, bound_),
      run_times_(upstreams_),
      stuck_runs_(clock, upstreams_, run_times_, answer_times_, metrics_.stuck),
      dispatch_timer_(clock),
      sweep_timer_(clock) {
  settings_.upstreams.requested_lease =
      bound_.MaxLease(settings_.upstreams.longest_lease);
}

run_home::~run_home() = default;

void run_home::Begin(fencing_token token) {
  token_ = token;
  serving_ = true;
  begun_at_ = clock_.now();
  claims_.Begin();
  room_ = home_room();
  upstreams_confirmed_ = false;
  began_with_upstreams_ = !registry_.empty();
  gate_.EndGracePeriod();
  SetUpstreams(registry_, false);
  Sweep();
}

void run_home::End() {
  serving_ = false;
  upstreams_.Clear();
  jobs_.clear();
  claims_.Clear();
  sweep_timer_.Stop();
  dispatch_timer_.Stop();
  reports_.Clear();
  dispatch_scheduled_ = false;
}

void run_home::SetUpstreams(const upstream_registry& upstreams,
                            bool confirmed) {
  registry_ = upstreams;
  upstreams_.speeds().SetRegistered(upstreams);
  if (!serving_)
    return;
  // After an outage the store's list lacks the registrations that lapsed
  // meanwhile. Only a home that knew the upstreams before can rely on the
  // store's list.
  upstreams_confirmed_ =
      upstreams_confirmed_ || (confirmed && began_with_upstreams_);
  for (const auto& [id, info] : upstreams) {
    if (info.draining)
      crashes_.OnExplained({id, info.birth}, clock_.now());
    if (upstream_session* known = upstreams_.Find(id)) {
      upstreams_.SetInfo(*known, info);
      continue;
    }
    upstreams_.Add(std::make_unique<upstream_session>(
        clock_, port_, info, token_, settings_.upstreams, answer_times_,
        late_starts_, *this));
  }
  upstreams_.MarkUnregistered(upstreams);
  PublishCrashNews();
  ScheduleDispatch();
}

void run_home::SetDomainState(domain_state state) {
  gate_.Set(state, clock_.now());
  ScheduleDispatch();
}

void run_home::OnRequest(const instance_id& from, const run_request& request) {
  if (!serving_) {
    reports_.SendNotHome(from, request);
    return;
  }
  auto [found, is_new] = jobs_.try_emplace(request.job);
  home_job& job = found->second;
  time_point submitted_at = clock_.now() - request.age;
  bool other_submission =
      !is_new &&
      (job.owner != from || job.request.submission != request.submission);
  if (other_submission && !job.cancelled) {
    // The owner of an earlier submission sends it again if its link was down
    // when that submission was superseded.
    bool is_earlier = job.owner == from
                          ? request.submission < job.request.submission
                          : submitted_at < job.submitted_at;
    if (is_earlier) {
      reports_.SendSuperseded(from, request);
      return;
    }
    // The caller lost its first connection and came back through another
    // one. The job's runs continue for the new owner.
    Refuse(job, run_refusal::kSuperseded, duration::zero());
  }
  job.key = request.job;
  job.submitted_at = submitted_at;
  owner_links_.OnJobSent(from, job);
  job.cancelled = false;
  job.overdue_logged = false;
  job.request = request;
  job.request.tasks.clear();
  job.objective = clock_.now() + request.to_objective;
  // Callers accept an answer that arrives within three times its objective.
  job.useful_until = job.objective + (request.age + request.to_objective) *
                                         (kUsefulObjectiveFactor - 1);
  job.limit = clock_.now() + request.to_limit;
  job.boot_limit = clock_.boot_now() + request.to_limit;
  AddTasks(job, request);
  reports_.SendPending(job);
  EraseIfFinished(request.job);
  ScheduleDispatch();
}

void run_home::AddTasks(home_job& job, const run_request& request) {
  for (const task_demand& demand : request.tasks) {
    task_name name{job.key, 0, demand.position};
    auto [found, is_new] = job.tasks.TryAdd(demand.position);
    home_task& task = *found;
    job.tasks.SetDemand(task, demand);
    if (is_new)
      task.queued_at = clock_.now();
    // The orders of an earlier submission of the job.
    if (auto late = LatePlaceOf(name)) {
      job.may_start_late = true;
      task.last_run = std::max(task.last_run, late->last_run.value());
    }
    // A home that has had a task since it was first sent knows whether it
    // started it.
    bool known_queued = !is_new && task.phase() == task_phase::kQueued;
    if (auto end = claims_.TakeUnclaimedEnd(name)) {
      if (*end == run_end::kDone && demand.maybe_started) {
        job.may_have_run = true;
        OnTaskDone(job, task);
        continue;
      }
    }
    if (is_new && demand.maybe_started && reports_.WasDone(name)) {
      job.may_have_run = true;
      OnTaskDone(job, task);
      continue;
    }
    bool waits = task.phase() == task_phase::kQueued ||
                 task.phase() == task_phase::kMaybeStarted;
    if (auto found_run = waits ? claims_.Claim(name) : std::nullopt) {
      MarkAdopted(job, task, found_run->upstream);
      task.stopping = found_run->stopping;
      upstream_session* session = upstreams_.Find(task.upstream());
      if (!task.stopping && session) {
        ++metrics_.adopted;
        session->Adopt(name, demand.need);
      }
      continue;
    }
    if (task.unreported)
      continue;
    if (task.succeeded) {
      // The report of this end was lost with the owner's link.
      reports_.Report(job, task, task_verdict::kDone);
      continue;
    }
    if (task.phase() == task_phase::kDone) {
      // The job was sent again after the task had failed or been cancelled.
      job.tasks.SetPhase(task, task_phase::kQueued);
      task.rejections = 0;
    }
    if (task.phase() == task_phase::kQueued && demand.maybe_started &&
        !known_queued) {
      job.may_have_run = true;
      task.moved_at = clock_.now();
      if (!EarlierRunsAreKnown(task.moved_at))
        job.tasks.SetPhase(task, task_phase::kMaybeStarted);
    }
  }
}

void run_home::MarkAdopted(home_job& job,
                           home_task& task,
                           const upstream_id& upstream) {
  job.tasks.Order(task, upstream);
  task.ordered_at = clock_.now();
  task.first_ordered_at = task.ordered_at;
  task.adopted = true;
  job.may_have_run = true;
}

void run_home::OnCancel(const instance_id& from, const run_cancel& cancel) {
  auto found = jobs_.find(cancel.job);
  if (found == jobs_.end())
    return;
  home_job& job = found->second;
  // The cancellation does not apply to a newer submission of the same key.
  if (job.owner != from || job.request.submission != cancel.submission)
    return;
  reports_.LogLate(job);
  CancelJob(job);
  EraseIfFinished(cancel.job);
}

void run_home::CancelJob(home_job& job) {
  owner_links_.Cancel(job);
  for (auto& [position, task] : job.tasks) {
    if (task.phase() == task_phase::kOrdered) {
      if (!task.stopping)
        ++metrics_.stopped;
      task.stopping = true;
      if (upstream_session* session = upstreams_.Find(task.upstream()))
        session->Stop({job.key, 0, position});
    } else if (task.phase() != task_phase::kDone) {
      job.tasks.SetPhase(task, task_phase::kDone);
    }
  }
}

void run_home::CancelOrphan(home_job& job, const char* why) {
  ++metrics_.orphans_cancelled;
  LogEvent(log_level::kInfo, "job_orphaned",
           {{"job", job.key.str()},
            {"owner", job.owner.str()},
            {"submission", job.request.submission.value()},
            {"why", why}});
  CancelJob(job);
}

// An owner that lives sends the job again when it reads the refusal.
void run_home::CancelUnconfirmed() {
  for (home_job* job : owner_links_.Unconfirmed()) {
    reports_.SendRefusal(*job, run_refusal::kNotHome, duration::zero());
    CancelOrphan(*job, "silent");
  }
}

void run_home::EraseIfFinished(const job_key& key) {
  auto found = jobs_.find(key);
  if (found == jobs_.end())
    return;
  const home_job& job = found->second;
  bool owner_waits = job.orphaned && !job.cancelled && !job.unreported.empty();
  if (job.tasks.AllDone() && !owner_waits)
    jobs_.erase(found);
}

void run_home::OnPeerUp(const instance_id& peer,
                        const incarnation_id& incarnation) {
  for (home_job* job : owner_links_.OnUp(peer, incarnation))
    CancelOrphan(*job, "process_replaced");
  EraseFinishedCancelled();
}

void run_home::OnConfirmed(const instance_id& owner, time_point sent) {
  if (owner_links_.OnConfirmed(owner, sent))
    ScheduleDispatch();
}

// A run without a job is left to its lease.
time_point run_home::EndOfRun(const task_name& task) const {
  auto found = jobs_.find(task.job);
  return found == jobs_.end() ? kLongAgo
                              : owner_links_.EndOfRuns(found->second);
}

home_task* run_home::FindTask(const task_name& task, home_job** job) {
  auto found = jobs_.find(task.job);
  if (found == jobs_.end())
    return nullptr;
  *job = &found->second;
  return found->second.tasks.Find(task.position);
}

void run_home::OnRunEnded(upstream_session& session,
                          const task_name& name,
                          run_number run,
                          run_end how) {
  home_job* job = nullptr;
  home_task* task = FindTask(name, &job);
  claims_.OnEnded(session.info().id, name, how, task != nullptr);
  bool elsewhere = task && task->phase() == task_phase::kOrdered &&
                   task->upstream() != session.info().id;
  if (!task || elsewhere || task->phase() == task_phase::kDone)
    return;
  bool ordered_here = task->phase() == task_phase::kOrdered;
  if (ordered_here && run.value() < task->last_run)
    return;
  task->last_run = std::max(task->last_run, run.value());
  job->may_have_run = true;
  task->answers_lost = session.HasUnansweredCallSince(task->ordered_at);
  if (ordered_here)
    RecordRunEnd(*job, *task, how);
  if (how != run_end::kDone && !task->stopping) {
    LogEvent(log_level::kInfo, "run_ended",
             {{"job", name.job.str()},
              {"task", name.position.index},
              {"run", run.value()},
              {"upstream", session.info().id.str()},
              {"how", ToString(how)},
              {"ms", ToMilliseconds(clock_.now() - task->ordered_at)},
              {"failures", task->failures.size()},
              {"max_attempts", job->request.max_attempts}});
  }
  if (how == run_end::kDone || how == run_end::kFailed)
    crashes_.OnRunEnded(name);
  if (how == run_end::kDone) {
    ++metrics_.done;
    OnTaskDone(*job, *task);
  } else if (ordered_here && how == run_end::kFailed) {
    ++metrics_.failed;
    OnTaskFailed(*job, *task);
  } else if (ordered_here) {
    if (how == run_end::kLapsed)
      ++metrics_.lapsed;
    Requeue(*job, *task);
  }
  EraseIfFinished(name.job);
}

void run_home::RecordRunEnd(home_job& job, const home_task& task, run_end how) {
  time_point now = clock_.now();
  if (how == run_end::kFailed)
    upstreams_.Standing(task.upstream()).OnFailed(now, job.key);
  if (how != run_end::kDone || task.adopted)
    return;
  duration took = now - task.ordered_at;
  RecordLatency(metrics_.run_time, job.request.queue, took, now);
  run_times_.OnDone(job, task, took, now);
}

void run_home::OnTaskDone(home_job& job, home_task& task) {
  job.tasks.SetPhase(task, task_phase::kDone);
  task.succeeded = true;
  task.ended_at = clock_.now();
  if (!job.cancelled)
    reports_.Report(job, task, task_verdict::kDone);
}

void run_home::OnTaskFailed(home_job& job, home_task& task) {
  task.failures.push_back({task.upstream(), task.last_run});
  task.avoided_upstream = task.upstream();
  if (std::ssize(task.failures) < job.request.max_attempts) {
    Requeue(job, task);
    return;
  }
  reports_.LogFailed(job, task);
  job.tasks.SetPhase(task, task_phase::kDone);
  if (!job.cancelled)
    reports_.Report(job, task, task_verdict::kFailed);
}

void run_home::Requeue(home_job& job, home_task& task) {
  task.stopping = false;
  job.tasks.SetPhase(task,
                     job.cancelled ? task_phase::kDone : task_phase::kQueued);
  ScheduleDispatch();
}

void run_home::Refuse(home_job& job, run_refusal reason, duration retry_after) {
  reports_.Refuse(job, reason, retry_after, token_);
}

void run_home::OnLost(upstream_session& session, const upstream_loss& loss) {
  ++metrics_.upstreams_lost;
  LogEvent(log_level::kInfo, "upstream_lost",
           {{"upstream", session.info().id.str()},
            {"runs", loss.runs.size()},
            {"begun", std::ranges::count(loss.runs, true, &lost_run::begun)},
            {"crashed", loss.crashed ? 1 : 0},
            {"draining", session.info().draining ? 1 : 0}});
  // An upstream that announced its departure is not suspected of a crash.
  if (session.info().draining)
    return;
  crashes_.OnUpstreamLost(clock_.now(), loss, upstreams_.sessions().size());
  PublishCrashNews();
}

void run_home::OnFoundAgain(upstream_session& session,
                            const upstream_loss& loss,
                            bool crashed) {
  LogEvent(log_level::kInfo, "upstream_found_again",
           {{"upstream", session.info().id.str()},
            {"runs", loss.runs.size()},
            {"crashed", crashed ? 1 : 0}});
  if (!crashed)
    crashes_.OnExplained(loss.upstream, clock_.now());
  PublishCrashNews();
  ScheduleDispatch();
}

void run_home::OnReborn(upstream_session& session) {
  upstreams_.ForgetStanding(session.info().id);
}

void run_home::PublishCrashNews() {
  crash_news news = crashes_.TakeNews();
  if (!news.empty() && publish_crash_news_)
    publish_crash_news_(news);
}

void run_home::AddCrashNews(const crash_news& news) {
  crashes_.Take(news, clock_.now());
}

// Returns the job to its owner, as another start of the task might crash
// another upstream.
void run_home::GiveUp(home_job& job, const home_task& task) {
  ++metrics_.given_up;
  task_name name{job.key, 0, task.demand().position};
  reports_.LogHeld(name, crashes_.LossesOf(name));
  ReturnToOwner(job, run_refusal::kUpstreamsLost,
                crashes_.RemainingHoldTime(name, clock_.now()));
}

void run_home::OnNotStarted(upstream_session& session,
                            const task_name& name,
                            run_number run,
                            start_result why) {
  ++metrics_.refused_starts[why];
  home_job* job = nullptr;
  home_task* task = FindTask(name, &job);
  bool current = task && task->phase() == task_phase::kOrdered &&
                 task->upstream() == session.info().id &&
                 task->last_run == run.value();
  if (!current)
    return;
  LogEvent(log_level::kInfo, "start_refused",
           {{"job", name.job.str()},
            {"task", name.position.index},
            {"run", run.value()},
            {"upstream", session.info().id.str()},
            {"result", ToString(why)}});
  if (why == start_result::kOwnerGone &&
      task->submission == job->request.submission)
    owner_links_.OnStartNotSent(*job);
  if (why == start_result::kNotAccepted) {
    ++task->rejections;
    job->any_rejected = true;
    task->avoided_upstream = session.info().id;
  }
  if (LatePlaceOf(name))
    job->may_start_late = true;
  Requeue(*job, *task);
  EraseIfFinished(name.job);
}

bool run_home::OnStartUnanswered(upstream_session& session,
                                 const task_name& name,
                                 run_number run) {
  home_job* job = nullptr;
  home_task* task = FindTask(name, &job);
  bool wanted = task && task->phase() == task_phase::kOrdered &&
                task->upstream() == session.info().id &&
                task->last_run == run.value() && !task->stopping &&
                !job->orphaned && owner_links_.MayStart(*job) &&
                gate_.Decide(true, clock_.now()) == start_decision::kStart;
  if (!wanted)
    return false;
  task->submission = job->request.submission;
  task->ordered_at = clock_.now();
  ++metrics_.repeated_starts;
  spec_rate_.Add(clock_.now(), SpecBytes(*job));
  session.RepeatStart(name, job->request.spec, DelegateOf(*job));
  return true;
}

void run_home::OnFound(upstream_session& session,
                       const task_name& name,
                       run_number run) {
  home_job* job = nullptr;
  home_task* task = FindTask(name, &job);
  bool waits = task && (task->phase() == task_phase::kMaybeStarted ||
                        task->phase() == task_phase::kQueued);
  if (waits && !job->cancelled) {
    MarkAdopted(*job, *task, session.info().id);
    task->last_run = std::max(task->last_run, run.value());
    ++metrics_.adopted;
    session.Adopt(name, task->demand().need);
    return;
  }
  claims_.OnFound(session, name, task != nullptr);
}

void run_home::OnCapacityChanged(upstream_session&) {
  QueueMaybeStarted();
  ScheduleDispatch();
}

void run_home::OnFenced(upstream_session& session) {
  LogEvent(log_level::kWarning, "fenced",
           {{"upstream", session.info().id.str()}, {"token", token_.value()}});
  on_fenced_();
}

// A home that has just begun may not know all upstreams. Without a confirmed
// list it waits until the leases of its predecessor have expired.
bool run_home::AllSettled() const {
  bool all_known =
      upstreams_confirmed_ || clock_.now() - begun_at_ >= EarlierRunsTime();
  return all_known && upstreams_.AllSettled();
}

duration run_home::EarlierRunsTime() const {
  return std::max(kEarlierRunsTime, settings_.resend_after);
}

// The home from which the task was moved may have gone on until then, and may
// reach an upstream that this home does not know or has not heard of. It loses
// its leases there as its owners don't confirm to it any more.
bool run_home::EarlierRunsAreKnown(time_point moved_at) const {
  if (clock_.now() - moved_at >= EarlierRunsTime())
    return AllSettled();
  return upstreams_confirmed_ && upstreams_.AllHeard();
}

// A task that is new to this home may be part of a job that its caller
// submitted before: the first owner and the earlier home are gone, and its run
// goes on.
bool run_home::MayStartTasks() const {
  return clock_.now() - begun_at_ >= EarlierRunsTime() ||
         upstreams_.AllSettled();
}

void run_home::QueueMaybeStarted() {
  for (auto& [key, job] : jobs_) {
    if (job.tasks.Count(task_phase::kMaybeStarted) == 0)
      continue;
    for (auto& [position, task] : job.tasks) {
      if (task.phase() != task_phase::kMaybeStarted ||
          !EarlierRunsAreKnown(task.moved_at))
        continue;
      job.tasks.SetPhase(task, task_phase::kQueued);
      if (crashes_.OnSuspectRunMissing({key, 0, position}, clock_.now()))
        PublishCrashNews();
    }
  }
}

// Dispatches from a timer, so that the many events of one answer lead to a
// single pass.
void run_home::ScheduleDispatch() {
  if (dispatch_scheduled_ || !serving_)
    return;
  dispatch_scheduled_ = true;
  dispatch_timer_.StartAfter(duration::zero(), [this] {
    dispatch_scheduled_ = false;
    Dispatch();
  });
}

void run_home::Dispatch() {
  std::vector<waiting_job> in_order = RankWaitingJobs();
  if (!in_order.empty())
    placer_.Refresh();
  bool may_start = MayStartTasks();
  for (const waiting_job& waiting : in_order) {
    home_job& job = *waiting.job;
    start_decision decision = gate_.Decide(!job.HasNotStarted(), clock_.now());
    if (decision == start_decision::kReturnToOwner)
      ReturnToOwner(job, run_refusal::kDrained, kMinRetryAfter);
    if (decision != start_decision::kStart)
      continue;
    if (const home_task* held = HeldTask(job)) {
      GiveUp(job, *held);
      continue;
    }
    if (!owner_links_.MayStart(job))
      continue;
    if (job.request.may_pass && job.HasNotStarted() &&
        !(may_start && placer_.HasPlacesFor(job)))
      PassToOtherGroup(job);
    else if (!may_start)
      continue;
    else if (job.HasRejectedTask(kMaxRejections) ||
             (!PlaceTasks(job) && job.HasRejectedTask(1)))
      ReturnToOwner(job, run_refusal::kNotAccepted, kMinRetryAfter);
  }
  EraseFinishedCancelled();
}

// Refuses the job so that its owner sends it to another group. The load of
// failure domains differs, especially when one has lost upstreams, so a job
// that waits in one domain could start at once in another.
void run_home::PassToOtherGroup(home_job& job) {
  reports_.SendRefusal(job, run_refusal::kBusy, duration::zero());
  CancelJob(job);
}

// Refuses the job. Its owner sends it to another home, or answers at once if
// parts of it have run here.
void run_home::ReturnToOwner(home_job& job,
                             run_refusal reason,
                             duration retry_after) {
  Refuse(job, reason, std::max(retry_after, kMinRetryAfter));
  CancelJob(job);
}

// Leaves out orphaned jobs: none of their tasks may start, and a refusal would
// be lost as the owner's link is down.
std::vector<waiting_job> run_home::RankWaitingJobs() {
  std::vector<waiting_job> waiting;
  for (auto& [key, job] : jobs_) {
    double work = job.cancelled || job.orphaned ? 0 : job.tasks.QueuedWork();
    if (work <= 0)
      continue;
    scheduling_criteria criteria = job.SchedulingCriteria();
    waiting.push_back({RankJob(criteria, clock_.now()), criteria, work, &job});
  }
  std::ranges::sort(waiting, {}, &waiting_job::rank);
  return waiting;
}

// Returns true if all waiting tasks were placed.
bool run_home::PlaceTasks(home_job& job) {
  if (job.tasks.Count(task_phase::kQueued) == 0)
    return true;
  bool all_placed = true;
  for (auto& [position, task] : job.tasks) {
    task_name name{job.key, 0, position};
    bool waits = task.phase() == task_phase::kQueued && !claims_.IsFound(name);
    if (!waits || PlaceTask(job, task))
      continue;
    all_placed = false;
    // A task that waits for one upstream says nothing of the others' room.
    if (!LatePlaceOf(name))
      return false;
  }
  return all_placed;
}

std::optional<late_starts::place> run_home::LatePlaceOf(
    const task_name& task) const {
  return late_starts_.PlaceOf(task, clock_.now());
}

// While an order for the task may arrive late, the task runs on that order's
// upstream or not at all. A run there must not meet an order of a lower number
// that the upstream does not refuse.
run_home::chosen_place run_home::ChoosePlace(home_job& job, home_task& task) {
  if (auto late = LatePlaceOf({job.key, 0, task.demand().position})) {
    if (!late->refused)
      return {};
    return {placer_.PlaceOn(late->upstream, job, task)};
  }
  if (SuspicionOf(job, task) != crash_suspicion::kNone) {
    if (upstream_session* session = placer_.PlaceAlone(job, task))
      return {session, true};
  }
  return {placer_.Place(job, task)};
}

bool run_home::PlaceTask(home_job& job, home_task& task) {
  auto [session, alone] = ChoosePlace(job, task);
  if (!session)
    return false;
  upstream_standing& standing = upstreams_.Standing(session->info().id);
  if (!standing.good()) {
    standing.OnTrial(clock_.now());
    ++metrics_.trials;
  }
  // A suspect task that is placed alone reserves the whole capacity, so that no
  // other task is placed beside it.
  StartOn(*session, job, task,
          alone ? session->info().capacity : task.demand().need);
  return true;
}

void run_home::StartOn(upstream_session& session,
                       home_job& job,
                       home_task& task,
                       const resource_amount& need) {
  job.tasks.Order(task, session.info().id);
  task.stopping = false;
  task.ordered_at = clock_.now();
  if (task.last_run == 0)
    task.first_ordered_at = task.ordered_at;
  task.adopted = false;
  task.submission = job.request.submission;
  RecordLatency(metrics_.room_wait, job.request.queue,
                task.ordered_at - task.queued_at, task.ordered_at);
  ++task.last_run;
  ++metrics_.started;
  spec_rate_.Add(clock_.now(), SpecBytes(job));
  session.Start({job.key, 0, task.demand().position}, run_number(task.last_run),
                job.request.spec, need, DelegateOf(job));
}

std::optional<start_delegate> run_home::DelegateOf(const home_job& job) const {
  if (!job.request.kept_spec_bytes)
    return std::nullopt;
  return start_delegate{job.owner, job.request.submission};
}

crash_suspicion run_home::SuspicionOf(const home_job& job,
                                      const home_task& task) const {
  return crashes_.SuspicionLevel({job.key, 0, task.demand().position},
                                 clock_.now());
}

const home_task* run_home::HeldTask(const home_job& job) const {
  if (crashes_.size() == 0)
    return nullptr;
  auto held = std::ranges::find_if(job.tasks, [&](const auto& entry) {
    return entry.second.phase() == task_phase::kQueued &&
           SuspicionOf(job, entry.second) == crash_suspicion::kHeld;
  });
  return held == job.tasks.end() ? nullptr : &held->second;
}

void run_home::UpdateOwnersStart() {
  if (settings_.link_bytes_per_second <= 0)
    return;
  double share =
      spec_rate_.PerSecond(clock_.now()) / settings_.link_bytes_per_second;
  bool was_on = owners_start_;
  owners_start_ = share > (was_on ? kResumeSpecShare : kMaxSpecShare);
  if (owners_start_ != was_on)
    LogEvent(log_level::kInfo, "owners_start",
             {{"group", group_.ToString()},
              {"on", owners_start_ ? 1 : 0},
              {"share_of_link", share}});
}

// Ends expired claims and grace periods, removes upstreams that are gone, and
// refuses jobs that can't be answered in useful time any more.
void run_home::Sweep() {
  time_point now = clock_.now();
  claims_.StopUnclaimed();
  for (home_job* job : owner_links_.Abandoned())
    CancelOrphan(*job, "link_down");
  CancelUnconfirmed();
  LogOverdueStops();
  upstreams_.ForgetUnregistered(registry_);
  crashes_.Forget(now);
  RefuseLateJobs();
  bool may_restart = gate_.Decide(true, now) == start_decision::kStart;
  stuck_runs_.Check(jobs_, may_restart, [this] { return EstimateRoomWait(); });
  UpdateOwnersStart();
  QueueMaybeStarted();
  ScheduleDispatch();
  sweep_timer_.StartAfter(kSweepInterval, [this] { Sweep(); });
}

void run_home::LogOverdueStops() {
  time_point now = clock_.now();
  for (auto& [key, job] : jobs_) {
    bool overdue = job.cancelled && now - job.cancelled_at >= kOverdueStop;
    size_t runs = overdue && !job.overdue_logged
                      ? job.tasks.Count(task_phase::kOrdered)
                      : 0;
    if (runs == 0)
      continue;
    job.overdue_logged = true;
    ++metrics_.overdue_stops;
    LogEvent(log_level::kWarning, "stop_overdue",
             {{"job", key.str()},
              {"owner", job.owner.str()},
              {"runs", runs},
              {"ms", ToMilliseconds(now - job.cancelled_at)}});
  }
}

// An upstream that has left may be back under its id before the order arrives.
duration run_home::WaitForLeftUpstream(const home_job& job) const {
  duration longest = duration::zero();
  if (!job.may_start_late)
    return longest;
  for (const auto& [position, task] : job.tasks) {
    auto late = task.phase() == task_phase::kQueued
                    ? LatePlaceOf({job.key, 0, position})
                    : std::nullopt;
    if (late && !registry_.contains(late->upstream))
      longest = std::max(longest, late->until - clock_.now());
  }
  return longest;
}

// Refuses jobs that have no runs as soon as the estimate shows that they can't
// be answered in useful time, so that their callers can go elsewhere.
void run_home::RefuseLateJobs() {
  home_load load;
  load.cores = upstreams_.UsableCores();
  duration delay = answer_times_.Delay();
  std::vector<waiting_job> waiting = RankWaitingJobs();
  room_.Update(clock_.now(), {waiting, run_times_.done(), load.cores});
  for (waiting_job& each : waiting) {
    home_job& job = *each.job;
    bool has_no_runs = job.HasNoRuns();
    duration left = has_no_runs ? WaitForLeftUpstream(job) : duration::zero();
    duration wait = std::max(EstimateWait(load) + delay, left);
    if (!has_no_runs || !IsHopeless(each.criteria, wait, clock_.now())) {
      load.work_ahead += each.work;
      continue;
    }
    if (upstreams_.CouldEverRun(job))
      Refuse(job, run_refusal::kOverload,
             std::max(left, room_.RetryAfter(clock_.now(), each)));
    else
      Refuse(job, run_refusal::kNoUpstream, std::max(left, kMinRetryAfter));
    CancelJob(job);
  }
  EraseFinishedCancelled();
}

void run_home::EraseFinishedCancelled() {
  std::vector<job_key> cancelled;
  for (const auto& [key, job] : jobs_) {
    if (job.cancelled)
      cancelled.push_back(key);
  }
  for (const job_key& key : cancelled)
    EraseIfFinished(key);
}

// Estimates how long a job behind all waiting jobs would wait.
duration run_home::EstimateRoomWait() const {
  home_load load;
  load.cores = upstreams_.UsableCores();
  for (const auto& [key, job] : jobs_)
    load.work_ahead += job.cancelled ? 0 : job.tasks.QueuedWork();
  return EstimateWait(load);
}

home_status run_home::Status() const {
  home_status status;
  status.group = group_;
  status.token = token_;
  status.serving = serving_;
  status.settled = AllSettled();
  status.owners_start = owners_start_;
  for (const auto& [id, session] : upstreams_.sessions()) {
    if (!session->usable())
      continue;
    status.free_cpu_millis += session->room().cpu_millis;
    status.total_cpu_millis += session->info().capacity.cpu_millis;
  }
  status.wait = EstimateRoomWait();
  return status;
}

}  // namespace jasminedyke
