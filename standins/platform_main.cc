// Program: a stand-in for the platform.

#include <cstdio>
#include <exception>
#include <fstream>
#include <string>

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include "standins/platform_standin.h"

namespace {

using namespace jasminedyke;
using nlohmann::json;

json ReadJson(const std::string& file) {
  std::ifstream stream(file);
  if (!stream)
    throw std::runtime_error("can't read " + file);
  return json::parse(stream);
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"A stand-in for the platform: tables and the instance list."};
  std::string listen = "127.0.0.1:0";
  std::string instances_file;
  std::string configuration_file;
  uint64_t seed = 1;
  app.add_option("--listen", listen, "IP:PORT");
  app.add_option("--instances", instances_file, "JSON array of instances");
  app.add_option("--configuration", configuration_file,
                 "JSON document to start with");
  app.add_option("--seed", seed, "of the random faults");
  CLI11_PARSE(app, argc, argv);
  try {
    auto address = socket_address::Parse(listen);
    if (!address)
      throw std::runtime_error("--listen must be IP:PORT");
    event_loop loop;
    platform_standin platform(loop, seed);
    if (!instances_file.empty())
      platform.SetInstances(ReadJson(instances_file));
    if (!configuration_file.empty())
      platform.Put("configuration", "current", ReadJson(configuration_file));
    std::printf("listening on %s\n",
                platform.Listen(*address).ToString().c_str());
    std::fflush(stdout);
    loop.OnStopSignal([&] { loop.Stop(); });
    loop.Run();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "platform stand-in: %s\n", error.what());
    return 1;
  }
  return 0;
}
