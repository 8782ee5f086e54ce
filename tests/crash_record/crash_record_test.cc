// Tests which tasks are suspected of crashing the upstreams that start them.

#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "runs/runs.h"

namespace jasminedyke {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kUpstreams = 100;

task_name Task(uint32_t index) {
  return {job_key("00000000000000aa"), 0, {0, index}};
}

upstream_incarnation Upstream(const std::string& id) {
  return {upstream_id(id), upstream_birth()};
}

upstream_loss Loss(const std::string& id,
                   const std::vector<task_name>& tasks,
                   bool begun = true) {
  upstream_loss loss;
  loss.upstream = Upstream(id);
  for (const task_name& task : tasks)
    loss.runs.push_back({task, begun});
  return loss;
}

time_point At(int ms) {
  return time_point(seconds(100)) + milliseconds(ms);
}

}  // namespace

TEST_CASE(
    "crash_record: tasks of a lost upstream are suspects until a run ends") {
  crash_record record;
  record.OnUpstreamLost(At(0), Loss("u1", {Task(1), Task(2)}), kUpstreams);
  CHECK(record.SuspicionLevel(Task(1), At(10)) == crash_suspicion::kSuspect);
  CHECK(record.SuspicionLevel(Task(2), At(10)) == crash_suspicion::kSuspect);
  CHECK(record.SuspicionLevel(Task(3), At(10)) == crash_suspicion::kNone);
  record.OnRunEnded(Task(2));
  CHECK(record.SuspicionLevel(Task(1), At(10)) == crash_suspicion::kSuspect);
  CHECK(record.SuspicionLevel(Task(2), At(10)) == crash_suspicion::kNone);
}

