// How descriptors and memory are shared out.

#include <doctest/doctest.h>

#include "daemon/daemon.h"
#include "fakes/descriptor_limit.h"
#include "platform_settings.h"

namespace jasminedyke {
namespace {

constexpr size_t kMegabyte = 1024 * 1024;

// Guards against callers who leave no descriptors to the daemon's own work.
TEST_CASE("process_limits: half of the descriptors are for callers") {
  CHECK(CallersLimits({4100, 0}).places.most == 2050);
  CHECK(CallersLimits({64, 0}).places.most == 32);
  for (size_t descriptors : {32U, 64U, 256U, 1024U, 4100U, 65'536U}) {
    process_limits process{descriptors, 0};
    CHECK(CallersLimits(process).places.most +
              2 * WatchersLimits(process).places.most +
              MostUnprovenPeers(process) <=
          descriptors - descriptors / 4);
    CHECK(WatchersLimits(process).places.most >= 2);
  }
}

// Guards against a limit that is not the process's own.
TEST_CASE("process_limits: the limit of descriptors is read") {
  descriptor_limit few(77);
  CHECK(OwnLimits(0).descriptors == 77);
}

// Guards against bodies that take all of the memory, and against a limit below
// what operators allow callers.
TEST_CASE("process_limits: requests get a part of the memory") {
  http_server_limits usual = CallersLimits({1024, 256 * kMegabyte});
  CHECK(usual.max_body_bytes == 2 * kMegabyte);
  CHECK(usual.max_held_bytes == 32 * kMegabyte);
  http_server_limits small = CallersLimits({1024, 16 * kMegabyte});
  CHECK(small.max_body_bytes == kMegabyte / 4);
  CHECK(small.max_held_bytes == 4 * kMegabyte);
  CHECK(CallersLimits({1024, 0}).max_held_bytes == 0);
}

// Guards against peers' frames that take all of the memory.
TEST_CASE("process_limits: links to peers get a part of the memory") {
  link_limits usual = PeersLimits({1024, 256 * kMegabyte});
  CHECK(usual.max_held == 64 * kMegabyte);
  CHECK(usual.max_frame == 16 * kMegabyte);
  link_limits small = PeersLimits({1024, 16 * kMegabyte});
  CHECK(small.max_held == 32 * kMegabyte);
  CHECK(small.max_frame == 4 * kMegabyte);
  CHECK(PeersLimits({1024, 0}).max_held == 0);
}

// Guards against jobs that together take all of the memory, and against a bound
// that the largest job doesn't pass.
TEST_CASE("process_limits: all jobs together get a part of the memory") {
  CHECK(MostOpenTasks({1024, 256 * kMegabyte}) == 159'783);
  CHECK(MostOpenTasks({1024, 16 * kMegabyte}) == 100'000);
  CHECK(MostOpenTasks({1024, 0}) == 0);
}

// Guards against a daemon on the operators' platform that has no bound.
TEST_CASE("process_limits: memory has a default on the platform") {
  CHECK(platform_settings().memory_mb == 256);
  CHECK(OwnLimits(platform_settings().memory_mb).memory_bytes ==
        256 * kMegabyte);
}

}  // namespace
}  // namespace jasminedyke
