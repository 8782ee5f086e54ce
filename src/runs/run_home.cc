#include "runs/run_home.h"

#include <algorithm>
#include <utility>

namespace jasminedyke {

namespace {

// A link that broke may be opened again by a living owner, which then sends
// its jobs again. A caller whose instance died comes back after a second or
// more, through another instance; by then its runs must be gone.
constexpr duration kOrphanTime = std::chrono::milliseconds(350);
// A predecessor ends as soon as it hears of its successor; its leases last a
// second more on a clock that is 2 % slow.
constexpr duration kUnconfirmedTime = std::chrono::milliseconds(1500);
constexpr duration kSweepInterval = std::chrono::milliseconds(50);
// Of the objective, counted from the job's arrival.
constexpr int kUsefulLateness = 3;
// Of this instance's link, the share that specifications in starts may take.
// Jobs bring each specification in once, holds need as many bytes again, and
// bursts must pass within the little time that callers of short tasks can lose.
// Below that a start by the owner costs a message more and connections of its
// own.
constexpr double kMostSpecShare = 0.2;
constexpr double kFewSpecShare = 0.1;

// Orders of one task that upstreams refuse as malformed.
constexpr int kMostRejections = 2;

}  // namespace

run_home::run_home(scheduler& clock,
                   upstream_port& port,
                   const home_group& group,
                   const settings& own,
                   send_report send,
                   fenced_handler on_fenced)
    : clock_(clock),
      port_(port),
      group_(group),
      settings_(own),
      on_fenced_(std::move(on_fenced)),
      gate_(own.finish_time),
      placer_(clock, upstreams_, own.placement),
      reports_(clock, jobs_, std::move(send)),
      claims_(clock, upstreams_),
      run_times_(upstreams_),
      stuck_runs_(clock, upstreams_, run_times_, answer_times_, metrics_.stuck),
      dispatch_timer_(clock),
      sweep_timer_(clock) {}

run_home::~run_home() = default;

void run_home::Begin(fencing_token token) {
  token_ = token;
  for (const auto& [id, session] : upstreams_.sessions())
    session->SetToken(token);
  if (serving_)
    return;
  serving_ = true;
  begun_ = clock_.now();
  claims_.Begin();
  room_ = home_room();
  confirmed_ = false;
  knew_upstreams_ = !registry_.empty();
  gate_.Restart();
  SetUpstreams(registry_, false);
  Sweep();
}

void run_home::End() {
  serving_ = false;
  upstreams_.Clear();
  jobs_.clear();
  claims_.Clear();
  orphaned_at_.clear();
  sweep_timer_.Stop();
  dispatch_timer_.Stop();
  reports_.Stop();
  dispatch_due_ = false;
}

void run_home::SetUpstreams(const upstream_registry& upstreams,
                            bool confirmed) {
  registry_ = upstreams;
  upstreams_.speeds().Keep(upstreams);
  if (!serving_)
    return;
  // Registrations that lapsed during an outage are missing at first; only who
  // knew them before can tell.
  confirmed_ = confirmed_ || (confirmed && knew_upstreams_);
  for (const auto& [id, info] : upstreams) {
    if (info.draining)
      crashes_.OnExplained({id, info.birth}, clock_.now());
    if (upstream_session* known = upstreams_.Find(id)) {
      upstreams_.SetInfo(*known, info);
      continue;
    }
    upstreams_.Add(std::make_unique<upstream_session>(
        clock_, port_, info, token_, settings_.upstreams, answer_times_,
        *this));
  }
  TellCrashes();
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
  bool other_submission =
      !is_new &&
      (job.owner != from || job.request.submission != request.submission);
  if (other_submission && !job.cancelled) {
    // The caller lost its first connection and came back elsewhere. Its runs
    // go on for the new owner.
    Refuse(job, run_refusal::kSuperseded, duration::zero());
  }
  job.key = request.job;
  job.owner = from;
  job.cancelled = false;
  job.request = request;
  job.request.tasks.clear();
  job.owner_gone = false;
  job.objective = clock_.now() + request.to_objective;
  // Both desks count an answer that comes within three times its objective.
  job.useful_until = job.objective + (request.age + request.to_objective) *
                                         (kUsefulLateness - 1);
  job.limit = clock_.now() + request.to_limit;
  AddTasks(job, request);
  DropIfOver(request.job);
  ScheduleDispatch();
}

void run_home::AddTasks(home_job& job, const run_request& request) {
  for (const task_demand& demand : request.tasks) {
    task_name name{job.key, 0, demand.position};
    auto [found, is_new] = job.tasks.try_emplace(demand.position);
    home_task& task = found->second;
    task.demand = demand;
    if (is_new)
      task.queued_at = clock_.now();
    if (auto end = claims_.TakeEarlyEnd(name)) {
      if (*end == run_end::kDone && demand.maybe_started) {
        job.ran = true;
        OnTaskDone(job, task);
        continue;
      }
    }
    bool waits =
        task.phase == task_phase::kQueued || task.phase == task_phase::kUnclear;
    if (auto found_run = waits ? claims_.Claim(name) : std::nullopt) {
      MarkAdopted(job, task, found_run->upstream);
      task.stopping = found_run->stopping;
      upstream_session* session = upstreams_.Find(task.upstream);
      if (!task.stopping && session) {
        ++metrics_.adopted;
        session->Adopt(name, demand.need);
      }
      continue;
    }
    // The owner will hear of it with the others.
    if (job.IsUnreported(task))
      continue;
    if (task.phase == task_phase::kDone) {
      // Only a job that came again after its end: it runs anew.
      task.phase = task_phase::kQueued;
      task.rejections = 0;
    }
    if (task.phase == task_phase::kQueued && demand.maybe_started) {
      job.ran = true;
      if (!AllSettled())
        task.phase = task_phase::kUnclear;
    }
  }
}

void run_home::MarkAdopted(home_job& job,
                           home_task& task,
                           const upstream_id& upstream) {
  task.phase = task_phase::kOrdered;
  task.upstream = upstream;
  task.ordered_at = clock_.now();
  task.first_ordered_at = task.ordered_at;
  task.adopted = true;
  job.ran = true;
}

void run_home::OnCancel(const instance_id& from, const run_cancel& cancel) {
  auto found = jobs_.find(cancel.job);
  if (found == jobs_.end())
    return;
  home_job& job = found->second;
  // A newer submission of the same key is not meant.
  if (job.owner != from || job.request.submission != cancel.submission)
    return;
  reports_.LogLate(job);
  CancelJob(job);
  DropIfOver(cancel.job);
}

void run_home::CancelJob(home_job& job) {
  job.cancelled = true;
  for (auto& [position, task] : job.tasks) {
    if (task.phase == task_phase::kOrdered) {
      if (!task.stopping)
        ++metrics_.stopped;
      task.stopping = true;
      if (upstream_session* session = upstreams_.Find(task.upstream))
        session->Stop({job.key, 0, position});
    } else if (task.phase != task_phase::kDone) {
      task.phase = task_phase::kDone;
    }
  }
}

void run_home::DropIfOver(const job_key& key) {
  auto found = jobs_.find(key);
  if (found == jobs_.end())
    return;
  bool over = std::ranges::all_of(found->second.tasks, [](const auto& entry) {
    return entry.second.phase == task_phase::kDone;
  });
  if (over)
    jobs_.erase(found);
}

void run_home::OnPeerDown(const instance_id& peer) {
  if (serving_)
    orphaned_at_.try_emplace(peer, clock_.now() + kOrphanTime);
}

void run_home::OnPeerUp(const instance_id& peer) {
  orphaned_at_.erase(peer);
}

home_task* run_home::FindTask(const task_name& task, home_job** job) {
  auto found = jobs_.find(task.job);
  if (found == jobs_.end())
    return nullptr;
  auto entry = found->second.tasks.find(task.position);
  if (entry == found->second.tasks.end())
    return nullptr;
  *job = &found->second;
  return &entry->second;
}

void run_home::OnRunEnded(upstream_session& session,
                          const task_name& name,
                          run_number run,
                          run_end how) {
  home_job* job = nullptr;
  home_task* task = FindTask(name, &job);
  claims_.OnEnded(session.info().id, name, how, task != nullptr);
  bool elsewhere = task && task->phase == task_phase::kOrdered &&
                   task->upstream != session.info().id;
  if (!task || elsewhere || task->phase == task_phase::kDone)
    return;
  bool ordered_here = task->phase == task_phase::kOrdered;
  if (ordered_here && run.value() < task->last_run)
    return;
  task->last_run = std::max(task->last_run, run.value());
  job->ran = true;
  task->answers_lost = session.HasUnansweredCallSince(task->ordered_at);
  if (ordered_here)
    NoteEnd(*job, *task, how);
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
  DropIfOver(name.job);
}

void run_home::NoteEnd(home_job& job, const home_task& task, run_end how) {
  time_point now = clock_.now();
  if (how == run_end::kFailed)
    upstreams_.Standing(task.upstream).OnFailed(now, job.key);
  if (how != run_end::kDone || task.adopted)
    return;
  duration took = now - task.ordered_at;
  NoteLatency(metrics_.run_time, job.request.queue, took, now);
  run_times_.OnDone(job, task, took, now);
}

void run_home::OnTaskDone(home_job& job, home_task& task) {
  task.phase = task_phase::kDone;
  task.ended_at = clock_.now();
  if (!job.cancelled)
    reports_.Report(job, task, task_verdict::kDone);
}

void run_home::OnTaskFailed(home_job& job, home_task& task) {
  task.failures.push_back({task.upstream, task.last_run});
  task.avoid = task.upstream;
  if (std::ssize(task.failures) < job.request.max_attempts) {
    Requeue(job, task);
    return;
  }
  reports_.LogFailed(job, task);
  task.phase = task_phase::kDone;
  if (!job.cancelled)
    reports_.Report(job, task, task_verdict::kFailed);
}

void run_home::Requeue(home_job& job, home_task& task) {
  task.stopping = false;
  task.phase = job.cancelled ? task_phase::kDone : task_phase::kQueued;
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
  // It had said that it would go.
  if (session.info().draining)
    return;
  crashes_.OnUpstreamLost(clock_.now(), loss, upstreams_.sessions().size());
  TellCrashes();
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
  TellCrashes();
  ScheduleDispatch();
}

void run_home::OnReborn(upstream_session& session) {
  upstreams_.ForgetStanding(session.info().id);
}

void run_home::TellCrashes() {
  crash_news news = crashes_.TakeNews();
  if (!news.empty() && tell_crashes_)
    tell_crashes_(news);
}

void run_home::TakeCrashNews(const crash_news& news) {
  crashes_.Take(news, clock_.now());
}

// A further start of the task might take down a further upstream.
void run_home::GiveUp(home_job& job, const home_task& task) {
  ++metrics_.given_up;
  task_name name{job.key, 0, task.demand.position};
  reports_.LogHeld(name, crashes_.LossesOf(name));
  HandBack(job, run_refusal::kUpstreamsLost,
           crashes_.HeldFor(name, clock_.now()));
}

void run_home::OnNotStarted(upstream_session& session,
                            const task_name& name,
                            run_number run,
                            start_result why) {
  ++metrics_.refused_starts[why];
  home_job* job = nullptr;
  home_task* task = FindTask(name, &job);
  bool current = task && task->phase == task_phase::kOrdered &&
                 task->upstream == session.info().id &&
                 task->last_run == run.value();
  if (!current)
    return;
  LogEvent(log_level::kInfo, "start_refused",
           {{"job", name.job.str()},
            {"task", name.position.index},
            {"run", run.value()},
            {"upstream", session.info().id.str()},
            {"result", ToString(why)}});
  if (why == start_result::kOwnerGone)
    job->owner_gone = true;
  if (why == start_result::kNotAccepted) {
    ++task->rejections;
    task->avoid = session.info().id;
  }
  Requeue(*job, *task);
  DropIfOver(name.job);
}

void run_home::OnFound(upstream_session& session,
                       const task_name& name,
                       run_number run) {
  home_job* job = nullptr;
  home_task* task = FindTask(name, &job);
  bool waits = task && (task->phase == task_phase::kUnclear ||
                        task->phase == task_phase::kQueued);
  if (waits && !job->cancelled) {
    MarkAdopted(*job, *task, session.info().id);
    task->last_run = std::max(task->last_run, run.value());
    ++metrics_.adopted;
    session.Adopt(name, task->demand.need);
    return;
  }
  claims_.OnFound(session, name, task != nullptr);
}

void run_home::OnCapacityChanged(upstream_session&) {
  QueueUnclear();
  ScheduleDispatch();
}

void run_home::OnFenced(upstream_session& session) {
  LogEvent(log_level::kWarning, "fenced",
           {{"upstream", session.info().id.str()}, {"token", token_.value()}});
  on_fenced_();
}

// A home that has just begun may not know all upstreams: without a list from
// the store it waits until leases given by its predecessor have run out.
bool run_home::AllSettled() const {
  bool all_known = confirmed_ || clock_.now() - begun_ >= kUnconfirmedTime;
  return all_known && upstreams_.AllSettled();
}

void run_home::QueueUnclear() {
  if (!AllSettled())
    return;
  for (auto& [key, job] : jobs_) {
    for (auto& [position, task] : job.tasks) {
      if (task.phase != task_phase::kUnclear)
        continue;
      task.phase = task_phase::kQueued;
      if (crashes_.OnSuspectVanished({key, 0, position}, clock_.now()))
        TellCrashes();
    }
  }
}

// From a timer, so that one answer's many events lead to one pass.
void run_home::ScheduleDispatch() {
  if (dispatch_due_ || !serving_)
    return;
  dispatch_due_ = true;
  dispatch_timer_.StartAfter(duration::zero(), [this] {
    dispatch_due_ = false;
    Dispatch();
  });
}

void run_home::Dispatch() {
  std::vector<waiting_job> in_order = WaitingInOrder();
  if (!in_order.empty())
    placer_.Refresh();
  for (const waiting_job& waiting : in_order) {
    home_job& job = *waiting.job;
    start_permit permit = gate_.Permit(!job.IsUntouched(), clock_.now());
    if (permit == start_permit::kHandBack)
      HandBack(job, run_refusal::kDrained, kLeastRetryAfter);
    if (permit != start_permit::kStart || !CanStart(job))
      continue;
    if (const home_task* held = HeldTask(job)) {
      GiveUp(job, *held);
      continue;
    }
    if (job.request.may_pass && job.IsUntouched() && !placer_.HasPlacesFor(job))
      PassOn(job);
    else if (job.IsRejected(kMostRejections) ||
             (!PlaceTasks(job) && job.IsRejected(1)))
      HandBack(job, run_refusal::kNotAccepted, kLeastRetryAfter);
  }
  DropCancelled();
}

// Failure domains are uneven at any moment, more so when one has lost
// upstreams: what waits in one could start at once in another.
void run_home::PassOn(home_job& job) {
  reports_.SendRefusal(job, run_refusal::kBusy, duration::zero());
  CancelJob(job);
}

// Its owner sends it elsewhere, or answers at once if parts of it have run
// here.
void run_home::HandBack(home_job& job,
                        run_refusal reason,
                        duration retry_after) {
  Refuse(job, reason, std::max(retry_after, kLeastRetryAfter));
  CancelJob(job);
}

std::vector<waiting_job> run_home::WaitingInOrder() {
  std::vector<waiting_job> waiting;
  for (auto& [key, job] : jobs_) {
    double work = job.cancelled ? 0 : job.WaitingWork();
    if (work <= 0)
      continue;
    job_outlook outlook = job.Outlook();
    waiting.push_back({RankJob(outlook, clock_.now()), outlook, work, &job});
  }
  std::ranges::sort(waiting, {}, &waiting_job::rank);
  return waiting;
}

// True if all waiting tasks found room.
bool run_home::PlaceTasks(home_job& job) {
  for (auto& [position, task] : job.tasks) {
    bool waits = task.phase == task_phase::kQueued &&
                 !claims_.IsFound({job.key, 0, position});
    if (waits && !PlaceTask(job, task))
      return false;
  }
  return true;
}

bool run_home::PlaceTask(home_job& job, home_task& task) {
  bool suspect = SuspicionOf(job, task) != crash_suspicion::kNone;
  upstream_session* session = suspect ? placer_.PlaceAlone(job, task) : nullptr;
  bool alone = session != nullptr;
  if (!alone)
    session = placer_.Place(job, task);
  if (!session)
    return false;
  upstream_standing& standing = upstreams_.Standing(session->info().id);
  if (!standing.good()) {
    standing.OnTrial(clock_.now());
    ++metrics_.trials;
  }
  // It needs less, and keeps the rest from others.
  StartOn(*session, job, task,
          alone ? session->info().capacity : task.demand.need);
  return true;
}

void run_home::StartOn(upstream_session& session,
                       home_job& job,
                       home_task& task,
                       const resource_amount& need) {
  task.phase = task_phase::kOrdered;
  task.stopping = false;
  task.upstream = session.info().id;
  task.ordered_at = clock_.now();
  if (task.last_run == 0)
    task.first_ordered_at = task.ordered_at;
  task.adopted = false;
  NoteLatency(metrics_.room_wait, job.request.queue,
              task.ordered_at - task.queued_at, task.ordered_at);
  ++task.last_run;
  ++metrics_.started;
  std::optional<start_delegate> delegate;
  if (job.request.kept_spec_bytes)
    delegate = start_delegate{job.owner, job.request.submission};
  spec_rate_.Note(clock_.now(), job.request.kept_spec_bytes.value_or(
                                    job.request.spec.size()));
  session.Start({job.key, 0, task.demand.position}, run_number(task.last_run),
                job.request.spec, need, delegate);
}

crash_suspicion run_home::SuspicionOf(const home_job& job,
                                      const home_task& task) const {
  return crashes_.Of({job.key, 0, task.demand.position}, clock_.now());
}

// Null if none is held.
const home_task* run_home::HeldTask(const home_job& job) const {
  auto held = std::ranges::find_if(job.tasks, [&](const auto& entry) {
    return entry.second.phase == task_phase::kQueued &&
           SuspicionOf(job, entry.second) == crash_suspicion::kHeld;
  });
  return held == job.tasks.end() ? nullptr : &held->second;
}

// A job whose owner has to send the starts waits while there is no link to it;
// the owner sends the job again when there is one. Trying nevertheless would
// fail at once and be tried again in each turn of the loop.
bool run_home::CanStart(const home_job& job) const {
  return !job.request.kept_spec_bytes ||
         (!job.owner_gone && !orphaned_at_.contains(job.owner));
}

void run_home::WatchSpecTraffic() {
  if (settings_.link_bytes_per_second <= 0)
    return;
  double share =
      spec_rate_.PerSecond(clock_.now()) / settings_.link_bytes_per_second;
  bool was = owners_start_;
  owners_start_ = share > (was ? kFewSpecShare : kMostSpecShare);
  if (owners_start_ != was)
    LogEvent(log_level::kInfo, "owners_start",
             {{"group", group_.ToString()},
              {"on", owners_start_ ? 1 : 0},
              {"share_of_link", share}});
}

// Ends claims and grace times that ran out, removes upstreams that are gone,
// and refuses jobs that can't be answered in time any more.
void run_home::Sweep() {
  time_point now = clock_.now();
  claims_.Sweep();
  for (auto& [peer, until] : orphaned_at_) {
    if (now < until)
      continue;
    for (auto& [key, job] : jobs_) {
      if (job.owner == peer && !job.cancelled)
        CancelJob(job);
    }
  }
  std::erase_if(orphaned_at_,
                [&](const auto& entry) { return now >= entry.second; });
  upstreams_.Forget(registry_);
  crashes_.Forget(now);
  RefuseHopeless();
  stuck_runs_.Check(jobs_, [this] { return WaitForRoom(); });
  WatchSpecTraffic();
  QueueUnclear();
  ScheduleDispatch();
  sweep_timer_.StartAfter(kSweepInterval, [this] { Sweep(); });
}

// Jobs of which nothing has run are refused as soon as it shows that they can't
// be answered in useful time: the caller can turn elsewhere at once.
void run_home::RefuseHopeless() {
  home_load load;
  load.cores = upstreams_.UsableCores();
  duration delay = answer_times_.Delay();
  std::vector<waiting_job> waiting = WaitingInOrder();
  room_.Look(clock_.now(), {waiting, run_times_.done(), load.cores});
  for (waiting_job& each : waiting) {
    home_job& job = *each.job;
    bool hopeless =
        job.IsUntouched() &&
        IsHopeless(each.outlook, EstimateWait(load) + delay, clock_.now());
    if (!hopeless) {
      load.work_ahead += each.work;
      continue;
    }
    if (upstreams_.CouldEverRun(job))
      Refuse(job, run_refusal::kOverload, room_.RetryAfter(clock_.now(), each));
    else
      Refuse(job, run_refusal::kNoUpstream, kLeastRetryAfter);
    CancelJob(job);
  }
  DropCancelled();
}

void run_home::DropCancelled() {
  std::vector<job_key> over;
  for (const auto& [key, job] : jobs_) {
    if (job.cancelled)
      over.push_back(key);
  }
  for (const job_key& key : over)
    DropIfOver(key);
}

// What a job that comes last would wait.
duration run_home::WaitForRoom() const {
  home_load load;
  load.cores = upstreams_.UsableCores();
  for (const auto& [key, job] : jobs_)
    load.work_ahead += job.cancelled ? 0 : job.WaitingWork();
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
  status.wait = WaitForRoom();
  return status;
}

}  // namespace jasminedyke