TEST_CASE("crash_record: a second loss holds only the tasks that ran there") {
  crash_record record;
  record.OnUpstreamLost(At(0), Loss("u1", {Task(1), Task(2)}), kUpstreams);
  record.OnUpstreamLost(At(2000), Loss("u2", {Task(1)}), kUpstreams);
  CHECK(record.SuspicionLevel(Task(1), At(2001)) == crash_suspicion::kHeld);
  CHECK(record.RemainingHoldTime(Task(1), At(2001)) == milliseconds(57'999));
  CHECK(record.SuspicionLevel(Task(2), At(2001)) == crash_suspicion::kSuspect);
}

TEST_CASE(
    "crash_record: unconfirmed starts hold a task only after three losses") {
  // Guards against holding tasks for upstreams that crashed before the tasks
  // began. A task that crashes its upstream before the start is answered is
  // still held, after more losses.
  crash_record record;
  record.OnUpstreamLost(At(0), Loss("u1", {Task(1)}), kUpstreams);
  record.OnUpstreamLost(At(2000), Loss("u2", {Task(1), Task(2)}, false),
                        kUpstreams);
  CHECK(record.SuspicionLevel(Task(1), At(2001)) == crash_suspicion::kSuspect);
  CHECK(record.SuspicionLevel(Task(2), At(2001)) == crash_suspicion::kSuspect);
  record.OnUpstreamLost(At(4000), Loss("u3", {Task(1), Task(2)}, false),
                        kUpstreams);
  CHECK(record.SuspicionLevel(Task(1), At(4001)) == crash_suspicion::kHeld);
  CHECK(record.SuspicionLevel(Task(2), At(4001)) == crash_suspicion::kSuspect);
  record.OnUpstreamLost(At(6000), Loss("u4", {Task(2)}, false), kUpstreams);
  CHECK(record.SuspicionLevel(Task(2), At(6001)) == crash_suspicion::kHeld);
}

TEST_CASE(
    "crash_record: an upstream that answers again no longer counts as lost") {
  // A full link makes two upstreams in turn stop answering while a task runs
  // there. The task is held until the cause is known, so that no third upstream
  // is at risk.
  crash_record record;
  crash_record other;
  record.OnUpstreamLost(At(0), Loss("u1", {Task(1)}), kUpstreams);
  CHECK(record.SuspicionLevel(Task(1), At(1)) == crash_suspicion::kSuspect);
  record.OnUpstreamLost(At(2000), Loss("u2", {Task(1)}), kUpstreams);
  CHECK(record.SuspicionLevel(Task(1), At(2001)) == crash_suspicion::kHeld);
  other.Take(record.TakeNews(), At(2002));
  CHECK(other.SuspicionLevel(Task(1), At(2002)) == crash_suspicion::kHeld);
  SUBCASE("one of them answers again, which the other instance is told") {
    record.OnExplained(Upstream("u1"), At(2900));
    CHECK(record.SuspicionLevel(Task(1), At(3000)) ==
          crash_suspicion::kSuspect);
    other.Take(record.TakeNews(), At(3001));
    CHECK(other.SuspicionLevel(Task(1), At(3001)) == crash_suspicion::kSuspect);
  }
  SUBCASE("neither answers again") {
    CHECK(record.SuspicionLevel(Task(1), At(4000)) == crash_suspicion::kHeld);
  }
}

TEST_CASE("crash_record: outdated news does not bring back an explained loss") {
  // Guards against an explained loss that returns with the news of an instance
  // whose link was down meanwhile.
  crash_record record;
  crash_record away;
  record.OnUpstreamLost(At(0), Loss("u1", {Task(1)}), kUpstreams);
  away.Take(record.TakeNews(), At(1));
  record.OnExplained(Upstream("u1"), At(1000));
  record.Take(away.All(At(2000)), At(2000));
  CHECK(record.SuspicionLevel(Task(1), At(2001)) == crash_suspicion::kNone);
  away.Take(record.All(At(2000)), At(2000));
  CHECK(away.SuspicionLevel(Task(1), At(2001)) == crash_suspicion::kNone);
  SUBCASE("a new loss of the upstream counts") {
    record.OnUpstreamLost(At(3000), Loss("u1", {Task(1)}), kUpstreams);
    CHECK(record.SuspicionLevel(Task(1), At(3001)) ==
          crash_suspicion::kSuspect);
  }
}

TEST_CASE("crash_record: each loss expires separately") {
  // Guards against a shared loss that counts as isolated once the others have
  // expired, and against a Retry-After longer than the remaining hold time.
  crash_record record;
  for (int i = 0; i < 20; ++i)
    record.OnUpstreamLost(At(0), Loss("u" + std::to_string(i), {Task(1)}),
                          kUpstreams);
  record.OnUpstreamLost(At(50'000), Loss("u30", {Task(1)}), kUpstreams);
  record.Forget(At(60'500));
  CHECK(record.SuspicionLevel(Task(1), At(60'500)) ==
        crash_suspicion::kSuspect);
  record.OnUpstreamLost(At(61'000), Loss("u31", {Task(1)}), kUpstreams);
  CHECK(record.SuspicionLevel(Task(1), At(61'000)) == crash_suspicion::kHeld);
  CHECK(record.RemainingHoldTime(Task(1), At(61'000)) == milliseconds(49'000));
  CHECK(record.SuspicionLevel(Task(1), At(110'000)) ==
        crash_suspicion::kSuspect);
}

TEST_CASE("crash_record: many upstreams lost together are no evidence") {
  // A failure domain loses power. Its upstreams are found lost within a second
  // of each other, and one of their tasks does crash upstreams.
  crash_record record;
  for (uint32_t i = 0; i < 20; ++i) {
    record.OnUpstreamLost(At(static_cast<int>(i) * 30),
                          Loss("u" + std::to_string(i), {Task(i)}), kUpstreams);
    if (i < 5)
      CHECK(record.SuspicionLevel(Task(0), At(600)) ==
            crash_suspicion::kSuspect);
  }
  for (uint32_t i = 0; i < 20; ++i)
    CHECK(record.SuspicionLevel(Task(i), At(700)) == crash_suspicion::kNone);
  CHECK(record.TakeNews().suspects.empty());
  SUBCASE("a later isolated loss is reported without the shared ones") {
    crash_record other;
    record.OnUpstreamLost(At(5000), Loss("u30", {Task(7)}), kUpstreams);
    other.Take(record.TakeNews(), At(5001));
    CHECK(other.SuspicionLevel(Task(7), At(5001)) == crash_suspicion::kSuspect);
  }
  SUBCASE("the crashing task is held after its next losses") {
    record.OnUpstreamLost(At(5000), Loss("u30", {Task(7), Task(30)}),
                          kUpstreams);
    CHECK(record.SuspicionLevel(Task(7), At(5001)) ==
          crash_suspicion::kSuspect);
    record.OnUpstreamLost(At(8000), Loss("u31", {Task(7)}), kUpstreams);
    CHECK(record.SuspicionLevel(Task(7), At(8001)) == crash_suspicion::kHeld);
  }
}

TEST_CASE("crash_record: losses that one instance saw count for the others") {
  crash_record record;
  crash_record other;
  record.OnUpstreamLost(At(0), Loss("u1", {Task(1)}), kUpstreams);
  crash_news news = record.TakeNews();
  REQUIRE(news.suspects.size() == 1);
  CHECK(record.TakeNews().suspects.empty());
  other.Take(news, At(1300));
  CHECK(other.SuspicionLevel(Task(1), At(1300)) == crash_suspicion::kSuspect);
  // The caller submits the job again, and another home starts the task.
  other.OnUpstreamLost(At(3000), Loss("u2", {Task(1)}), kUpstreams);
  CHECK(other.SuspicionLevel(Task(1), At(3000)) == crash_suspicion::kHeld);
  record.Take(other.TakeNews(), At(3001));
  CHECK(record.SuspicionLevel(Task(1), At(3001)) == crash_suspicion::kHeld);
  CHECK(record.TakeNews().empty());
}

TEST_CASE(
    "crash_record: a loss that is both reported and observed counts once") {
  // Guards against counting a crash twice when an earlier home reported it and
  // its successor observes it too.
  crash_record record;
  crash_record other;
  record.OnUpstreamLost(At(0), Loss("u1", {Task(1)}), kUpstreams);
  other.Take(record.TakeNews(), At(10));
  other.OnUpstreamLost(At(300), Loss("u1", {Task(1)}), kUpstreams);
  CHECK(other.SuspicionLevel(Task(1), At(301)) == crash_suspicion::kSuspect);
}

TEST_CASE(
    "crash_record: losses of two incarnations of an upstream count as two") {
  crash_record record;
  for (uint64_t birth : {6, 7}) {
    upstream_loss loss = Loss("u1", {Task(1)});
    loss.upstream.birth = upstream_birth(birth);
    record.OnUpstreamLost(At(static_cast<int>(birth) * 2000), loss, kUpstreams);
  }
  CHECK(record.SuspicionLevel(Task(1), At(14'001)) == crash_suspicion::kHeld);
}

TEST_CASE("crash_record: repeated news of losses without ids does not add up") {
  // Older releases report only the number of losses. Guards against adding up
  // the same number when it is reported again.
  crash_record record;
  crash_news news{{{Task(1), {{{}, true}}}}, {}};
  record.Take(news, At(0));
  record.Take(news, At(100));
  CHECK(record.SuspicionLevel(Task(1), At(101)) == crash_suspicion::kSuspect);
  news.suspects[0].losses.push_back({{}, true});
  record.Take(news, At(200));
  CHECK(record.SuspicionLevel(Task(1), At(201)) == crash_suspicion::kHeld);
}

TEST_CASE(
    "crash_record: a suspect whose run is missing after a takeover is held") {
  crash_record record;
  record.Take({{{Task(1), {{Upstream("u1"), true}}}}, {}}, At(0));
  record.OnSuspectRunMissing(Task(1), At(2000));
  record.OnSuspectRunMissing(Task(2), At(2000));
  CHECK(record.SuspicionLevel(Task(1), At(2001)) == crash_suspicion::kHeld);
  CHECK(record.SuspicionLevel(Task(2), At(2001)) == crash_suspicion::kNone);
}

TEST_CASE("crash_record: the record is bounded, and losses expire") {
  crash_record record;
  for (uint32_t i = 0; i < 5'000; ++i)
    record.OnUpstreamLost(At(0), Loss("u1", {Task(i)}), kUpstreams);
  CHECK(record.size() == 2'000);
  record.Forget(At(61'000));
  CHECK(record.size() == 0);
}

// Guards against a list that grows for as long as the process lives: instances
// that are not home only hear of losses, and tell each other on each new link.
TEST_CASE("crash_record: explanations that are heard expire") {
  crash_record record;
  crash_news first;
  first.explained = {Upstream("u1")};
  record.Take(first, At(0));
  CHECK(record.All(At(59'000)).explained.size() == 1);
  CHECK(record.All(At(61'000)).explained.empty());
  crash_news second;
  second.explained = {Upstream("u2")};
  record.Take(second, At(61'000));
  CHECK(record.All(At(0)).explained == second.explained);
}

}  // namespace jasminedyke
