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
  }

  manual_scheduler clock;
  home_job_map jobs;
  home_job& job = jobs[job_key("00000000000000aa")];
  owner_links links{clock, jobs};
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

}  // namespace jasminedyke
