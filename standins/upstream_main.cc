// Program: stand-ins for upstreams, many in one process.

#include <cstdio>
#include <exception>
#include <memory>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include "standins/upstream_fleet.h"

int main(int argc, char** argv) {
  using namespace jasminedyke;
  CLI::App app{
      "Stand-ins for upstreams. They listen on consecutive ports; faults are "
      "changed by PUT /standin/faults on the control port."};
  std::string control = "127.0.0.1:0";
  std::string first = "127.0.0.1:0";
  int count = 1;
  double delay_ms = 0;
  upstream_limits limits;
  uint64_t seed = 1;
  app.add_option("--control", control, "IP:PORT of the control interface");
  app.add_option("--listen", first, "IP:PORT of the first upstream");
  app.add_option("--count", count, "number of upstreams")
      ->check(CLI::Range(1, 1000));
  app.add_option("--slots", limits.slots, "slots of each");
  app.add_option("--connections", limits.connections, "connections of each");
  app.add_option("--delay-ms", delay_ms, "network delay each way");
  app.add_option("--seed", seed, "of the random faults");
  CLI11_PARSE(app, argc, argv);
  limits.network_delay = FromMilliseconds(delay_ms);
  try {
    auto control_address = socket_address::Parse(control);
    auto first_address = socket_address::Parse(first);
    if (!control_address || !first_address)
      throw std::runtime_error("addresses must be IP:PORT");
    event_loop loop;
    upstream_fleet fleet(loop, limits, seed);
    for (int i = 0; i < count; ++i)
      fleet.Add(*first_address, i);
    std::printf("control on %s\n",
                fleet.ListenForControl(*control_address).ToString().c_str());
    std::fflush(stdout);
    loop.OnStopSignal([&] { loop.Stop(); });
    loop.Run();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "upstream stand-in: %s\n", error.what());
    return 1;
  }
  return 0;
}
