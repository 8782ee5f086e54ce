#include "admin/run_metrics_report.h"

#include <sys/resource.h>

#include "base/process_state.h"
#include "base/signals.h"

namespace jasminedyke {

namespace {

constexpr double kMicrosecondsInSecond = 1e6;

double Seconds(const timeval& time) {
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_usec) / kMicrosecondsInSecond;
}

void WriteIfKnown(prometheus_writer& out,
                  const char* name,
                  const std::optional<uint64_t>& value) {
  if (value)
    out.Gauge(name, static_cast<double>(*value));
}

void WriteDesk(prometheus_writer& out, const job_owner& desk) {
  const job_owner_metrics& metrics = desk.metrics();
  out.Counter("jobs_accepted_total", static_cast<double>(metrics.accepted));
  out.Counter("jobs_left_total", static_cast<double>(metrics.left));
  out.Counter("jobs_moved_total", static_cast<double>(metrics.moved));
  out.Counter("job_cancels_unsent_total",
              static_cast<double>(metrics.cancels_unsent));
  out.Counter("job_stray_reports_total",
              static_cast<double>(metrics.stray_reports));
  out.Gauge("jobs_open", static_cast<double>(desk.open_jobs()));
  for (const auto& [outcome, count] : metrics.outcomes)
    out.Counter("jobs_answered_total", static_cast<double>(count),
                {{"outcome", ToString(outcome)}});
  for (const auto& [reason, count] : metrics.refusals)
    out.Counter("job_refusals_total", static_cast<double>(count),
                {{"reason", ToString(reason)}});
  for (const auto& [queue, values] : metrics.answer_time)
    out.Summary("job_answer_seconds", values, queue.str());
}

void WriteHome(prometheus_writer& out, const run_home& home) {
  const run_home_metrics& metrics = home.metrics();
  home_status status = home.Status();
  out.Gauge("home_serving", status.serving ? 1 : 0);
  out.Gauge("home_settled", status.settled ? 1 : 0);
  out.Gauge("home_token", static_cast<double>(status.token.value()));
  out.Gauge("home_jobs", static_cast<double>(home.jobs()));
  out.Gauge("home_free_cpu_millis",
            static_cast<double>(status.free_cpu_millis));
  out.Gauge("home_total_cpu_millis",
            static_cast<double>(status.total_cpu_millis));
  out.Gauge("home_wait_seconds", ToSeconds(status.wait));
  out.Counter("runs_started_total", static_cast<double>(metrics.started));
  out.Counter("runs_done_total", static_cast<double>(metrics.done));
  out.Counter("runs_failed_total", static_cast<double>(metrics.failed));
  out.Counter("runs_lapsed_total", static_cast<double>(metrics.lapsed));
  out.Counter("runs_stopped_total", static_cast<double>(metrics.stopped));
  out.Counter("runs_adopted_total", static_cast<double>(metrics.adopted));
  for (const auto& [evidence, count] : metrics.stuck)
    out.Counter("runs_stuck_total", static_cast<double>(count),
                {{"evidence", ToString(evidence)}});
  out.Counter("starts_repeated_total",
              static_cast<double>(metrics.repeated_starts));
  out.Counter("upstream_trials_total", static_cast<double>(metrics.trials));
  out.Counter("upstreams_lost_total",
              static_cast<double>(metrics.upstreams_lost));
  out.Counter("jobs_given_up_total", static_cast<double>(metrics.given_up));
  out.Counter("jobs_orphaned_total",
              static_cast<double>(metrics.orphans_cancelled));
  out.Counter("stops_overdue_total",
              static_cast<double>(metrics.overdue_stops));
  for (const auto& [kind, speed] : home.speeds().ByKind()) {
    out.Gauge("upstream_speed", speed.mean, {{"kind", kind}, {"of", "mean"}});
    out.Gauge("upstream_speed", speed.slowest,
              {{"kind", kind}, {"of", "slowest"}});
    out.Gauge("upstream_speed", speed.fastest,
              {{"kind", kind}, {"of", "fastest"}});
  }
  for (const auto& [why, count] : metrics.refused_starts)
    out.Counter("starts_refused_total", static_cast<double>(count),
                {{"reason", ToString(why)}});
  for (const auto& [why, count] : home.refused_jobs())
    out.Counter("home_refusals_total", static_cast<double>(count),
                {{"reason", ToString(why)}});
  for (const auto& [queue, values] : metrics.room_wait)
    out.Summary("task_room_wait_seconds", values, queue.str());
  for (const auto& [queue, values] : metrics.run_time)
    out.Summary("task_run_seconds", values, queue.str());
}

void WriteConfiguration(prometheus_writer& out, const run_cluster& cluster) {
  out.Gauge("config_version",
            static_cast<double>(cluster.routes().version().value()));
  out.Gauge("config_behind_seconds", ToSeconds(cluster.config_behind()));
  const routing_sync_metrics& metrics = cluster.config_traffic();
  out.Counter("config_requests_total", static_cast<double>(metrics.requests));
  out.Counter("config_updates_total", static_cast<double>(metrics.updates));
  out.Counter("config_timeouts_total", static_cast<double>(metrics.timeouts));
  out.Counter("config_busy_total", static_cast<double>(metrics.refusals));
  out.Counter("config_mismatches_total",
              static_cast<double>(metrics.mismatches));
  out.Counter("config_pieces_sent_total", static_cast<double>(metrics.pieces));
  for (const auto& [kind, count] : cluster.config_documents())
    out.Counter("config_documents_total", static_cast<double>(count),
                {{"from", kind.first}, {"newer", kind.second ? "yes" : "no"}});
}

}  // namespace

