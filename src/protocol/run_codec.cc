#include "protocol/run_codec.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include <peer_types.h>

namespace jasminedyke {

namespace {

// In one, on the wire.
constexpr double kThousandths = 1000;
// That an older release may count for one task.
constexpr int32_t kMostToldLosses = 8;

int32_t ToInt32(int64_t value) {
  return static_cast<int32_t>(
      std::clamp<int64_t>(value, 0, std::numeric_limits<int32_t>::max()));
}

wire::amount ToWire(const resource_amount& amount) {
  wire::amount wire;
  wire.cpu_millis = amount.cpu_millis;
  if (amount.memory_mb != 0)
    wire.__set_memory_mb(amount.memory_mb);
  if (amount.accelerators != 0)
    wire.__set_accelerators(amount.accelerators);
  return wire;
}

resource_amount FromWire(const wire::amount& wire) {
  return {wire.cpu_millis, wire.memory_mb, wire.accelerators};
}

wire::upstream_incarnation ToWire(const upstream_incarnation& upstream) {
  wire::upstream_incarnation wire;
  wire.id = upstream.id.str();
  if (upstream.birth != upstream_birth())
    wire.__set_birth(static_cast<int64_t>(upstream.birth.value()));
  return wire;
}

upstream_incarnation FromWire(const wire::upstream_incarnation& wire) {
  return {upstream_id(wire.id),
          upstream_birth(static_cast<uint64_t>(wire.birth))};
}

bool SameGroup(const wire::task_group& group, const task_demand& task) {
  return group.step == static_cast<int32_t>(task.position.step) &&
         FromWire(group.need) == task.need &&
         group.estimate_us == ToInt32(task.estimate.count()) &&
         group.maybe_started == task.maybe_started &&
         group.rack == task.rack.str() &&
         group.required_label == task.required_label &&
         group.max_per_upstream == task.max_per_upstream;
}

}  // namespace

wire::run_request ToWire(const run_request& request) {
  wire::run_request wire;
  wire.job = request.job.str();
  wire.submission = static_cast<int64_t>(request.submission.value());
  wire.queue = request.queue.str();
  wire.upstream_service = request.service.str();
  wire.spec = request.spec;
  wire.to_objective_us = request.to_objective.count();
  wire.to_limit_us = request.to_limit.count();
  wire.age_us = request.age.count();
  wire.max_attempts = request.max_attempts;
  if (request.priority != 0)
    wire.__set_priority(request.priority);
  if (request.may_pass)
    wire.__set_may_pass(true);
  if (request.has_place)
    wire.__set_has_place(true);
  wire.__set_sending(static_cast<int32_t>(request.sending));
  if (request.kept_spec_bytes)
    wire.__set_kept_spec_bytes(ToInt32(*request.kept_spec_bytes));
  for (const task_demand& task : request.tasks) {
    if (wire.tasks.empty() || !SameGroup(wire.tasks.back(), task)) {
      wire::task_group group;
      group.step = static_cast<int32_t>(task.position.step);
      group.need = ToWire(task.need);
      group.estimate_us = ToInt32(task.estimate.count());
      if (task.maybe_started)
        group.__set_maybe_started(true);
      if (!task.rack.empty())
        group.__set_rack(task.rack.str());
      if (!task.required_label.empty())
        group.__set_required_label(task.required_label);
      if (task.max_per_upstream != 0)
        group.__set_max_per_upstream(task.max_per_upstream);
      wire.tasks.push_back(group);
    }
    wire.tasks.back().indexes.push_back(
        static_cast<int32_t>(task.position.index));
  }
  return wire;
}

run_request FromWire(const wire::run_request& wire) {
  run_request request;
  request.job = job_key(wire.job);
  request.submission = submission_id(static_cast<uint64_t>(wire.submission));
  request.queue = queue_id(wire.queue);
  request.service = service_id(wire.upstream_service);
  request.spec = wire.spec;
  request.to_objective = duration(wire.to_objective_us);
  request.to_limit = duration(wire.to_limit_us);
  request.age = duration(wire.age_us);
  request.max_attempts = wire.max_attempts;
  request.priority = wire.priority;
  request.may_pass = wire.may_pass;
  request.has_place = wire.has_place;
  request.sending = static_cast<uint32_t>(wire.sending);
  if (wire.__isset.kept_spec_bytes)
    request.kept_spec_bytes = static_cast<uint32_t>(wire.kept_spec_bytes);
  for (const wire::task_group& group : wire.tasks) {
    for (int32_t index : group.indexes) {
      task_demand task;
      task.position = {static_cast<uint32_t>(group.step),
                       static_cast<uint32_t>(index)};
      task.need = FromWire(group.need);
      task.estimate = duration(group.estimate_us);
      task.rack = rack_id(group.rack);
      task.required_label = group.required_label;
      task.max_per_upstream = group.max_per_upstream;
      task.maybe_started = group.maybe_started;
      request.tasks.push_back(task);
    }
  }
  return request;
}

wire::run_cancel ToWire(const run_cancel& cancel) {
  wire::run_cancel wire;
  wire.job = cancel.job.str();
  wire.submission = static_cast<int64_t>(cancel.submission.value());
  return wire;
}

run_cancel FromWire(const wire::run_cancel& wire) {
  return {job_key(wire.job),
          submission_id(static_cast<uint64_t>(wire.submission))};
}

wire::run_report ToWire(const run_report& report) {
  wire::run_report wire;
  wire.job = report.job.str();
  wire.submission = static_cast<int64_t>(report.submission.value());
  for (const task_report& task : report.tasks) {
    wire::task_report each;
    each.step = static_cast<int32_t>(task.position.step);
    each.index = static_cast<int32_t>(task.position.index);
    if (task.verdict != task_verdict::kDone)
      each.__set_verdict(static_cast<int8_t>(task.verdict));
    wire.tasks.push_back(each);
  }
  wire.__isset.tasks = !wire.tasks.empty();
  if (report.refusal == run_refusal::kNone)
    return wire;
  wire.__set_refusal(static_cast<int8_t>(report.refusal));
  wire.__set_not_run(report.not_run);
  wire.__set_sending(static_cast<int32_t>(report.sending));
  wire.__set_retry_after_us(report.retry_after.count());
  return wire;
}

run_report FromWire(const wire::run_report& wire) {
  run_report report;
  report.job = job_key(wire.job);
  report.submission = submission_id(static_cast<uint64_t>(wire.submission));
  for (const wire::task_report& task : wire.tasks) {
    bool failed = task.verdict == static_cast<int8_t>(task_verdict::kFailed);
    bool done = task.verdict == static_cast<int8_t>(task_verdict::kDone);
    // Of a newer release; the job's end shows without it.
    if (!failed && !done)
      continue;
    report.tasks.push_back(
        {{static_cast<uint32_t>(task.step), static_cast<uint32_t>(task.index)},
         failed ? task_verdict::kFailed : task_verdict::kDone});
  }
  bool known = wire.refusal >= 0 &&
               wire.refusal <= static_cast<int8_t>(run_refusal::kNotAccepted);
  report.refusal =
      known ? static_cast<run_refusal>(wire.refusal) : run_refusal::kSuperseded;
  report.not_run = wire.not_run;
  report.sending = static_cast<uint32_t>(wire.sending);
  report.retry_after = duration(wire.retry_after_us);
  return report;
}

wire::home_status ToWire(const home_status& status) {
  wire::home_status wire;
  wire.failure_domain = status.group.domain.str();
  wire.group = static_cast<int32_t>(status.group.number);
  wire.token = static_cast<int64_t>(status.token.value());
  wire.serving = status.serving;
  wire.settled = status.settled;
  wire.free_cpu_millis = status.free_cpu_millis;
  wire.total_cpu_millis = status.total_cpu_millis;
  wire.wait_us = status.wait.count();
  if (status.yielding)
    wire.__set_yielding(true);
  if (status.owners_start)
    wire.__set_owners_start(true);
  wire.__set_sent_at_us(status.sent_at.time_since_epoch().count());
  return wire;
}

home_status FromWire(const wire::home_status& wire) {
  home_status status;
  status.group = {failure_domain_id(wire.failure_domain),
                  static_cast<uint32_t>(wire.group)};
  status.token = fencing_token(static_cast<uint64_t>(wire.token));
  status.serving = wire.serving;
  status.settled = wire.settled;
  status.free_cpu_millis = wire.free_cpu_millis;
  status.total_cpu_millis = wire.total_cpu_millis;
  status.wait = duration(wire.wait_us);
  status.yielding = wire.yielding;
  status.owners_start = wire.owners_start;
  status.sent_at = time_point(duration(wire.sent_at_us));
  return status;
}

wire::upstream_news ToWire(const upstream_news& news) {
  wire::upstream_news wire;
  wire.full = news.full;
  if (news.whole)
    wire.__set_whole(true);
  if (news.token.value() > 0)
    wire.__set_token(static_cast<int64_t>(news.token.value()));
  for (const upstream_info& info : news.rows) {
    wire::upstream_row row;
    row.id = info.id.str();
    row.address = info.address;
    row.upstream_service = info.service.str();
    if (!info.rack.empty())
      row.__set_rack(info.rack.str());
    if (!info.labels.empty())
      row.__set_labels({info.labels.begin(), info.labels.end()});
    row.capacity = ToWire(info.capacity);
    if (info.draining)
      row.__set_draining(true);
    if (info.birth != upstream_birth())
      row.__set_birth(static_cast<int64_t>(info.birth.value()));
    wire.rows.push_back(row);
  }
  std::vector<std::string> gone;
  for (const upstream_id& id : news.gone)
    gone.push_back(id.str());
  if (!gone.empty())
    wire.__set_gone(gone);
  return wire;
}

upstream_news FromWire(const wire::upstream_news& wire) {
  upstream_news news;
  news.full = wire.full;
  news.whole = wire.whole;
  news.token = fencing_token(static_cast<uint64_t>(wire.token));
  for (const wire::upstream_row& row : wire.rows) {
    upstream_info info;
    info.id = upstream_id(row.id);
    info.address = row.address;
    info.service = service_id(row.upstream_service);
    info.rack = rack_id(row.rack);
    info.labels = {row.labels.begin(), row.labels.end()};
    info.capacity = FromWire(row.capacity);
    info.draining = row.draining;
    info.birth = upstream_birth(static_cast<uint64_t>(row.birth));
    news.rows.push_back(info);
  }
  for (const std::string& id : wire.gone)
    news.gone.emplace_back(id);
  return news;
}

wire::delegated_start ToWire(const delegated_start& delegated) {
  const run_order& order = delegated.order;
  wire::delegated_start wire;
  wire.number = static_cast<int64_t>(delegated.number);
  wire.job = order.task.job.str();
  wire.submission = static_cast<int64_t>(delegated.submission.value());
  wire.step = static_cast<int32_t>(order.task.position.step);
  wire.index = static_cast<int32_t>(order.task.position.index);
  wire.run = static_cast<int64_t>(order.run.value());
  wire.upstream = delegated.upstream.str();
  wire.address = order.address;
  wire.token = static_cast<int64_t>(order.token.value());
  wire.not_after_ms = order.not_after.ms;
  return wire;
}

delegated_start FromWire(const wire::delegated_start& wire) {
  delegated_start delegated;
  delegated.number = static_cast<uint64_t>(wire.number);
  delegated.submission = submission_id(static_cast<uint64_t>(wire.submission));
  delegated.upstream = upstream_id(wire.upstream);
  run_order& order = delegated.order;
  order.address = wire.address;
  order.task.job = job_key(wire.job);
  order.task.position = {static_cast<uint32_t>(wire.step),
                         static_cast<uint32_t>(wire.index)};
  order.run = run_number(static_cast<uint64_t>(wire.run));
  order.token = fencing_token(static_cast<uint64_t>(wire.token));
  order.not_after = {wire.not_after_ms};
  return delegated;
}

wire::delegated_start_result ToWire(const delegated_start_result& result) {
  wire::delegated_start_result wire;
  wire.number = static_cast<int64_t>(result.number);
  wire.result = static_cast<int8_t>(result.reply.result);
  if (result.reply.clock)
    wire.__set_clock_ms(result.reply.clock->ms);
  return wire;
}

// A result of a later release is taken for none: it proves nothing.
delegated_start_result FromWire(const wire::delegated_start_result& wire) {
  delegated_start_result result;
  result.number = static_cast<uint64_t>(wire.number);
  bool known = wire.result >= 0 &&
               wire.result <= static_cast<int8_t>(start_result::kUnknown);
  if (known)
    result.reply.result = static_cast<start_result>(wire.result);
  if (wire.__isset.clock_ms)
    result.reply.clock = upstream_time{wire.clock_ms};
  return result;
}

wire::drained_domains ToWire(const drained_domains& drained) {
  wire::drained_domains wire;
  wire.as_of = static_cast<int64_t>(drained.as_of.value());
  std::vector<std::string> domains;
  for (const failure_domain_id& domain : drained.domains)
    domains.push_back(domain.str());
  if (!domains.empty())
    wire.__set_domains(domains);
  return wire;
}

drained_domains FromWire(const wire::drained_domains& wire) {
  drained_domains drained;
  drained.as_of = store_version(static_cast<uint64_t>(wire.as_of));
  for (const std::string& domain : wire.domains)
    drained.domains.emplace(domain);
  return drained;
}

wire::crash_news ToWire(const crash_news& news) {
  wire::crash_news wire;
  for (const crash_suspect& each : news.suspects) {
    wire::crash_suspect suspect;
    suspect.job = each.task.job.str();
    suspect.step = static_cast<int32_t>(each.task.position.step);
    suspect.index = static_cast<int32_t>(each.task.position.index);
    suspect.lost = static_cast<int32_t>(each.losses.size());
    std::vector<wire::task_loss> losses;
    for (const task_loss& loss : each.losses) {
      wire::task_loss told;
      told.upstream = ToWire(loss.upstream);
      told.begun = loss.begun;
      losses.push_back(told);
    }
    suspect.__set_losses(losses);
    wire.suspects.push_back(suspect);
  }
  std::vector<wire::upstream_incarnation> explained;
  for (const upstream_incarnation& upstream : news.explained)
    explained.push_back(ToWire(upstream));
  if (!explained.empty())
    wire.__set_explained(explained);
  return wire;
}

crash_news FromWire(const wire::crash_news& wire) {
  crash_news news;
  for (const wire::crash_suspect& each : wire.suspects) {
    crash_suspect suspect;
    suspect.task = {
        job_key(each.job),
        0,
        {static_cast<uint32_t>(each.step), static_cast<uint32_t>(each.index)}};
    for (const wire::task_loss& loss : each.losses)
      suspect.losses.push_back({FromWire(loss.upstream), loss.begun});
    // An older release counts only.
    if (!each.__isset.losses)
      suspect.losses.resize(
          static_cast<size_t>(std::clamp(each.lost, 0, kMostToldLosses)),
          {{}, true});
    news.suspects.push_back(suspect);
  }
  for (const wire::upstream_incarnation& upstream : wire.explained)
    news.explained.push_back(FromWire(upstream));
  return news;
}

wire::speed_news ToWire(const speed_news& news) {
  wire::speed_news wire;
  for (const upstream_speed& each : news.speeds) {
    wire::upstream_speed speed;
    speed.id = each.id.str();
    speed.thousandths = ToInt32(std::lround(each.speed * kThousandths));
    if (each.birth.value() != 0)
      speed.__set_birth(static_cast<int64_t>(each.birth.value()));
    wire.speeds.push_back(speed);
  }
  return wire;
}

speed_news FromWire(const wire::speed_news& wire) {
  speed_news news;
  for (const wire::upstream_speed& each : wire.speeds) {
    if (each.thousandths <= 0)
      continue;
    news.speeds.push_back({upstream_id(each.id),
                           upstream_birth(static_cast<uint64_t>(each.birth)),
                           each.thousandths / kThousandths});
  }
  return news;
}

}  // namespace jasminedyke
