// Tests the start of tasks in other failure domains.

#include <memory>
#include <string>

#include <doctest/doctest.h>

#include "fakes/fake_attempts.h"

namespace jasminedyke {
namespace {

const failure_domain_id kOther("other");

// The own domain has upstreams "u0" and "u1", the other one "u2" and "u3".
struct fixture {
  fixture()
      : table(failure_domain_id("d")),
        jobs(clock, port, usage, table, DefaultOrderRule(), queue_caps()),
        spill(clock, table, jobs, 1) {
    membership_list list = MakeMembership(1, 4, 1);
    list.instances[2].failure_domain = kOther;
    list.instances[3].failure_domain = kOther;
    view.Update(list);
    table.SetMembership(view);
    // A share beyond the last slot, so that this strategy starts no tasks.
    auto split = std::make_unique<static_split_slots>(clock, table, jobs);
    split->SetShare(9, 9);
    jobs.SetStrategy(std::move(split),
                     [](const instance_id&, const slot_message&) {});
  }
  void Submit(int tasks) {
    job_spec spec;
    spec.name = "job";
    spec.team = team_id("lahore");
    spec.tasks.resize(tasks);
    jobs.Submit(std::move(spec), [](const job_outcome&) {});
  }
  void QuarantineLocalUpstreams() {
    for (const char* id : {"u0", "u1"}) {
      for (int i = 0; i < 3; ++i)
        table.health().Record({upstream_id(id), slot_result::kUnreachable},
                              clock.now());
    }
  }

  manual_scheduler clock;
  fake_attempts port;
  fake_usage usage;
  membership_view view;
  upstream_table table;
  dispatcher jobs;
  spill_slots spill;
};

// Many tasks wait, but the own upstreams are fit. Tasks sent to another domain
// would cause refusals of that domain's own tasks.
TEST_CASE("spill_slots: starts nothing while an own upstream is fit") {
  fixture f;
  f.spill.SetRoom({kOther, 40});
  f.Submit(100);
  f.spill.OnWorkChanged();
  CHECK(f.port.attempts.empty());
}

TEST_CASE("spill_slots: uses only part of the announced room") {
  fixture f;
  f.QuarantineLocalUpstreams();
  f.spill.SetRoom({kOther, 8});
  f.Submit(20);
  f.spill.OnWorkChanged();
  // A quarter of the room, as other instances use it too.
  REQUIRE(f.port.attempts.size() == 2);
  for (const auto& attempt : f.port.attempts) {
    upstream_id id = attempt.request.upstream;
    CHECK((id == upstream_id("u2") || id == upstream_id("u3")));
  }
}

// All own upstreams are quarantined. Tasks start in the other domain, and no
// slots are requested from the own domain's home.
TEST_CASE("spill_slots: uses another domain when no own upstream is fit") {
  fixture f;
  f.QuarantineLocalUpstreams();
  CHECK_FALSE(f.spill.OnlyOtherDomainsCanServe());
  f.spill.SetRoom({kOther, 40});
  CHECK(f.spill.OnlyOtherDomainsCanServe());
  f.Submit(1);
  f.spill.OnWorkChanged();
  CHECK(f.port.attempts.size() == 1);
}

// The announced room is outdated. The first refusal ends its use until the next
// announcement, which limits the number of wasted starts.
TEST_CASE("spill_slots: a refusal ends the use of a room") {
  fixture f;
  f.QuarantineLocalUpstreams();
  f.spill.SetRoom({kOther, 40});
  f.Submit(20);
  f.spill.OnWorkChanged();
  size_t started = f.port.attempts.size();
  CHECK(started == 4);
  f.spill.OnAttemptEnded({upstream_id("u2"), slot_result::kFull});
  f.port.End(0, AnswerOk("a"));
  f.spill.OnWorkChanged();
  CHECK(f.port.attempts.size() == started);
}

TEST_CASE("spill_slots: announced room expires") {
  fixture f;
  f.QuarantineLocalUpstreams();
  f.spill.SetRoom({kOther, 40});
  f.clock.Advance(std::chrono::seconds(4));
  f.Submit(20);
  f.spill.OnWorkChanged();
  CHECK(f.port.attempts.empty());
}

}  // namespace
}  // namespace jasminedyke