void WriteRunMetrics(prometheus_writer& out, const run_cluster& cluster) {
  out.Gauge("ready", cluster.ready() ? 1 : 0);
  WriteConfiguration(out, cluster);
  const drained_domains& drained = cluster.drained();
  out.Gauge("drains_known_as_of", static_cast<double>(drained.as_of.value()));
  for (const failure_domain_id& domain : drained.domains)
    out.Gauge("failure_domain_drained", 1, {{"failure_domain", domain.str()}});
  WriteDesk(out, cluster.owner());
  WriteHome(out, cluster.home());
}

void WriteTraffic(prometheus_writer& out, const traffic_meter& traffic) {
  for (const auto& [kind, count] : traffic.counts()) {
    std::initializer_list<metric_label> labels = {
        {"other_side", std::string(kind.other_side)},
        {"message", std::string(kind.message)},
        {"way", ToString(kind.way)}};
    out.Counter("messages_total", static_cast<double>(count.messages), labels);
    out.Counter("bytes_total", static_cast<double>(count.bytes), labels);
  }
}

void WriteServer(prometheus_writer& out,
                 const char* use,
                 const http_server_metrics& metrics) {
  std::initializer_list<metric_label> labels = {{"use", use}};
  out.Gauge("connections_open", static_cast<double>(metrics.open), labels);
  out.Gauge("connections_most", static_cast<double>(metrics.most), labels);
  out.Gauge("request_bytes_held", static_cast<double>(metrics.held_bytes),
            labels);
  out.Counter("accept_failures_total",
              static_cast<double>(metrics.accept_failures), labels);
  const place_metrics& places = metrics.places;
  std::initializer_list<std::pair<const char*, uint64_t>> ends = {
      {"replaced", places.replaced},
      {"turned_away", places.turned_away},
      {"too_slow", places.too_slow}};
  for (const auto& [why, count] : ends)
    out.Counter("connections_closed_total", static_cast<double>(count),
                {{"use", use}, {"why", why}});
  for (const auto& [status, count] : metrics.refused)
    out.Counter("requests_too_large_total", static_cast<double>(count),
                {{"use", use}, {"status", std::to_string(status)}});
}

void WriteLinks(prometheus_writer& out, const peer_mesh& links) {
  out.Gauge("peer_bytes_held", static_cast<double>(links.held_bytes()));
  out.Gauge("peer_bytes_most", static_cast<double>(links.limits().max_held));
  for (const auto& [cause, count] : links.ends())
    out.Counter("peer_links_ended_total", static_cast<double>(count),
                {{"cause", ToString(cause)}});
}

void WriteOwnConnections(prometheus_writer& out,
                         size_t peers,
                         uint64_t peer_accept_failures,
                         size_t upstreams) {
  out.Gauge("connections_open", static_cast<double>(peers), {{"use", "peers"}});
  out.Gauge("connections_open", static_cast<double>(upstreams),
            {{"use", "upstreams"}});
  out.Counter("accept_failures_total",
              static_cast<double>(peer_accept_failures), {{"use", "peers"}});
}

void WriteProcessMetrics(prometheus_writer& out) {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  out.Counter("process_cpu_seconds_total",
              Seconds(usage.ru_utime) + Seconds(usage.ru_stime));
  process_state state = ReadProcessState();
  out.Gauge("process_start_time_seconds",
            static_cast<double>(state.started_at));
  out.Gauge("process_peak_resident_bytes",
            static_cast<double>(state.peak_resident_bytes));
  WriteIfKnown(out, "process_resident_bytes", state.resident_bytes);
  WriteIfKnown(out, "process_open_descriptors", state.descriptors);
  WriteIfKnown(out, "process_max_descriptors", state.descriptor_limit);
  for (const signal_count& each : CountedSignals())
    out.Counter("signals_total", static_cast<double>(each.times),
                {{"signal", each.name}});
  reload_counts reloads = CountedReloads();
  out.Counter("reloads_total", static_cast<double>(reloads.all));
  out.Counter("reloads_failed_total", static_cast<double>(reloads.failed));
  out.Counter("log_lines_dropped_total",
              static_cast<double>(DroppedLogLines()));
}

}  // namespace jasminedyke
