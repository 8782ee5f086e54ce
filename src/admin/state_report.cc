#include "admin/state_report.h"

namespace jasminedyke {

namespace {

using nlohmann::json;

const char* ToString(health_verdict verdict) {
  switch (verdict) {
    case health_verdict::kFit:
      return "fit";
    case health_verdict::kQuarantined:
      return "quarantined";
    case health_verdict::kOnTrial:
      return "on_trial";
  }
  return "fit";
}

// Milliseconds, or null if it never happened.
json Age(duration age) {
  if (age == duration::max())
    return nullptr;
  return age / std::chrono::milliseconds(1);
}

json UpstreamsReport(const instance_view& view) {
  json rows = json::array();
  time_point now = view.clock.now();
  for (const auto& [id, state] : view.upstreams.all()) {
    bool leaving = state.info.state == instance_state::kLeaving ||
                   now < state.leaving_until;
    // The home has the whole failure domain's experience.
    const upstream_health& health = view.home_side.active()
                                        ? view.home_side.health()
                                        : view.upstreams.health();
    json row = {{"id", id.str()},
                {"failure_domain", state.info.failure_domain.str()},
                {"rack", state.info.rack},
                {"state", leaving ? "leaving" : "live"},
                {"verdict", ToString(health.verdict(id, now))},
                {"slowness", health.slowness(id, now)},
                {"slots", state.info.slots},
                {"in_flight", state.in_flight}};
    if (view.home_side.active())
      row["granted"] = view.home_side.held(id);
    rows.push_back(row);
  }
  return rows;
}

json ClassesReport(const instance_view& view) {
  json rows = json::array();
  for (const auto& [id, settings] : view.config.settings().classes) {
    json row = {{"class", id.str()},
                {"target_ms", ToMilliseconds(settings.target)}};
    auto found = view.jobs.metrics().times.find(id);
    if (found != view.jobs.metrics().times.end()) {
      const class_times& times = found->second;
      row["median_ms"] = times.response_ms.median();
      row["p99_ms"] = times.response_ms.p99();
      row["complete"] = times.complete;
      row["within_target"] = times.within_target;
    }
    rows.push_back(row);
  }
  return rows;
}

json PeersReport(const instance_view& view) {
  json rows = json::array();
  for (const instance_id& peer : view.peers.peers_up())
    rows.push_back(
        {{"id", peer.str()}, {"leaving", view.documents.IsLeaving(peer)}});
  return rows;
}

json VersionsReport(const instance_view& view) {
  in_force_count count = view.documents.CountInForce(view.config.version());
  return {{"configuration", view.config.version().value()},
          {"in_force", count.in_force},
          {"instances", count.live},
          {"configuration_age_ms", Age(view.config.platform_silence())},
          {"membership", view.membership.view().version().value()},
          {"membership_age_ms", Age(view.membership.platform_silence())}};
}

std::string Escape(const std::string& text) {
  std::string escaped;
  for (char c : text) {
    switch (c) {
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '&':
        escaped += "&amp;";
        break;
      case '"':
        escaped += "&quot;";
        break;
      default:
        escaped += c;
    }
  }
  return escaped;
}

std::string Cell(const json& value) {
  return Escape(value.is_string() ? value.get<std::string>() : value.dump());
}

// An array of objects: its columns are the fields of the first one.
std::string Table(const json& rows) {
  if (rows.empty())
    return "<p>none</p>\n";
  std::string html = "<table><tr>";
  for (const auto& [name, value] : rows.front().items())
    html += "<th>" + Escape(name) + "</th>";
  html += "</tr>\n";
  for (const json& row : rows) {
    html += "<tr>";
    for (const auto& [name, value] : rows.front().items())
      html += "<td>" + (row.contains(name) ? Cell(row[name]) : "") + "</td>";
    html += "</tr>\n";
  }
  return html + "</table>\n";
}

std::string List(const json& object) {
  std::string html = "<table>\n";
  for (const auto& [name, value] : object.items())
    html +=
        "<tr><th>" + Escape(name) + "</th><td>" + Cell(value) + "</td></tr>\n";
  return html + "</table>\n";
}

}  // namespace

json MakeStateReport(const instance_view& view,
                     const readiness& not_ready_because) {
  json state;
  state["instance"] = {{"id", view.self.instance.str()},
                       {"incarnation", view.self.incarnation.str()},
                       {"failure_domain", view.self.failure_domain.str()}};
  state["ready"] = not_ready_because.empty();
  state["not_ready_because"] = not_ready_because;
  state["versions"] = VersionsReport(view);
  state["queue"] = {
      {"jobs", view.jobs.jobs()},
      {"waiting_tasks", view.jobs.waiting_tasks()},
      {"running_tasks", view.jobs.attempts_in_flight()},
      {"payload_bytes", view.jobs.queued_bytes()},
      {"domain_waiting_tasks", view.slots.work_in_domain().waiting},
      {"remembered_jobs", view.registry.remembered()},
      {"forwarded_requests", view.remote.pending()}};
  state["slots"] = {{"home", view.homes.home().str()},
                    {"is_home", view.home_side.active()},
                    {"without_home", view.slots.in_fallback()}};
  if (view.home_side.active()) {
    state["slots"]["granted"] = view.home_side.held();
    state["slots"]["free"] = view.home_side.free_slots();
  }
  state["usage"] = {{"batches", view.usage.batches_written()},
                    {"teams_unflushed", view.usage.unflushed().size()}};
  state["classes"] = ClassesReport(view);
  state["peers"] = PeersReport(view);
  state["upstreams"] = UpstreamsReport(view);
  return state;
}

std::string MakeStatusPage(const json& state) {
  std::string id = state["instance"]["id"].get<std::string>();
  std::string html =
      "<!doctype html>\n<html><head><meta charset=\"utf-8\">"
      "<meta http-equiv=\"refresh\" content=\"5\"><title>" +
      Escape(id) +
      "</title><style>body{font-family:sans-serif;margin:2em}"
      "table{border-collapse:collapse;margin-bottom:1em}"
      "td,th{border:1px solid #ccc;padding:2px 8px;text-align:left}"
      "</style></head><body>\n<h1>" +
      Escape(id) + "</h1>\n";
  html += state["ready"].get<bool>()
              ? "<p>ready</p>\n"
              : "<p>not ready: " + Cell(state["not_ready_because"]) + "</p>\n";
  for (const char* part : {"instance", "versions", "queue", "slots", "usage"})
    html += "<h2>" + std::string(part) + "</h2>\n" + List(state[part]);
  for (const char* part : {"classes", "peers", "upstreams"})
    html += "<h2>" + std::string(part) + "</h2>\n" + Table(state[part]);
  return html + "</body></html>\n";
}

}  // namespace jasminedyke
