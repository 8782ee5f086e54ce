// Messages between jobs' owners and homes: what is sent is what arrives.

#include <doctest/doctest.h>

#include "protocol/protocol.h"

namespace jasminedyke {

namespace {

template <class Message>
Message ThroughTheWire(const Message& message) {
  wire_names names;
  auto frame = DecodeFrame(EncodeFrame(peer_message(message), names), names);
  REQUIRE(frame.ok());
  return std::get<Message>(std::get<peer_message>(frame.value()));
}

}  // namespace

TEST_CASE("run_codec: a request with tasks of two kinds") {
  run_request request;
  request.job = job_key("5c0e7a21d94b36f8");
  request.submission = submission_id(7);
  request.queue = queue_id("stock-check");
  request.service = service_id("parts");
  request.spec = std::string("\0bytes\xff", 7);
  request.to_objective = std::chrono::milliseconds(-5);
  request.to_limit = std::chrono::milliseconds(1500);
  request.age = std::chrono::microseconds(9);
  request.max_attempts = 3;
  request.priority = 2;
  request.may_pass = true;
  request.has_place = true;
  request.sending = 3;
  task_demand plain;
  plain.need = {14'000, 64, 0};
  plain.estimate = std::chrono::milliseconds(60);
  task_demand picky = plain;
  picky.position.index = 1;
  picky.rack = rack_id("r1-3");
  picky.required_label = "a";
  picky.max_per_upstream = 2;
  picky.maybe_started = true;
  request.tasks = {plain, picky};
  CHECK(ThroughTheWire(request) == request);
}

TEST_CASE("run_codec: the other messages") {
  run_cancel cancel{job_key("a"), submission_id(1)};
  CHECK(ThroughTheWire(cancel) == cancel);
  run_report report{job_key("a"), submission_id(1), {}};
  report.tasks.push_back({{0, 3}, task_verdict::kDone});
  report.tasks.push_back({{1, 0}, task_verdict::kFailed});
  CHECK(ThroughTheWire(report) == report);
  run_report refusal{job_key("a"), submission_id(1), {}};
  refusal.refusal = run_refusal::kOverload;
  refusal.not_run = true;
  refusal.sending = 3;
  refusal.retry_after = std::chrono::seconds(2);
  CHECK(ThroughTheWire(refusal) == refusal);
  delegated_start start;
  start.number = 9;
  start.submission = submission_id(1);
  start.upstream = upstream_id("u1");
  start.order.task = {job_key("a"), 0, {1, 2}};
  start.order.run = run_number(3);
  start.order.token = fencing_token(1ull << 52);
  start.order.not_after = {123456};
  start.order.address = "10.0.0.1:80";
  CHECK(ThroughTheWire(start) == start);
  delegated_start_result result{9, {start_result::kNoRoom, std::nullopt}};
  CHECK(ThroughTheWire(result) == result);
  result.reply = {start_result::kStarted, upstream_time{77}};
  CHECK(ThroughTheWire(result) == result);
  run_request kept;
  kept.kept_spec_bytes = 2400;
  CHECK(ThroughTheWire(kept) == kept);
  home_status status;
  status.owners_start = true;
  status.group = {failure_domain_id("north"), 1};
  status.token = fencing_token(9);
  status.yielding = true;
  status.wait = std::chrono::milliseconds(3);
  CHECK(ThroughTheWire(status) == status);
  upstream_news news;
  news.full = true;
  news.whole = true;
  upstream_info info;
  info.id = upstream_id("u1");
  info.address = "10.0.0.1:80";
  info.service = service_id("parts");
  info.rack = rack_id("r1-3");
  info.labels = {"a", "r1-3"};
  info.capacity = {32'000, 64, 1};
  info.draining = true;
  info.birth = upstream_birth(1'700'000'000'123);
  news.rows = {info};
  news.gone = {upstream_id("u2")};
  CHECK(ThroughTheWire(news) == news);
}

}  // namespace jasminedyke
