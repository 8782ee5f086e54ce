#include "entry/caller_api.h"

#include <charconv>
#include <optional>
#include <utility>

namespace jasminedyke {

namespace {

constexpr size_t kMaxBody = 16 * 1024 * 1024;
// The configuration comes with the first answer of the store or of a peer.
constexpr duration kConfigurationSoon = std::chrono::seconds(1);
constexpr char kJobsPath[] = "/v1/jobs";
constexpr char kJobPrefix[] = "/v1/jobs/";
constexpr char kMintPath[] = "/v1/job-ids";
constexpr char kRequestPrefix[] = "/v1/requests/";
constexpr char kUsagePath[] = "/v1/usage";
constexpr char kJobHeader[] = "Jasminedyke-Job";
constexpr char kIdempotentHeader[] = "Jasminedyke-Idempotent";
constexpr char kTimeoutHeader[] = "Jasminedyke-Timeout-Ms";

// What follows `prefix` in `path`; nothing if it does not start so.
std::optional<std::string> PathTail(const std::string& path,
                                    const char* prefix) {
  std::string start = prefix;
  if (!path.starts_with(start) || path.size() == start.size())
    return std::nullopt;
  return path.substr(start.size());
}

std::optional<duration> ParseTimeout(const std::string& text) {
  int64_t ms = 0;
  const char* last = text.data() + text.size();
  auto [end, error] = std::from_chars(text.data(), last, ms);
  int64_t longest = kLongestTimeout / std::chrono::milliseconds(1);
  if (error != std::errc() || end != last || ms < 1 || ms > longest)
    return std::nullopt;
  return std::chrono::milliseconds(ms);
}

http_reply LostReply(const std::string& job) {
  error_reply error;
  error.status = 502;
  error.state = "failed";
  error.reason = ToString(failure_reason::kLost);
  error.run = run_state::kMaybeRun;
  error.job = job;
  error.detail = "the instance that owned the job is gone";
  return MakeErrorReply(error);
}

http_reply UnreachableReply(const std::string& job) {
  error_reply error;
  error.status = 503;
  error.reason = "owner_unreachable";
  error.run = run_state::kMaybeRun;
  error.job = job;
  error.detail = "the instance that owns the job can't be reached now";
  error.retry_after = std::chrono::seconds(1);
  return MakeErrorReply(error);
}

}  // namespace

caller_api::caller_api(const configuration_store& config,
                       const token_directory& tokens,
                       dispatcher& jobs,
                       job_registry& registry,
                       job_id_mint& mint,
                       job_forwarder& forwarder,
                       usage_ledger& usage)
    : config_(config),
      tokens_(tokens),
      jobs_(jobs),
      registry_(registry),
      mint_(mint),
      forwarder_(forwarder),
      usage_(usage) {}

void caller_api::Handle(const http_exchange_ptr& exchange) {
  const http_request& request = exchange->request();
  // Without a configuration no token is known, also no good one. "Not
  // authorized" would tell a rightful caller to give up.
  if (!config_.known()) {
    Refuse(exchange, 503, "no_configuration",
           "this instance has no configuration yet", kConfigurationSoon);
    return;
  }
  auto team = tokens_.Team(exchange->header("Authorization"));
  if (!team) {
    Refuse(exchange, 401, "unauthorized", "no valid bearer token was given");
    return;
  }
  if (request.body.size() > kMaxBody) {
    Refuse(exchange, 413, "body_too_large",
           "a body may have " + std::to_string(kMaxBody) + " bytes");
    return;
  }
  bool is_post = request.method == http_method::kPost;
  if (is_post && request.path == kJobsPath) {
    SubmitJob(exchange, *team);
  } else if (is_post && request.path == kMintPath) {
    MintId(exchange, *team);
  } else if (auto name = PathTail(request.path, kJobPrefix)) {
    ServeJob(exchange, *team, *name);
  } else if (auto work_class = PathTail(request.path, kRequestPrefix);
             work_class && is_post) {
    SubmitRequest(exchange, *team, class_id(*work_class));
  } else if (request.path == kUsagePath &&
             request.method == http_method::kGet) {
    ServeUsage(exchange, *team);
  } else {
    Refuse(exchange, 404, "unknown_path", "there is nothing at this path");
  }
}

void caller_api::HandleForwarded(const forwarded_job& request,
                                 std::function<void(const http_reply&)> done) {
  if (!mint_.OwnedHere(request.job)) {
    done(LostReply(request.job.ToString()));
    return;
  }
  Perform(request, std::move(done), nullptr);
}

void caller_api::SubmitJob(const http_exchange_ptr& exchange,
                           const team_id& team) {
  auto submission = ParseJob(exchange->request().body);
  if (!submission.ok()) {
    bool too_many = submission.error().error == submission_error::kTooManyTasks;
    Refuse(exchange, too_many ? 413 : 400,
           too_many ? "too_many_tasks" : "malformed",
           submission.error().what.ToString());
    return;
  }
  const std::string* name = exchange->header(kJobHeader);
  if (!name) {
    SubmitOwnJob(exchange, team, submission.value());
    return;
  }
  auto id = job_id::Parse(*name);
  if (!id || !id->minted_ahead()) {
    Refuse(exchange, 400, "malformed",
           std::string(kJobHeader) + ": is not an id from POST " + kMintPath);
    return;
  }
  Route(exchange,
        {job_operation::kSubmit, *id, team, exchange->request().body});
}

// Nobody else can know this job's id: if the caller hangs up, the answer is
// wanted by nobody.
void caller_api::SubmitOwnJob(const http_exchange_ptr& exchange,
                              const team_id& team,
                              const job_submission& submission) {
  job_id id = mint_.MintForJob(team);
  registry_.Submit(
      id, team, exchange->request().body, FindClass(submission.work_class),
      submission,
      [exchange](const http_reply& reply) { exchange->Reply(reply); });
  if (exchange->replied())
    return;
  exchange->OnHangUp([this, id, team] {
    registry_.Cancel(id, team, [](const http_reply&) {});
  });
}

void caller_api::MintId(const http_exchange_ptr& exchange,
                        const team_id& team) {
  std::string id = mint_.MintAhead(team).ToString();
  exchange->Reply(MakeJsonReply(200, "{\"job\":\"" + id + "\"}\n"));
}

void caller_api::ServeJob(const http_exchange_ptr& exchange,
                          const team_id& team,
                          const std::string& name) {
  auto id = job_id::Parse(name);
  if (!id) {
    Refuse(exchange, 404, "unknown_job", "this is not a job id");
    return;
  }
  switch (exchange->request().method) {
    case http_method::kGet:
      Route(exchange, {job_operation::kWait, *id, team, ""});
      return;
    case http_method::kDelete:
      Route(exchange, {job_operation::kCancel, *id, team, ""});
      return;
    case http_method::kPost:
    case http_method::kPut:
    case http_method::kOther:
      break;
  }
  Refuse(exchange, 404, "unknown_path", "a job takes GET and DELETE");
}

void caller_api::SubmitRequest(const http_exchange_ptr& exchange,
                               const team_id& team,
                               const class_id& work_class) {
  const class_settings* settings = FindClass(work_class);
  if (!settings) {
    Refuse(exchange, 404, "unknown_class", "there is no such class of work");
    return;
  }
  job_spec spec;
  spec.team = team;
  spec.work_class = work_class;
  spec.settings = *settings;
  spec.may_repeat = settings->idempotent;
  if (const std::string* mark = exchange->header(kIdempotentHeader)) {
    if (*mark != "true" && *mark != "false") {
      Refuse(exchange, 400, "malformed",
             std::string(kIdempotentHeader) + ": must be true or false");
      return;
    }
    spec.may_repeat = *mark == "true";
  }
  spec.settings.idempotent = spec.may_repeat;
  if (const std::string* text = exchange->header(kTimeoutHeader)) {
    auto timeout = ParseTimeout(*text);
    if (!timeout) {
      Refuse(exchange, 400, "malformed",
             std::string(kTimeoutHeader) + ": must be whole milliseconds");
      return;
    }
    spec.timeout = *timeout;
  }
  spec.name = mint_.MintForJob(team).ToString();
  spec.tasks.push_back({exchange->request().body, 0, duration::zero()});
  auto started =
      jobs_.Submit(std::move(spec), [exchange](const job_outcome& result) {
        exchange->Reply(MakeRequestReply(result));
      });
  if (!started.ok()) {
    exchange->Reply(MakeRefusalReply(started.error()));
    return;
  }
  exchange->OnHangUp([this, job = started.value()] { jobs_.Cancel(job); });
}

void caller_api::ServeUsage(const http_exchange_ptr& exchange,
                            const team_id& team) {
  usage_.ReadTotal(
      team, [exchange, team](const outcome<team_usage, store_error>& total) {
        if (!total.ok()) {
          error_reply error;
          error.status = 503;
          error.reason = "platform_unavailable";
          exchange->Reply(MakeErrorReply(error));
          return;
        }
        nlohmann::json body = {{"team", team.str()},
                               {"tasks", total.value().tasks},
                               {"run_ms", total.value().run_us / 1000}};
        exchange->Reply(MakeJsonReply(200, body.dump() + "\n"));
      });
}

void caller_api::Route(const http_exchange_ptr& exchange,
                       const forwarded_job& request) {
  if (mint_.OwnedHere(request.job)) {
    Perform(
        request,
        [exchange](const http_reply& reply) { exchange->Reply(reply); },
        [exchange](std::function<void()> handler) {
          if (!exchange->replied())
            exchange->OnHangUp(std::move(handler));
        });
    return;
  }
  std::string name = request.job.ToString();
  forwarder_.Forward(
      request,
      [exchange, name](const outcome<http_reply, forward_error>& reply) {
        if (reply.ok())
          exchange->Reply(reply.value());
        else if (reply.error() == forward_error::kOwnerGone)
          exchange->Reply(LostReply(name));
        else
          exchange->Reply(UnreachableReply(name));
      });
}

void caller_api::Perform(
    const forwarded_job& request,
    std::function<void(const http_reply&)> done,
    const std::function<void(std::function<void()>)>& on_hang_up) {
  job_registry::waiter_id waiter = 0;
  switch (request.operation) {
    case job_operation::kCancel:
      registry_.Cancel(request.job, request.team, std::move(done));
      return;
    case job_operation::kWait:
      waiter = registry_.Wait(request.job, request.team, std::move(done));
      break;
    case job_operation::kSubmit: {
      auto submission = ParseJob(request.body);
      if (!submission.ok()) {
        error_reply error;
        error.reason = "malformed";
        error.detail = submission.error().what.ToString();
        done(CountRefusal(error));
        return;
      }
      waiter = registry_.Submit(request.job, request.team, request.body,
                                FindClass(submission.value().work_class),
                                submission.value(), std::move(done));
      break;
    }
  }
  // The job goes on: whoever has its id may ask again.
  if (waiter != 0 && on_hang_up) {
    on_hang_up(
        [this, job = request.job, waiter] { registry_.Forget(job, waiter); });
  }
}

void caller_api::Refuse(const http_exchange_ptr& exchange,
                        int status,
                        const std::string& reason,
                        const std::string& detail,
                        duration retry_after) {
  error_reply error;
  error.status = status;
  error.reason = reason;
  error.detail = detail;
  error.retry_after = retry_after;
  exchange->Reply(CountRefusal(error));
}

http_reply caller_api::CountRefusal(const error_reply& error) {
  ++refusals_[error.reason];
  return MakeErrorReply(error);
}

const class_settings* caller_api::FindClass(const class_id& work_class) const {
  const auto& classes = config_.settings().classes;
  auto found = classes.find(work_class);
  return found == classes.end() ? nullptr : &found->second;
}

}  // namespace jasminedyke
