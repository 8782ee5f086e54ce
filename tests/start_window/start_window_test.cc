// A home whose link carries fewer messages than its callers and upstreams
// would use.

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "fakes/home_fixture.h"

namespace jasminedyke {

namespace {

using std::chrono::milliseconds;

// One direction of it: what is sent waits for all that was sent before.
class thin_link {
 public:
  thin_link(scheduler& clock, double bytes_per_second)
      : clock_(clock), rate_(bytes_per_second) {}

  void Send(double bytes, std::function<void()> arrived) {
    free_at_ = std::max(free_at_, clock_.now()) + FromSeconds(bytes / rate_);
    clock_.CallAfter(free_at_ - clock_.now(), std::move(arrived));
  }

 private:
  scheduler& clock_;
  double rate_;
  time_point free_at_ = clock_.now();
};

// Of a start, a job and whatever else is sent, with all headers.
constexpr double kStartBytes = 1700;
constexpr double kJobBytes = 1700;
constexpr double kOtherBytes = 250;

// Calls that pass the home's link both ways, and count as unanswered after
// their time whatever arrives later.
class thin_port : public upstream_port {
 public:
  thin_port(scheduler& clock,
            upstream_port& next,
            thin_link& out,
            thin_link& in)
      : clock_(clock), next_(next), out_(out), in_(in) {}

  void Start(const upstream_id& id,
             const run_order& order,
             start_callback done) override {
    Call<start_reply>(kStartBytes, kStartTime, {}, std::move(done),
                      [this, id, order](start_callback back) {
                        next_.Start(id, order, std::move(back));
                      });
  }
  void Stop(const upstream_id& id,
            const stop_order& order,
            stop_callback done) override {
    Call<call_result>(kOtherBytes, order.patience, call_result::kUnknown,
                      std::move(done), [this, id, order](stop_callback back) {
                        next_.Stop(id, order, std::move(back));
                      });
  }
  void Hold(const upstream_id& id,
            const hold_order& order,
            hold_callback done) override {
    Call<hold_reply>(kOtherBytes, order.wait + order.patience, {},
                     std::move(done), [this, id, order](hold_callback back) {
                       next_.Hold(id, order, std::move(back));
                     });
  }
  void Drop(const upstream_id& id) override {
    ++generation_;
    next_.Drop(id);
  }

 private:
  static constexpr duration kStartTime = milliseconds(300);

  template <class Reply>
  void Call(double bytes,
            duration patience,
            Reply unanswered,
            std::function<void(const Reply&)> done,
            std::function<void(std::function<void(const Reply&)>)> call) {
    auto once = [this, done = std::move(done), over = std::make_shared<bool>(),
                 generation = generation_](const Reply& reply) {
      if (std::exchange(*over, true) || generation != generation_)
        return;
      done(reply);
    };
    clock_.CallAfter(patience, [once, unanswered] { once(unanswered); });
    out_.Send(bytes, [this, once, call = std::move(call)] {
      call([this, once](const Reply& reply) {
        in_.Send(kOtherBytes, [once, reply] { once(reply); });
      });
    });
  }

