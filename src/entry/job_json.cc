#include "entry/job_json.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "store/store.h"

namespace jasminedyke {

namespace {

using nlohmann::json;

constexpr int64_t kMaxMemoryMb = 1 << 30;

bad_submission Malformed(const problem& what) {
  return {submission_error::kMalformed, what};
}

outcome<task_spec> ParseTask(const json& value, const std::string& where) {
  json_reader reader(value, where);
  reader.RefuseUnknown(
      {"payload", "payload_base64", "memory_mb", "expected_ms"});
  task_spec task;
  task.payload = reader.Text("payload", "");
  std::string encoded = reader.Text("payload_base64", "");
  task.memory_mb =
      static_cast<int>(reader.Integer("memory_mb", 0, kMaxMemoryMb, 0));
  task.expected = std::chrono::milliseconds(reader.Integer(
      "expected_ms", 0, kLongestTimeout / std::chrono::milliseconds(1), 0));
  if (reader.ok() && !encoded.empty() && !FromBase64(encoded, &task.payload)) {
    reader.Complain("payload_base64", "is not base64");
  }
  if (!reader.ok())
    return *reader.error();
  return task;
}

// A body that is no UTF-8 can't stand in JSON and goes as base64.
std::string AnswerJson(size_t index, const answered& answer) {
  std::string text = "{\"task\":" + std::to_string(index);
  try {
    std::string body = json(answer.body).dump();
    text += ",\"body\":" + body;
  } catch (const json::type_error&) {
    text += ",\"body_base64\":\"" + ToBase64(answer.body) + "\"";
  }
  if (answer.run_time) {
    text += ",\"run_ms\":" +
            std::to_string(*answer.run_time / std::chrono::milliseconds(1));
  }
  return text + "}";
}

const char* RunText(run_state run) {
  return run == run_state::kNotRun ? "not_run" : "maybe_run";
}

int FailureStatus(failure_reason reason) {
  return reason == failure_reason::kTimeout ? 504 : 502;
}

error_reply ToErrorReply(const std::string& job, const job_failed& failed) {
  error_reply error;
  error.status = FailureStatus(failed.reason);
  error.state = "failed";
  error.reason = ToString(failed.reason);
  error.run = failed.may_have_run ? run_state::kMaybeRun : run_state::kNotRun;
  error.job = job;
  if (failed.task)
    error.detail = "task " + std::to_string(failed.task->value());
  if (failed.answer) {
    error.detail += ": the upstream answered status " +
                    std::to_string(failed.answer->status);
  }
  return error;
}

}  // namespace

outcome<job_submission, bad_submission> ParseJob(const std::string& body) {
  json document = ParseJson(body);
  if (document.is_discarded())
    return Malformed({"", "the body is not valid JSON"});
  json_reader reader(document, "");
  reader.RefuseUnknown({"class", "tasks", "timeout_ms"});
  job_submission job;
  job.work_class = class_id(reader.Text("class", std::nullopt));
  job.timeout = std::chrono::milliseconds(reader.Integer(
      "timeout_ms", 1, kLongestTimeout / std::chrono::milliseconds(1),
      kDefaultTimeout / std::chrono::milliseconds(1)));
  const json* tasks = reader.Array("tasks");
  if (!reader.ok())
    return Malformed(*reader.error());
  if (!tasks || tasks->empty())
    return Malformed({"tasks", "must have at least one task"});
  if (tasks->size() > kMaxTasksOfJob) {
    return bad_submission{
        submission_error::kTooManyTasks,
        {"tasks", "a job may have " + std::to_string(kMaxTasksOfJob) +
                      " tasks, not " + std::to_string(tasks->size())}};
  }
  for (size_t i = 0; i < tasks->size(); ++i) {
    auto task = ParseTask((*tasks)[i], "tasks[" + std::to_string(i) + "]");
    if (!task.ok())
      return Malformed(task.error());
    job.tasks.push_back(std::move(task.value()));
  }
  return job;
}

http_reply MakeJsonReply(int status, std::string body) {
  return {status, {{"Content-Type", "application/json"}}, std::move(body)};
}

http_reply MakeErrorReply(const error_reply& error) {
  json body = {{"state", error.state},
               {"reason", error.reason},
               {"run", RunText(error.run)}};
  if (!error.detail.empty())
    body["detail"] = error.detail;
  if (!error.job.empty())
    body["job"] = error.job;
  std::string text =
      body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
  http_reply reply = MakeJsonReply(error.status, std::move(text));
  if (error.run == run_state::kNotRun)
    reply.headers.emplace_back("Jasminedyke-Run", "not-run");
  if (error.retry_after > duration::zero()) {
    auto seconds = std::chrono::ceil<std::chrono::seconds>(error.retry_after);
    reply.headers.emplace_back("Retry-After", std::to_string(seconds.count()));
  }
  return reply;
}

http_reply MakeJobReply(const std::string& job, const job_outcome& result) {
  if (const auto* failed = std::get_if<job_failed>(&result))
    return MakeErrorReply(ToErrorReply(job, *failed));
  const auto& answers = std::get<job_complete>(result).answers;
  std::string text =
      "{\"job\":\"" + job + "\",\"state\":\"complete\",\"answers\":[";
  for (size_t i = 0; i < answers.size(); ++i) {
    if (i > 0)
      text += ',';
    text += AnswerJson(i, answers[i]);
  }
  return MakeJsonReply(200, text + "]}\n");
}

http_reply MakeRequestReply(const job_outcome& result) {
  const answered* answer = nullptr;
  if (const auto* complete = std::get_if<job_complete>(&result))
    answer = &complete->answers.front();
  const auto* failed = std::get_if<job_failed>(&result);
  if (failed && failed->answer)
    answer = &*failed->answer;
  if (!answer)
    return MakeErrorReply(ToErrorReply("", *failed));
  http_reply reply{answer->status, {}, answer->body};
  if (!answer->content_type.empty())
    reply.headers.emplace_back("Content-Type", answer->content_type);
  if (answer->run_time) {
    reply.headers.emplace_back(
        "Jasminedyke-Run-Ms",
        std::to_string(*answer->run_time / std::chrono::milliseconds(1)));
  }
  return reply;
}

http_reply MakeRefusalReply(const job_refusal& refusal) {
  error_reply error;
  error.reason = ToString(refusal.reason);
  error.retry_after = refusal.retry_after;
  switch (refusal.reason) {
    case refusal_reason::kNoUpstreamFits:
      error.status = 422;
      error.detail = "no upstream has the memory that a task asks for";
      break;
    case refusal_reason::kQueueFull:
      error.status = 429;
      error.detail = "too much work is waiting";
      break;
    case refusal_reason::kOverloaded:
      error.status = 503;
      error.detail = "the wait would be far beyond the target of the class";
      break;
    case refusal_reason::kWouldTimeOut:
      error.status = 503;
      error.detail = "the wait would be longer than the timeout of the job";
      break;
    case refusal_reason::kStopping:
      error.status = 503;
      error.detail = "this instance is stopping";
      break;
  }
  return MakeErrorReply(error);
}

}  // namespace jasminedyke
