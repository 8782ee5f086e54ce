#include "admin/admin_api.h"

#include <charconv>
#include <memory>
#include <utility>

#include "admin/metrics_report.h"
#include "admin/state_report.h"
#include "store/store.h"

namespace jasminedyke {

namespace {

using nlohmann::json;

constexpr char kConfigurationPath[] = "/admin/v1/configuration";
constexpr char kStatePath[] = "/admin/v1/state";
constexpr char kUsagePath[] = "/admin/v1/usage";
constexpr char kAdminPrefix[] = "/admin/v1/";
constexpr char kChangeHeader[] = "Jasminedyke-Change";
constexpr duration kInForceWait = std::chrono::seconds(3);
constexpr duration kInForceCheck = std::chrono::milliseconds(20);
constexpr size_t kChangeIdBytes = 12;
constexpr size_t kAuthorDigits = 12;

void ReplyError(const http_exchange_ptr& exchange,
                int status,
                const std::string& reason,
                const std::string& detail,
                run_state run = run_state::kNotRun) {
  error_reply error;
  error.status = status;
  error.reason = reason;
  error.detail = detail;
  error.run = run;
  exchange->Reply(MakeErrorReply(error));
}

void ReplyJson(const http_exchange_ptr& exchange, const json& body) {
  exchange->Reply(MakeJsonReply(200, body.dump(2) + "\n"));
}

http_reply TextReply(int status, const char* type, std::string text) {
  return {status, {{"Content-Type", type}}, std::move(text)};
}

// Accepts 3 and "3".
std::optional<config_version> ParseVersion(std::string text) {
  if (text.size() >= 2 && text.front() == '"' && text.back() == '"')
    text = text.substr(1, text.size() - 2);
  uint64_t version = 0;
  const char* last = text.data() + text.size();
  auto [end, error] = std::from_chars(text.data(), last, version);
  if (error != std::errc() || end != last)
    return std::nullopt;
  return config_version(version);
}

void ReplyWithEtag(const http_exchange_ptr& exchange,
                   config_version version,
                   const json& body) {
  http_reply reply = MakeJsonReply(200, body.dump(2) + "\n");
  reply.headers.emplace_back("ETag",
                             "\"" + std::to_string(version.value()) + "\"");
  exchange->Reply(reply);
}

void ReplyFailure(const http_exchange_ptr& exchange,
                  const change_id& id,
                  const change_failure& failure) {
  std::string detail = failure.what.ToString();
  switch (failure.error) {
    case change_error::kInvalid:
      ReplyError(exchange, 400, "invalid", detail);
      return;
    case change_error::kConflict:
      ReplyError(exchange, 412, "conflict", detail);
      return;
    case change_error::kUnavailable:
      ReplyError(exchange, 503, "platform_unavailable", detail);
      return;
    case change_error::kUnknown:
      ReplyError(exchange, 504, "outcome_unknown",
                 detail + "; ask again with " + kChangeHeader + ": " + id.str(),
                 run_state::kMaybeRun);
      return;
  }
}

// Splits "classes/NAME".
std::optional<std::pair<std::string, std::string>> SplitEntryPath(
    const std::string& path) {
  std::string prefix = kAdminPrefix;
  if (!path.starts_with(prefix))
    return std::nullopt;
  std::string rest = path.substr(prefix.size());
  size_t slash = rest.find('/');
  std::string collection = rest.substr(0, slash);
  if (collection != "classes" && collection != "teams")
    return std::nullopt;
  std::string name =
      slash == std::string::npos ? std::string() : rest.substr(slash + 1);
  return std::pair(collection, name);
}

}  // namespace

admin_api::admin_api(scheduler& clock,
                     const instance_view& view,
                     configuration_store& config,
                     usage_ledger& usage,
                     const token_directory& tokens,
                     std::function<readiness()> not_ready_because)
    : clock_(clock),
      view_(view),
      config_(config),
      usage_(usage),
      tokens_(tokens),
      not_ready_because_(std::move(not_ready_because)) {}

void admin_api::Handle(const http_exchange_ptr& exchange) {
  if (HandleOpenPath(exchange))
    return;
  if (!tokens_.IsAdministrator(exchange->header("Authorization"))) {
    ReplyError(exchange, 401, "unauthorized",
               "no administrator's bearer token was given");
    return;
  }
  const std::string& path = exchange->request().path;
  if (path == kConfigurationPath) {
    HandleConfiguration(exchange);
  } else if (path == kStatePath) {
    ReplyJson(exchange, MakeStateReport(view_, not_ready_because_()));
  } else if (path == kUsagePath) {
    ServeUsage(exchange);
  } else if (auto entry = SplitEntryPath(path)) {
    HandleEntry(exchange, entry->first, entry->second);
  } else {
    ReplyError(exchange, 404, "unknown_path", "there is nothing at this path");
  }
}

bool admin_api::HandleOpenPath(const http_exchange_ptr& exchange) {
  const std::string& path = exchange->request().path;
  if (path == "/healthz") {
    exchange->Reply(TextReply(200, "text/plain", "ok\n"));
    return true;
  }
  if (path == "/readyz") {
    readiness reasons = not_ready_because_();
    json body = {{"ready", reasons.empty()}, {"not_ready_because", reasons}};
    exchange->Reply(
        MakeJsonReply(reasons.empty() ? 200 : 503, body.dump() + "\n"));
    return true;
  }
  if (path == "/metrics") {
    exchange->Reply(
        TextReply(200, "text/plain; version=0.0.4",
                  MakeMetricsReport(view_, not_ready_because_().empty())));
    return true;
  }
  if (path == "/") {
    json state = MakeStateReport(view_, not_ready_because_());
    exchange->Reply(
        TextReply(200, "text/html; charset=utf-8", MakeStatusPage(state)));
    return true;
  }
  return false;
}

void admin_api::HandleConfiguration(const http_exchange_ptr& exchange) {
  const http_request& request = exchange->request();
  if (request.method == http_method::kGet) {
    ReplyWithEtag(exchange, config_.version(), config_.document());
    return;
  }
  if (request.method != http_method::kPut) {
    ReplyError(exchange, 404, "unknown_path",
               "the configuration takes GET and PUT");
    return;
  }
  // Without it, two operators who each put a whole document would undo each
  // other's changes unnoticed.
  if (!exchange->header("If-Match")) {
    ReplyError(exchange, 428, "if_match_missing",
               "a whole configuration needs If-Match with the version that it "
               "is based on");
    return;
  }
  json wanted = ParseJson(request.body);
  if (!wanted.is_object()) {
    ReplyError(exchange, 400, "malformed", "the body is no JSON object");
    return;
  }
  Change(exchange, "configuration",
         [wanted](json& document) -> std::optional<problem> {
           json changes = document.value("changes", json::array());
           document = wanted;
           document["changes"] = changes;
           return std::nullopt;
         });
}

void admin_api::HandleEntry(const http_exchange_ptr& exchange,
                            const std::string& collection,
                            const std::string& name) {
  const http_request& request = exchange->request();
  if (request.method == http_method::kGet) {
    json all = config_.document().value(collection, json::object());
    if (!name.empty() && !all.contains(name)) {
      ReplyError(exchange, 404, "not_found", collection + "." + name);
      return;
    }
    ReplyWithEtag(exchange, config_.version(), name.empty() ? all : all[name]);
    return;
  }
  std::string place = collection + "." + name;
  if (request.method == http_method::kDelete && !name.empty()) {
    Change(exchange, "delete " + place,
           [collection, name, place](json& document) -> std::optional<problem> {
             json& all = document[collection];
             if (!all.is_object() || all.erase(name) == 0)
               return problem{place, "does not exist"};
             return std::nullopt;
           });
    return;
  }
  if (request.method != http_method::kPut || name.empty()) {
    ReplyError(exchange, 404, "unknown_path", "takes GET, PUT and DELETE");
    return;
  }
  json wanted = ParseJson(request.body);
  if (!wanted.is_object()) {
    ReplyError(exchange, 400, "malformed", "the body is no JSON object");
    return;
  }
  Change(exchange, "put " + place,
         [collection, name, wanted](json& document) -> std::optional<problem> {
           json& all = document[collection];
           if (all.is_null())
             all = json::object();
           all[name] = wanted;
           return std::nullopt;
         });
}

void admin_api::ServeUsage(const http_exchange_ptr& exchange) {
  struct collected {
    json teams = json::object();
    size_t outstanding = 0;
    bool failed = false;
  };
  auto all = std::make_shared<collected>();
  const auto& teams = config_.settings().teams;
  all->outstanding = teams.size();
  if (teams.empty())
    ReplyJson(exchange, all->teams);
  for (const auto& [team, settings] : teams) {
    usage_.ReadTotal(team, [exchange, all, team = team](
                               const outcome<team_usage, store_error>& total) {
      all->failed = all->failed || !total.ok();
      if (total.ok())
        all->teams[team.str()] = {{"tasks", total.value().tasks},
                                  {"run_ms", total.value().run_us / 1000}};
      if (--all->outstanding > 0)
        return;
      if (all->failed)
        ReplyError(exchange, 503, "platform_unavailable",
                   "the platform's table service does not answer");
      else
        ReplyJson(exchange, all->teams);
    });
  }
}

void admin_api::Change(const http_exchange_ptr& exchange,
                       const std::string& summary,
                       std::function<std::optional<problem>(json&)> edit) {
  configuration_change change;
  const std::string* wanted_id = exchange->header(kChangeHeader);
  change.id = change_id(wanted_id ? *wanted_id : RandomHex(kChangeIdBytes));
  change.author = Author(exchange);
  change.summary = summary;
  change.edit = std::move(edit);
  if (const std::string* match = exchange->header("If-Match")) {
    change.expected = ParseVersion(*match);
    if (!change.expected) {
      ReplyError(exchange, 400, "malformed", "If-Match: is no version");
      return;
    }
  }
  config_.Change(change, [this, exchange, change](
                             const outcome<config_version, change_failure>& r) {
    LogEvent(r.ok() ? log_level::kInfo : log_level::kWarning,
             "configuration_change",
             {{"id", change.id.str()},
              {"by", change.author},
              {"what", change.summary},
              {"result", r.ok() ? "version " + std::to_string(r.value().value())
                                : r.error().what.ToString()}});
    if (!r.ok())
      ReplyFailure(exchange, change.id, r.error());
    else
      ReplyWhenInForce(exchange, change.id, r.value(),
                       clock_.now() + kInForceWait);
  });
}

void admin_api::ReplyWhenInForce(const http_exchange_ptr& exchange,
                                 const change_id& id,
                                 config_version version,
                                 time_point deadline) {
  in_force_count count = view_.documents.CountInForce(version);
  if (count.in_force < count.live && clock_.now() < deadline) {
    clock_.CallAfter(kInForceCheck, [this, exchange, id, version, deadline] {
      ReplyWhenInForce(exchange, id, version, deadline);
    });
    return;
  }
  ReplyWithEtag(exchange, version,
                {{"version", version.value()},
                 {"in_force", count.in_force},
                 {"instances", count.live},
                 {"change", id.str()}});
}

// Enough of the token's digest to tell administrators apart, and nothing of
// the token.
std::string admin_api::Author(const http_exchange_ptr& exchange) const {
  const std::string* token = exchange->header("Authorization");
  return Sha256Hex(token->substr(sizeof("Bearer ") - 1))
      .substr(0, kAuthorDigits);
}

}  // namespace jasminedyke
