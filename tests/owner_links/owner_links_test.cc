// Tests how long a home keeps the jobs of an owner whose link broke.

#include <string>

#include <doctest/doctest.h>

#include "runs/runs.h"

namespace jasminedyke {

namespace {

using std::chrono::milliseconds;

const instance_id kOwner("entry-1");
const incarnation_id kProcess("1");
const incarnation_id kNextProcess("2");

struct owner_links_fixture {
  owner_links_fixture() {
    links.OnUp(kOwner, kProcess);
    links.OnJobSent(kOwner, job);
    job.boot_limit = clock.boot_now() + std::chrono::seconds(20);
  }

  // Until the job's runs must be over.
  duration Left() { return links.EndOfRuns(job) - clock.boot_now(); }

  manual_scheduler clock;
  home_job_map jobs;
  home_job& job = jobs[job_key("00000000000000aa")];
  return_bound bound{milliseconds(1300)};
  owner_links links{clock, jobs, bound};
};

}  // namespace

// Guards against runs that go on for an owner that does not come back.
TEST_CASE("owner_links: an owner that stays away loses its jobs") {
  owner_links_fixture f;
  f.links.OnDown(kOwner);
  f.clock.Advance(milliseconds(150));
  CHECK(f.links.Abandoned().empty());
  f.clock.Advance(milliseconds(100));
  CHECK(f.links.Abandoned().size() == 1);
}

// Guards against stopping the runs of an owner whose link broke for a moment.
TEST_CASE("owner_links: an owner that sends its job again keeps it") {
  owner_links_fixture f;
  f.links.OnDown(kOwner);
  f.clock.Advance(milliseconds(150));
  CHECK(f.links.OnUp(kOwner, kProcess).empty());
  f.clock.Advance(milliseconds(140));
  CHECK(f.links.Abandoned().empty());
  f.links.OnJobSent(kOwner, f.job);
  CHECK(!f.job.orphaned);
  f.clock.Advance(std::chrono::seconds(10));
  CHECK(f.links.Abandoned().empty());
}

// Guards against taking an owner's new link for its interest in the job.
TEST_CASE("owner_links: an owner that is back without its job loses it") {
  owner_links_fixture f;
  f.links.OnDown(kOwner);
  f.clock.Advance(milliseconds(10));
  CHECK(f.links.OnUp(kOwner, kProcess).empty());
  f.clock.Advance(milliseconds(160));
  CHECK(f.links.Abandoned().size() == 1);
}

// Guards against runs that outlive their caller's absence: an owner that stood
// still for a second is linked again and has lost its job meanwhile.
TEST_CASE("owner_links: an owner that is back soon has little time") {
  owner_links_fixture f;
  f.links.OnDown(kOwner);
  f.clock.Advance(milliseconds(50));
  CHECK(f.links.OnUp(kOwner, kProcess).empty());
  f.clock.Advance(milliseconds(100));
  CHECK(f.links.Abandoned().empty());
  f.clock.Advance(milliseconds(60));
  CHECK(f.links.Abandoned().size() == 1);
}

// Guards against a link that breaks again and again and so keeps a job.
TEST_CASE("owner_links: repeated breaks do not prolong the grace period") {
  owner_links_fixture f;
  for (int i = 0; i < 8; ++i) {
    f.links.OnDown(kOwner);
    f.clock.Advance(milliseconds(50));
    f.links.OnUp(kOwner, kProcess);
    f.clock.Advance(milliseconds(50));
  }
  CHECK(f.links.Abandoned().size() == 1);
}

// Guards against runs that outlive the process which asked for them.
TEST_CASE("owner_links: a new process of the owner has no jobs") {
  owner_links_fixture f;
  f.links.OnDown(kOwner);
  CHECK(f.links.OnUp(kOwner, kNextProcess).size() == 1);
  f.links.OnJobSent(kOwner, f.job);
  f.links.OnDown(kOwner);
  CHECK(f.links.OnUp(kOwner, kNextProcess).empty());
}

// Guards against stopping jobs of owners whose links are up.
TEST_CASE("owner_links: other owners keep their jobs") {
  owner_links_fixture f;
  f.links.OnUp(instance_id("entry-2"), kProcess);
  f.links.OnDown(instance_id("entry-2"));
  CHECK(f.links.OnUp(instance_id("entry-2"), kNextProcess).empty());
  f.clock.Advance(std::chrono::seconds(10));
  CHECK(f.links.Abandoned().empty());
}

// Guards against runs for an owner of which nothing is known but its link.
TEST_CASE("owner_links: an owner that has not confirmed starts nothing") {
  owner_links_fixture f;
  CHECK(!f.links.MayStart(f.job));
  time_point sent = f.clock.boot_now();
  f.clock.Advance(milliseconds(2));
  CHECK(f.links.OnConfirmed(kOwner, sent));
  CHECK(f.links.MayStart(f.job));
  CHECK(!f.links.OnConfirmed(kOwner, sent));
}

// Guards against runs that outlive an owner which falls silent.
TEST_CASE("owner_links: the runs of an owner that falls silent must end") {
  owner_links_fixture f;
  f.job.tasks.Order(*f.job.tasks.TryAdd({0, 0}).first, upstream_id("u1"));
  f.links.OnConfirmed(kOwner, f.clock.boot_now());
  CHECK(f.Left() == milliseconds(1250));
  f.clock.Advance(milliseconds(500));
  CHECK(!f.links.MayStart(f.job));
  CHECK(f.links.Unconfirmed().empty());
  f.clock.Advance(milliseconds(560));
  CHECK(f.links.Unconfirmed().size() == 1);
  // A message that was on its way for long says little.
  f.links.OnConfirmed(kOwner, f.clock.boot_now() - milliseconds(900));
  CHECK(f.Left() == milliseconds(350));
}

// Guards against runs that a confirmation keeps although their job was
// cancelled, or sent by an earlier process of the owner.
TEST_CASE("owner_links: a confirmation says nothing of jobs that ended") {
  owner_links_fixture f;
  f.links.OnConfirmed(kOwner, f.clock.boot_now());
  time_point end = f.links.EndOfRuns(f.job);
  SUBCASE("cancelled") {
    f.links.Cancel(f.job);
  }
  SUBCASE("sent over a link that broke") {
    f.links.OnDown(kOwner);
    f.clock.Advance(milliseconds(10));
    f.links.OnUp(kOwner, kProcess);
  }
  SUBCASE("sent by an earlier process") {
    f.links.OnDown(kOwner);
    f.links.OnUp(kOwner, kNextProcess);
  }
  f.clock.Advance(milliseconds(300));
  f.links.OnConfirmed(kOwner, f.clock.boot_now());
  CHECK(f.links.EndOfRuns(f.job) == end);
}

// Guards against runs that outlive their caller's patience: the owner notices
// the job's limit some time after it.
TEST_CASE("owner_links: the job's limit bounds its runs") {
  owner_links_fixture f;
  f.job.boot_limit = f.clock.boot_now() + milliseconds(100);
  f.clock.Advance(milliseconds(300));
  f.links.OnConfirmed(kOwner, f.clock.boot_now());
  CHECK(f.Left() == milliseconds(1050));
}

// Guards against leases that a home prolongs after its machine was suspended:
// its steady clock stood still meanwhile.
TEST_CASE("owner_links: time for which the machine was suspended counts") {
  owner_links_fixture f;
  f.links.OnConfirmed(kOwner, f.clock.boot_now());
  f.clock.Suspend(milliseconds(700));
  CHECK(f.Left() == milliseconds(550));
  CHECK(!f.links.MayStart(f.job));
}

// Guards against runs that outlive a job of the home itself, which stood still.
TEST_CASE("owner_links: this instance confirms its own jobs") {
  owner_links_fixture f;
  f.links.OnJobSent(instance_id("home"), f.job);
  f.links.OnOwnConfirmed(f.clock.boot_now());
  f.clock.Pause(milliseconds(900));
  CHECK(f.Left() == milliseconds(350));
}

// Guards against bounds that hold for one deployment only.
TEST_CASE("return_bound: what runs may take follows from the callers' return") {
  for (int ms : {1000, 1300, 2500}) {
    duration resend_after = milliseconds(ms);
    return_bound bound(resend_after);
    duration lease = bound.MaxLease(milliseconds(1000));
    CHECK(lease <= milliseconds(1000));
    time_point now(std::chrono::hours(1));
    // The oldest confirmation with which a task may start beside such a lease.
    time_point confirmed = now;
    while (bound.MayStart(now, bound.EndOfRuns(confirmed)))
      confirmed -= milliseconds(1);
    CHECK(now + lease < confirmed + milliseconds(1) + resend_after);
    CHECK(confirmed < now - milliseconds(400));
    CHECK(!bound.MustStop(now, bound.EndOfRuns(confirmed)));
  }
}

}  // namespace jasminedyke
