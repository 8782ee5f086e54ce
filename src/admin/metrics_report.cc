#include "admin/metrics_report.h"

#include <initializer_list>
#include <set>
#include <sstream>
#include <utility>

#include "admin/prometheus_writer.h"
#include "admin/run_metrics_report.h"
#include "base/process_state.h"

namespace jasminedyke {

namespace {

void WriteDispatch(prometheus_writer& out, const dispatch_metrics& metrics) {
  out.Counter("jobs_admitted_total", metrics.jobs_admitted);
  out.Counter("jobs_complete_total", metrics.jobs_complete);
  out.Counter("first_attempts_total", metrics.first_attempts);
  out.Counter("answers_total", metrics.answers);
  out.Counter("repeats_total", metrics.repeats);
  out.Counter("retry_budget_spent_total", metrics.retry_budget_spent);
  for (const auto& [reason, count] : metrics.refusals)
    out.Counter("refusals_total", count, {{"reason", ToString(reason)}});
  for (const auto& [reason, count] : metrics.failures)
    out.Counter("job_failures_total", count, {{"reason", ToString(reason)}});
  for (const auto& [reason, count] : metrics.retries)
    out.Counter("retries_total", count, {{"reason", ToString(reason)}});
  for (const auto& [reason, count] : metrics.unknown_outcomes)
    out.Counter("unknown_outcomes_total", count,
                {{"reason", ToString(reason)}});
  for (const auto& [kind, count] : metrics.wasted)
    out.Counter("wasted_messages_total", count, {{"kind", ToString(kind)}});
}

void WriteTimes(prometheus_writer& out, const dispatch_metrics& metrics) {
  for (const auto& [id, times] : metrics.times) {
    const std::string& work_class = id.str();
    auto quantile = [&](const char* which, double ms, double over) {
      out.Gauge("response_ms", ms,
                {{"class", work_class}, {"quantile", which}});
      out.Gauge("response_over_target", over,
                {{"class", work_class}, {"quantile", which}});
    };
    quantile("0.5", times.response_ms.median(), times.over_target.median());
    quantile("0.9", times.response_ms.p90(), times.over_target.p90());
    quantile("0.99", times.response_ms.p99(), times.over_target.p99());
    out.Counter("class_jobs_complete_total", times.complete,
                {{"class", work_class}});
    out.Counter("class_jobs_within_target_total", times.within_target,
                {{"class", work_class}});
  }
}

void WritePeers(prometheus_writer& out, const instance_view& view) {
  const peer_traffic& traffic = view.peers.traffic();
  out.Gauge("peers_up", view.peers.peers_up().size());
  out.Counter("peer_control_bytes_total", traffic.control_bytes_in,
              {{"direction", "in"}});
  out.Counter("peer_control_bytes_total", traffic.control_bytes_out,
              {{"direction", "out"}});
  out.Counter("peer_forwarded_bytes_total", traffic.forwarded_bytes_in,
              {{"direction", "in"}});
  out.Counter("peer_forwarded_bytes_total", traffic.forwarded_bytes_out,
              {{"direction", "out"}});
  out.Counter("peer_messages_total", traffic.messages_in,
              {{"direction", "in"}});
  out.Counter("peer_messages_total", traffic.messages_out,
              {{"direction", "out"}});
  WriteLinks(out, view.peers);
}

// `process_peak_memory_bytes` is the name that older dashboards have.
void WriteProcess(prometheus_writer& out) {
  out.Gauge("process_peak_memory_bytes",
            static_cast<double>(ReadProcessState().peak_resident_bytes));
  WriteProcessMetrics(out);
}

}  // namespace

std::string MakeMetricsReport(const instance_view& view, bool ready) {
  prometheus_writer out;
  out.Gauge("ready", ready ? 1 : 0);
  out.Gauge("configuration_version", view.config.version().value());
  out.Gauge("membership_version", view.membership.view().version().value());
  out.Gauge("jobs", view.jobs.jobs());
  out.Gauge("waiting_tasks", view.jobs.waiting_tasks());
  out.Gauge("running_tasks", view.jobs.attempts_in_flight());
  out.Gauge("queued_payload_bytes", view.jobs.queued_bytes());
  out.Gauge("is_home", view.home_side.active() ? 1 : 0);
  out.Gauge("without_home", view.slots.in_fallback() ? 1 : 0);
  for (const auto& [reason, count] : view.callers.refusals())
    out.Counter("caller_refusals_total", count, {{"reason", reason}});
  WriteDispatch(out, view.jobs.metrics());
  WriteTimes(out, view.jobs.metrics());
  WritePeers(out, view);
  out.Counter("usage_batches_total", view.usage.batches_written());
  out.Counter("usage_write_conflicts_total", view.usage.write_conflicts());
  WriteProcess(out);
  return out.Text();
}

}  // namespace jasminedyke
