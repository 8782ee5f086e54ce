// Which tasks are held to crash the upstreams that start them.

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

TEST_CASE("crash_record: whoever ran there is suspect, one good run clears") {
  crash_record record;
  record.OnUpstreamLost(At(0), Loss("u1", {Task(1), Task(2)}), kUpstreams);
  CHECK(record.SuspicionLevel(Task(1), At(10)) == crash_suspicion::kSuspect);
  CHECK(record.SuspicionLevel(Task(2), At(10)) == crash_suspicion::kSuspect);
  CHECK(record.SuspicionLevel(Task(3), At(10)) == crash_suspicion::kNone);
  record.OnRunEnded(Task(2));
  CHECK(record.SuspicionLevel(Task(1), At(10)) == crash_suspicion::kSuspect);
  CHECK(record.SuspicionLevel(Task(2), At(10)) == crash_suspicion::kNone);
}

TEST_CASE("crash_record: a second loss holds, but only who was there") {
  crash_record record;
  record.OnUpstreamLost(At(0), Loss("u1", {Task(1), Task(2)}), kUpstreams);
  record.OnUpstreamLost(At(2000), Loss("u2", {Task(1)}), kUpstreams);
  CHECK(record.SuspicionLevel(Task(1), At(2001)) == crash_suspicion::kHeld);
  CHECK(record.RemainingHoldTime(Task(1), At(2001)) == milliseconds(57'999));
  CHECK(record.SuspicionLevel(Task(2), At(2001)) == crash_suspicion::kSuspect);
}

TEST_CASE("crash_record: orders that may never have arrived hold only later") {
  // Guards against tasks being held for upstreams that crashed before they
  // began anything; a task that crashes its upstream before the answer is held
  // too.
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

TEST_CASE("crash_record: an upstream that answers again was not crashed") {
  // A link is full: two upstreams in turn don't answer while a task runs there.
  // As long as nobody knows why, no third upstream is risked.
  crash_record record;
  crash_record other;
  record.OnUpstreamLost(At(0), Loss("u1", {Task(1)}), kUpstreams);
  CHECK(record.SuspicionLevel(Task(1), At(1)) == crash_suspicion::kSuspect);
  record.OnUpstreamLost(At(2000), Loss("u2", {Task(1)}), kUpstreams);
  CHECK(record.SuspicionLevel(Task(1), At(2001)) == crash_suspicion::kHeld);
  other.Take(record.TakeNews(), At(2002));
  CHECK(other.SuspicionLevel(Task(1), At(2002)) == crash_suspicion::kHeld);
  SUBCASE("one of them does, also for those who were told") {
    record.OnExplained(Upstream("u1"), At(2900));
    CHECK(record.SuspicionLevel(Task(1), At(3000)) ==
          crash_suspicion::kSuspect);
    other.Take(record.TakeNews(), At(3001));
    CHECK(other.SuspicionLevel(Task(1), At(3001)) == crash_suspicion::kSuspect);
  }
  SUBCASE("neither does") {
    CHECK(record.SuspicionLevel(Task(1), At(4000)) == crash_suspicion::kHeld);
  }
}

TEST_CASE(
    "crash_record: an instance that was not told does not bring it back") {
  // Guards against a loss that has been explained returning with the news of an
  // instance whose link was down meanwhile.
  crash_record record;
  crash_record away;
  record.OnUpstreamLost(At(0), Loss("u1", {Task(1)}), kUpstreams);
  away.Take(record.TakeNews(), At(1));
  record.OnExplained(Upstream("u1"), At(1000));
  record.Take(away.All(At(2000)), At(2000));
  CHECK(record.SuspicionLevel(Task(1), At(2001)) == crash_suspicion::kNone);
  away.Take(record.All(At(2000)), At(2000));
  CHECK(away.SuspicionLevel(Task(1), At(2001)) == crash_suspicion::kNone);
  SUBCASE("but it may be lost again") {
    record.OnUpstreamLost(At(3000), Loss("u1", {Task(1)}), kUpstreams);
    CHECK(record.SuspicionLevel(Task(1), At(3001)) ==
          crash_suspicion::kSuspect);
  }
}

TEST_CASE("crash_record: losses are forgotten one by one") {
  // Guards against a loss among many counting as a single one once the others
  // are forgotten, and against Retry-After beyond what is held.
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

TEST_CASE("crash_record: many upstreams lost together prove nothing") {
  // A failure domain loses power. Its upstreams are missed within a second of
  // each other, and a real crasher is among the tasks.
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
  SUBCASE("nor with a single one that others are told of") {
    crash_record other;
    record.OnUpstreamLost(At(5000), Loss("u30", {Task(7)}), kUpstreams);
    other.Take(record.TakeNews(), At(5001));
    CHECK(other.SuspicionLevel(Task(7), At(5001)) == crash_suspicion::kSuspect);
  }
  SUBCASE("but the real one shows by its next loss") {
    record.OnUpstreamLost(At(5000), Loss("u30", {Task(7), Task(30)}),
                          kUpstreams);
    CHECK(record.SuspicionLevel(Task(7), At(5001)) ==
          crash_suspicion::kSuspect);
    record.OnUpstreamLost(At(8000), Loss("u31", {Task(7)}), kUpstreams);
    CHECK(record.SuspicionLevel(Task(7), At(8001)) == crash_suspicion::kHeld);
  }
}

TEST_CASE("crash_record: what one instance saw counts for the others") {
  crash_record record;
  crash_record other;
  record.OnUpstreamLost(At(0), Loss("u1", {Task(1)}), kUpstreams);
  crash_news news = record.TakeNews();
  REQUIRE(news.suspects.size() == 1);
  CHECK(record.TakeNews().suspects.empty());
  other.Take(news, At(1300));
  CHECK(other.SuspicionLevel(Task(1), At(1300)) == crash_suspicion::kSuspect);
  // The caller sends the job again, and another home starts the task.
  other.OnUpstreamLost(At(3000), Loss("u2", {Task(1)}), kUpstreams);
  CHECK(other.SuspicionLevel(Task(1), At(3000)) == crash_suspicion::kHeld);
  record.Take(other.TakeNews(), At(3001));
  CHECK(record.SuspicionLevel(Task(1), At(3001)) == crash_suspicion::kHeld);
  CHECK(record.TakeNews().empty());
}

TEST_CASE("crash_record: one crash that is both heard of and seen") {
  // Guards against a crash that the earlier home told of counting once more
  // when its successor learns of it.
  crash_record record;
  crash_record other;
  record.OnUpstreamLost(At(0), Loss("u1", {Task(1)}), kUpstreams);
  other.Take(record.TakeNews(), At(10));
  other.OnUpstreamLost(At(300), Loss("u1", {Task(1)}), kUpstreams);
  CHECK(other.SuspicionLevel(Task(1), At(301)) == crash_suspicion::kSuspect);
}

TEST_CASE("crash_record: two incarnations of one upstream are two") {
  crash_record record;
  for (uint64_t birth : {6, 7}) {
    upstream_loss loss = Loss("u1", {Task(1)});
    loss.upstream.birth = upstream_birth(birth);
    record.OnUpstreamLost(At(static_cast<int>(birth) * 2000), loss, kUpstreams);
  }
  CHECK(record.SuspicionLevel(Task(1), At(14'001)) == crash_suspicion::kHeld);
}

TEST_CASE("crash_record: an older release counts only") {
  // Guards against the same count, told again, adding up.
  crash_record record;
  crash_news news{{{Task(1), {{{}, true}}}}, {}};
  record.Take(news, At(0));
  record.Take(news, At(100));
  CHECK(record.SuspicionLevel(Task(1), At(101)) == crash_suspicion::kSuspect);
  news.suspects[0].losses.push_back({{}, true});
  record.Take(news, At(200));
  CHECK(record.SuspicionLevel(Task(1), At(201)) == crash_suspicion::kHeld);
}

TEST_CASE("crash_record: a suspect whose run vanished with its home") {
  crash_record record;
  record.Take({{{Task(1), {{Upstream("u1"), true}}}}, {}}, At(0));
  record.OnSuspectRunMissing(Task(1), At(2000));
  record.OnSuspectRunMissing(Task(2), At(2000));
  CHECK(record.SuspicionLevel(Task(1), At(2001)) == crash_suspicion::kHeld);
  CHECK(record.SuspicionLevel(Task(2), At(2001)) == crash_suspicion::kNone);
}

TEST_CASE("crash_record: it forgets, and does not grow without bound") {
  crash_record record;
  for (uint32_t i = 0; i < 5'000; ++i)
    record.OnUpstreamLost(At(0), Loss("u1", {Task(i)}), kUpstreams);
  CHECK(record.size() == 2'000);
  record.Forget(At(61'000));
  CHECK(record.size() == 0);
}

}  // namespace jasminedyke