  scheduler& clock_;
  upstream_port& next_;
  thin_link& out_;
  thin_link& in_;
  // Of all upstreams: they are dropped together.
  int generation_ = 0;
};

// Callers of jobs of four short tasks, as many a second as a test says.
struct busy_home : home_fixture {
  explicit busy_home(double bytes_per_second = 250'000)
      : out(clock, bytes_per_second), in(clock, bytes_per_second) {
    for (int i = 0; i < 24; ++i)
      fleet.Add("u-" + std::to_string(i), "north");
    home.Begin(fencing_token(1));
    home.SetUpstreams(fleet.registry, true);
    clock.Advance(std::chrono::seconds(1));
  }

  void Submit() {
    run_request request = Request(kTasks, Demand());
    std::string number = std::to_string(++submitted);
    request.job = job_key(std::string(16 - number.size(), '0') + number);
    asked[request.job] = clock.now();
    in.Send(kJobBytes, [this, request] { home.OnRequest(kOwner, request); });
  }

  // How many of those submitted meanwhile are answered in useful time, and
  // then none waits any more.
  size_t Served(int per_second, duration length) {
    reports.clear();
    asked.clear();
    time_point end = clock.now() + length;
    double owed = 0;
    size_t seen = 0;
    size_t served = 0;
    auto step = [&] {
      clock.Advance(milliseconds(1));
      for (; seen < reports.size(); ++seen)
        served += IsServed(reports[seen]) ? 1 : 0;
    };
    while (clock.now() < end) {
      owed += per_second / 1000.0;
      for (; owed >= 1; --owed)
        Submit();
      step();
    }
    // The last ones' answers; what comes after `kUseful` does not count.
    while (clock.now() < end + kUseful && count_last)
      step();
    return served;
  }

  bool IsServed(const run_report& report) {
    auto found = asked.find(report.job);
    if (report.refusal != run_refusal::kNone || found == asked.end())
      return false;
    done[report.job] += report.tasks.size();
    return done[report.job] == kTasks && clock.now() - found->second <= kUseful;
  }

  static constexpr uint32_t kTasks = 4;
  static constexpr duration kUseful = milliseconds(468);
  bool count_last = true;
  int submitted = 0;
  std::map<job_key, time_point> asked;
  std::map<job_key, size_t> done;
  thin_link out;
  thin_link in;
  thin_port thin{clock, port, out, in};
  run_home home{clock,
                thin,
                {failure_domain_id("north"), 0},
                {},
                [this](const instance_id&, const run_report& report) {
                  out.Send(kOtherBytes,
                           [this, report] { reports.push_back(report); });
                },
                [] {}};
};

constexpr duration kWhile = std::chrono::seconds(4);

struct best_load {
  int per_second = 0;
  size_t served = 0;
};

// What the home carries at most.
best_load Best() {
  best_load best;
  for (int load = 10; load <= 50; load += 5) {
    size_t served = busy_home().Served(load, kWhile);
    if (served > best.served)
      best = {load, served};
  }
  return best;
}

}  // namespace

TEST_CASE("start_window: twice the load that a home carries") {
  // Each start waits behind all others on the link, so none is of use.
  best_load best = Best();
  size_t served = busy_home().Served(best.per_second * 2, kWhile);
  MESSAGE("best " << best.served << " at " << best.per_second
                  << " a second, at twice that " << served);
  CHECK(static_cast<double>(served) >= 0.8 * static_cast<double>(best.served));
}

TEST_CASE("start_window: the crowd is over") {
  // The home goes on as if its link were full.
  best_load best = Best();
  busy_home home;
  home.count_last = false;
  home.Served(best.per_second * 2, kWhile);
  home.Served(best.per_second / 2, std::chrono::seconds(2));
  home.count_last = true;
  size_t served = home.Served(best.per_second / 2, kWhile);
  auto owed = static_cast<double>(best.per_second) / 2 * ToSeconds(kWhile);
  CHECK(static_cast<double>(served) >= 0.98 * owed);
}

TEST_CASE(
    "start_window: some upstreams answer late for a reason of their own") {
  // Their answers close the window for all others.
  busy_home home(250'000'000);
  std::mt19937 random(3);
  home.fleet.fate = [&](const upstream_id& id, const std::string&) {
    bool ill = id.str() == "u-1" || id.str() == "u-2";
    return ill && random() % 2 == 0 ? call_fate::kReplyLost
                                    : call_fate::kAnswered;
  };
  home.fleet.detour = [&] {
    return random() % 8 == 0 ? milliseconds(150) : milliseconds(0);
  };
  size_t served = home.Served(100, kWhile);
  CHECK(static_cast<double>(served) >= 0.9 * 100 * ToSeconds(kWhile));
}

TEST_CASE("start_window: the link breaks with the window full") {
  // Starts without an answer keep their places for ever.
  best_load best = Best();
  busy_home home;
  home.count_last = false;
  home.Served(best.per_second * 2, kWhile);
  home.fleet.fate = [](const upstream_id&, const std::string&) {
    return call_fate::kRequestLost;
  };
  home.Served(best.per_second * 2, milliseconds(500));
  home.fleet.fate = [](const upstream_id&, const std::string&) {
    return call_fate::kAnswered;
  };
  home.Served(best.per_second / 2, std::chrono::seconds(2));
  home.count_last = true;
  size_t served = home.Served(best.per_second / 2, kWhile);
  auto owed = static_cast<double>(best.per_second) / 2 * ToSeconds(kWhile);
  CHECK(static_cast<double>(served) >= 0.95 * owed);
}

TEST_CASE("start_window: the home ends with the window full") {
  // Its next term would begin with the places taken by the last one's starts.
  best_load best = Best();
  busy_home home;
  home.count_last = false;
  home.Served(best.per_second * 2, kWhile);
  home.home.End();
  home.clock.Advance(std::chrono::seconds(2));
  home.home.Begin(fencing_token(2));
  home.home.SetUpstreams(home.fleet.registry, true);
  home.clock.Advance(std::chrono::seconds(2));
  home.count_last = true;
  size_t served = home.Served(best.per_second / 2, kWhile);
  auto owed = static_cast<double>(best.per_second) / 2 * ToSeconds(kWhile);
  CHECK(static_cast<double>(served) >= 0.95 * owed);
}

}  // namespace jasminedyke
