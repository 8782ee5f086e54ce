// Whom a home with room asks for work, and what a pressed home gives.

#include <vector>

#include <doctest/doctest.h>

#include "policy/policy.h"

namespace jasminedyke {

namespace {

using std::chrono::milliseconds;

const failure_domain_id kNorth("north");
const failure_domain_id kSouth("south");
const failure_domain_id kWest("west");

home_pressure Pressure(const failure_domain_id& domain,
                       int64_t free_cores,
                       duration wait) {
  return {domain, free_cores * 1000, 100'000, wait};
}

// Needs a core for 100 ms and is in time if it begins within 50 ms.
waiting_work Work() {
  waiting_work work;
  work.cpu_millis = 1000;
  work.core_seconds = 0.1;
  work.longest_task = milliseconds(100);
  work.to_objective = milliseconds(150);
  work.to_uselessness = milliseconds(450);
  work.may_go = true;
  return work;
}

}  // namespace

TEST_CASE("work_seeker: asks the pressed homes by what waits there") {
  manual_scheduler clock;
  work_seeker seeker(clock);
  auto asks = seeker.Ask(Pressure(kNorth, 50, duration::zero()),
                         {Pressure(kSouth, 0, milliseconds(30)),
                          Pressure(kWest, 0, milliseconds(90))});
  CHECK(asks == std::vector<work_ask>{{kSouth, 10'000}, {kWest, 30'000}});
}

TEST_CASE("work_seeker: the same room is not offered twice at a time") {
  manual_scheduler clock;
  work_seeker seeker(clock);
  home_pressure own = Pressure(kNorth, 50, duration::zero());
  std::vector<home_pressure> others{Pressure(kSouth, 0, milliseconds(30))};
  CHECK(seeker.Ask(own, others).size() == 1);
  clock.Advance(milliseconds(25));
  CHECK(seeker.Ask(own, others).empty());
  clock.Advance(milliseconds(50));
  CHECK(seeker.Ask(own, others).size() == 1);
}

TEST_CASE("work_seeker: neither with jobs of its own nor with little room") {
  manual_scheduler clock;
  work_seeker seeker(clock);
  std::vector<home_pressure> others{Pressure(kSouth, 0, milliseconds(30))};
  CHECK(seeker.Ask(Pressure(kNorth, 50, milliseconds(1)), others).empty());
  CHECK(seeker.Ask(Pressure(kNorth, 5, duration::zero()), others).empty());
}

TEST_CASE("work_seeker: nobody is asked whose jobs hardly wait") {
  manual_scheduler clock;
  work_seeker seeker(clock);
  CHECK(seeker
            .Ask(Pressure(kNorth, 50, duration::zero()),
                 {Pressure(kSouth, 0, milliseconds(10))})
            .empty());
}

TEST_CASE("gifts: those that would be late here and are in time elsewhere") {
  // With 4 usable cores the wait grows by 25 ms with each job.
  std::vector<waiting_work> in_order(4, Work());
  CHECK(ChooseGifts(in_order, 5, 100'000) == std::vector<size_t>{2, 3});
  CHECK(ChooseGifts(in_order, 5, 1000) == std::vector<size_t>{2});
  in_order[2].may_go = false;
  CHECK(ChooseGifts(in_order, 5, 100'000) == std::vector<size_t>{3});
}

TEST_CASE("gifts: in time elsewhere goes before late elsewhere") {
  std::vector<waiting_work> in_order(30, Work());
  in_order[20].to_objective = milliseconds(50);
  auto gifts = ChooseGifts(in_order, 5, 100'000);
  REQUIRE(!gifts.empty());
  CHECK(gifts.front() == 2);
  CHECK(gifts.back() == 20);
}

TEST_CASE("gifts: what is of no use anywhere stays") {
  std::vector<waiting_work> in_order(4, Work());
  for (waiting_work& work : in_order) {
    work.to_objective = milliseconds(50);
    work.to_uselessness = milliseconds(105);
  }
  CHECK(ChooseGifts(in_order, 5, 100'000).empty());
}

}  // namespace jasminedyke
