#include "upstream/attempt.h"

#include <charconv>

namespace jasminedyke {

namespace {

constexpr char kRunHeader[] = "Jasminedyke-Run";
constexpr char kNotRun[] = "not-run";
constexpr char kReasonHeader[] = "Jasminedyke-Reason";
constexpr char kTaskHeader[] = "Jasminedyke-Task";
constexpr char kRunMsHeader[] = "Jasminedyke-Run-Ms";
constexpr char kContentTypeHeader[] = "Content-Type";
// A longer run time than any lease is a mistake of the upstream.
constexpr double kLongestRunMs = 24.0 * 3600 * 1000;

std::optional<duration> ParseRunTime(const http_reply& reply) {
  const std::string* text = FindHeader(reply.headers, kRunMsHeader);
  if (!text)
    return std::nullopt;
  double ms = 0;
  const char* last = text->data() + text->size();
  auto [end, error] = std::from_chars(text->data(), last, ms);
  bool valid =
      error == std::errc() && end == last && ms >= 0 && ms <= kLongestRunMs;
  if (!valid)
    return std::nullopt;
  return FromMilliseconds(ms);
}

bool IsGatewayStatus(int status) {
  return status == 502 || status == 503 || status == 504;
}

attempt_outcome ClassifyReply(const attempt_request& request,
                              const http_reply& reply) {
  // An upstream that mixes up its replies would hand one caller's answer to
  // another. Where it names the task, the name must be the one asked for.
  const std::string* task = FindHeader(reply.headers, kTaskHeader);
  if (task && *task != request.task)
    return outcome_unknown{unknown_reason::kMalformed};
  if (auto refused = not_run::FromReply(reply))
    return *refused;
  if (IsGatewayStatus(reply.status))
    return outcome_unknown{unknown_reason::kGateway};
  const std::string* type = FindHeader(reply.headers, kContentTypeHeader);
  return answered{reply.status, type ? *type : std::string(), reply.body,
                  ParseRunTime(reply)};
}

unknown_reason ToUnknownReason(http_failure_kind kind) {
  switch (kind) {
    case http_failure_kind::kTimeout:
      return unknown_reason::kTimeout;
    case http_failure_kind::kTruncated:
      return unknown_reason::kMalformed;
    case http_failure_kind::kConnect:
    case http_failure_kind::kReset:
    case http_failure_kind::kTooLarge:
      break;
  }
  return unknown_reason::kReset;
}

}  // namespace

std::optional<not_run> not_run::FromFailure(const http_failure& failure) {
  if (!failure.nothing_sent)
    return std::nullopt;
  return not_run(not_run_reason::kNothingSent);
}

std::optional<not_run> not_run::FromReply(const http_reply& reply) {
  const std::string* run = FindHeader(reply.headers, kRunHeader);
  if (!run || *run != kNotRun)
    return std::nullopt;
  // A success that claims not to have run contradicts itself.
  if (reply.status < 400)
    return std::nullopt;
  const std::string* reason = FindHeader(reply.headers, kReasonHeader);
  if (reason && *reason == "slots")
    return not_run(not_run_reason::kNoSlot);
  if (reason && *reason == "leaving")
    return not_run(not_run_reason::kLeaving);
  return not_run(not_run_reason::kOther);
}

slot_result ToSlotResult(const attempt_outcome& outcome) {
  if (const auto* answer = std::get_if<answered>(&outcome))
    return answer->succeeded() ? slot_result::kAnswered
                               : slot_result::kTaskError;
  if (std::holds_alternative<outcome_unknown>(outcome))
    return slot_result::kBroken;
  switch (std::get<not_run>(outcome).reason()) {
    case not_run_reason::kNothingSent:
      return slot_result::kUnreachable;
    case not_run_reason::kLeaving:
      return slot_result::kLeaving;
    case not_run_reason::kNoSlot:
    case not_run_reason::kOther:
      break;
  }
  return slot_result::kFull;
}

attempt_outcome ClassifyResult(const attempt_request& request,
                               const http_result& result) {
  if (result.ok())
    return ClassifyReply(request, result.value());
  if (auto proof = not_run::FromFailure(result.error()))
    return *proof;
  return outcome_unknown{ToUnknownReason(result.error().kind)};
}

}  // namespace jasminedyke
