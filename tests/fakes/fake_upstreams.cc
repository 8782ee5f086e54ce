#include "fakes/fake_upstreams.h"

namespace jasminedyke {

namespace {

constexpr duration kCallTimeout = std::chrono::milliseconds(300);
constexpr duration kLook = std::chrono::milliseconds(1);
constexpr int64_t kLongestLeaseMs = 1000;
// From the start of a task that crashes its upstream until it does.
constexpr duration kCrashTime = std::chrono::milliseconds(20);
constexpr duration kStopTime = std::chrono::milliseconds(20);
constexpr duration kHangTime = std::chrono::hours(24);

}  // namespace

upstream_time fake_upstream::Clock() const {
  auto passed = std::chrono::duration_cast<std::chrono::milliseconds>(
      clock_.now() - born_);
  return {1'000'000 + static_cast<int64_t>(static_cast<double>(passed.count()) *
                                           clock_rate)};
}

void fake_upstream::End(const task_name& task, run_end how) {
  run_number number = running.at(task).number;
  refused_up_to[task] = std::max(refused_up_to[task], number);
  running.erase(task);
  ended.push_back({++last_end_, task, number, how});
}

void fake_upstream::Lease(upstream_time until) {
  lease_end =
      std::max(lease_end,
               upstream_time{std::min(until.ms, Clock().ms + kLongestLeaseMs)});
}

void fake_upstream::Settle() {
  bool lapsed = Clock() > lease_end;
  std::vector<std::pair<task_name, run_end>> over;
  for (const auto& [task, each] : running) {
    if (each.ends <= clock_.now())
      over.emplace_back(task, each.how);
    else if (lapsed)
      over.emplace_back(task, run_end::kLapsed);
  }
  for (const auto& [task, how] : over)
    End(task, how);
}

start_reply fake_upstream::Start(const run_order& order) {
  Settle();
  start_reply reply{start_result::kStarted, Clock()};
  if (gone)
    return {start_result::kGone, std::nullopt};
  if (unwell)
    return {start_result::kUnwell, Clock()};
  if (rejects)
    return {start_result::kNotAccepted, Clock()};
  if (order.token < highest_token)
    return {start_result::kFenced, Clock()};
  highest_token = order.token;
  if (Clock() > order.not_after)
    return {start_result::kLate, Clock()};
  Lease(order.not_after);
  auto here = running.find(order.task);
  if (here != running.end() && here->second.number == order.run)
    return reply;
  if (here != running.end() || order.run <= refused_up_to[order.task])
    return {start_result::kOldRun, Clock()};
  resource_amount used;
  for (const auto& [task, each] : running)
    used += each.need;
  // The tests' specs say the processor need.
  resource_amount need{std::stoll(order.spec), 0, 0};
  if (guarded && !need.Fits(capacity - used))
    return {start_result::kNoRoom, Clock()};
  auto [length, how] = plan
                           ? plan(order.task)
                           : std::pair<duration, run_end>(
                                 std::chrono::milliseconds(50), run_end::kDone);
  bool hung = hangs && hangs(order.task);
  duration takes = hung ? kHangTime : FromSeconds(ToSeconds(length) / speed);
  running[order.task] = {order.run, need,         clock_.now() + takes,
                         how,       clock_.now(), hung};
  ++starts[order.task];
  if (crashes && crashes(order.task)) {
    clock_.CallAfter(kCrashTime, [this] {
      if (down)
        return;
      down = true;
      running.clear();
      if (on_crash)
        on_crash();
    });
  }
  return reply;
}

call_result fake_upstream::Stop(const stop_order& order) {
  Settle();
  if (gone)
    return call_result::kGone;
  if (order.token < highest_token)
    return call_result::kFenced;
  highest_token = order.token;
  refused_up_to[order.task] = std::max(refused_up_to[order.task], order.run);
  auto here = running.find(order.task);
  if (here != running.end() && here->second.number <= order.run) {
    here->second.ends = std::min(here->second.ends, clock_.now() + kStopTime);
    here->second.how = run_end::kStopped;
  }
  return call_result::kOk;
}

hold_reply fake_upstream::Hold(const hold_order& order) {
  Settle();
  hold_reply reply;
  reply.result = call_result::kOk;
  if (gone)
    reply.result = call_result::kGone;
  else if (order.token < highest_token)
    reply.result = call_result::kFenced;
  if (reply.result != call_result::kOk)
    return reply;
  highest_token = order.token;
  if (order.lease_until)
    Lease(*order.lease_until);
  std::erase_if(ended, [&](const listed_end& end) {
    return end.sequence <= order.acknowledged;
  });
  reply.clock = Clock();
  for (const auto& [task, each] : running) {
    std::optional<int> percent;
    if (lists_progress)
      percent = each.hangs
                    ? 0
                    : static_cast<int>(100 * (clock_.now() - each.began) /
                                       (each.ends - each.began));
    reply.running.push_back({task, each.number, percent});
  }
  reply.ended = ended;
  if (birth != upstream_birth())
    reply.birth = birth;
  return reply;
}

void fake_upstream::Crash() {
  running.clear();
  ended.clear();
  gone = true;
}

void fake_upstream::Rebirth(upstream_birth next) {
  running.clear();
  ended.clear();
  refused_up_to.clear();
  highest_token = fencing_token();
  lease_end = upstream_time();
  born_ = clock_.now();
  last_end_ = 0;
  birth = next;
  ++lives;
}

fake_upstream& fake_fleet::Add(const std::string& id,
                               const std::string& domain) {
  auto upstream = std::make_unique<fake_upstream>(clock);
  upstream_info info;
  info.id = upstream_id(id);
  info.address = "127.0.0.1:1";
  info.service = service_id("parts");
  info.failure_domain = failure_domain_id(domain);
  info.capacity = upstream->capacity;
  registry[info.id] = info;
  return *(upstreams[info.id] = std::move(upstream));
}

bool fake_fleet::AnyTaskRunsTwice() {
  std::set<task_name> seen;
  for (auto& [id, upstream] : upstreams) {
    upstream->Settle();
    for (const auto& [task, run] : upstream->running) {
      if (!seen.insert(task).second)
        return true;
    }
  }
  return false;
}

template <class Reply>
void fake_upstream_port::Call(const upstream_id& id,
                              call_fate fate,
                              duration timeout,
                              std::function<Reply(fake_upstream&)> act,
                              Reply unanswered,
                              std::function<void(const Reply&)> done) {
  // Timers of a process that is gone still fire in tests.
  if (dead_)
    return;
  uint64_t generation = generations_[id];
  auto answer = [this, id, generation, done](const Reply& reply) {
    if (!dead_ && generations_[id] == generation)
      done(reply);
  };
  duration way =
      fate == call_fate::kDelayed ? fleet_.late : fleet_.way + fleet_.detour();
  if (fate != call_fate::kRequestLost) {
    fleet_.clock.CallAfter(way, [this, id, act, answer, fate] {
      Reply reply = act(*fleet_.upstreams.at(id));
      if (fate == call_fate::kAnswered)
        fleet_.clock.CallAfter(fleet_.way + fleet_.detour(),
                               [answer, reply] { answer(reply); });
    });
  }
  if (fate != call_fate::kAnswered)
    fleet_.clock.CallAfter(timeout,
                           [answer, unanswered] { answer(unanswered); });
}

void fake_upstream_port::Start(const upstream_id& id,
                               const run_order& order,
                               start_callback done) {
  call_fate fate = fleet_.loses_starts ? call_fate::kRequestLost : Fate(id);
  Call<start_reply>(
      id, fate, kCallTimeout,
      [order](fake_upstream& u) { return u.Start(order); },
      {start_result::kUnknown, std::nullopt},
      ToProcess<start_reply>(std::move(done)));
}

void fake_upstream_port::Stop(const upstream_id& id,
                              const stop_order& order,
                              stop_callback done) {
  call_fate fate = lose_stops() ? call_fate::kRequestLost : Fate(id);
  Call<call_result>(
      id, fate, order.reply_timeout,
      [order](fake_upstream& u) { return u.Stop(order); },
      call_result::kUnknown, ToProcess<call_result>(std::move(done)));
}

void fake_upstream_port::Hold(const upstream_id& id,
                              const hold_order& order,
                              hold_callback on_reply) {
  hold_callback done = ToProcess<hold_reply>(std::move(on_reply));
  time_point until = fleet_.clock.now() + order.wait;
  uint64_t generation = generations_[id];
  Call<hold_reply>(
      id, Fate(id), order.wait + order.reply_timeout,
      [order](fake_upstream& u) { return u.Hold(order); },
      hold_reply{call_result::kUnknown, {}, {}, {}},
      [this, id, order, until, generation, done](const hold_reply& reply) {
        bool waits = reply.result == call_result::kOk && reply.ended.empty() &&
                     fleet_.clock.now() < until;
        if (waits)
          WaitForEnd(id, order, until, generation,
                     fleet_.upstreams.at(id)->lives, done);
        else
          done(reply);
      });
}

// Looks again and again until there is an end or the time is over.
void fake_upstream_port::WaitForEnd(
    const upstream_id& id,
    const hold_order& order,
    time_point until,
    uint64_t generation,
    int life,
    const std::function<void(const hold_reply&)>& done) {
  fleet_.clock.CallAfter(kLook, [this, id, order, until, generation, life,
                                 done] {
    if (dead_ || generations_[id] != generation)
      return;
    // Its connection broke.
    if (fleet_.upstreams.at(id)->lives != life) {
      done(hold_reply());
      return;
    }
    hold_order look = order;
    look.lease_until.reset();
    hold_reply reply = fleet_.upstreams.at(id)->Hold(look);
    bool over = reply.result != call_result::kOk || !reply.ended.empty() ||
                fleet_.clock.now() >= until;
    if (!over) {
      WaitForEnd(id, order, until, generation, life, done);
      return;
    }
    // A link that was cut meanwhile carries no answer either.
    bool arrives = Fate(id) == call_fate::kAnswered;
    if (arrives)
      fleet_.clock.CallAfter(fleet_.detour(),
                             [this, id, generation, done, reply] {
                               if (!dead_ && generations_[id] == generation)
                                 done(reply);
                             });
    else
      fleet_.clock.CallAfter(order.reply_timeout, [this, id, generation, done] {
        if (!dead_ && generations_[id] == generation)
          done(hold_reply());
      });
  });
}

}  // namespace jasminedyke
