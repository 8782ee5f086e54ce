// Fuzz targets for all bytes that come from outside. One program; the first
// byte of an input chooses the target, so one corpus serves all.

#include <cstddef>
#include <cstdint>
#include <string>

#include <nlohmann/json.hpp>

#include "daemon/daemon.h"
#include "document_codec.h"
#include "entry/entry.h"
#include "fuzz/fuzz_targets.h"
#include "protocol/protocol.h"
#include "routing_document.h"
#include "store/store.h"

namespace jasminedyke {

namespace {

void FuzzJob(const std::string& bytes) {
  (void)ParseJob(bytes);
}

void FuzzConfiguration(const std::string& bytes) {
  auto document = nlohmann::json::parse(bytes, nullptr, false);
  if (document.is_discarded())
    return;
  (void)ParseConfiguration(document, unknown_fields::kRefuse);
  (void)ParseConfiguration(document, unknown_fields::kIgnore);
  if (auto routing = ParseRoutingConfig(bytes))
    (void)ParseRoutingConfig(WriteRoutingConfig(*routing));
}

void FuzzSettings(const std::string& bytes) {
  (void)ParseSettings(bytes);
}

void FuzzFrame(const std::string& bytes) {
  wire_names names;
  names.Load({"u0", "u1", "lahore"});
  auto frame = DecodeFrame(bytes, names);
  // What was understood can be said again.
  if (frame.ok())
    (void)EncodeFrame(frame.value(), names);
}

void FuzzMembership(const std::string& bytes) {
  (void)ParseMembership(bytes);
}

void FuzzJobId(const std::string& bytes) {
  auto id = job_id::Parse(bytes);
  // Two texts of one id would let a submission run twice.
  if (id && id->ToString() != bytes)
    __builtin_trap();
}

// A row of the upstreams' registrations, as it comes from the platform's store.
void FuzzRegistration(const std::string& bytes) {
  table_snapshot table;
  table.rows["u"] = {1, bytes};
  for (const auto& [id, info] : upstream_rows().Parse(table)) {
    // Whoever is named can be called and has room that is not negative.
    if (!socket_address::Parse(info.address) || info.capacity.cpu_millis < 0)
      __builtin_trap();
  }
}

using target = void (*)(const std::string& bytes);
constexpr target kTargets[] = {FuzzJob,         FuzzConfiguration, FuzzSettings,
                               FuzzFrame,       FuzzMembership,    FuzzJobId,
                               FuzzRegistration};
constexpr size_t kTargetCount = sizeof(kTargets) / sizeof(kTargets[0]);

}  // namespace

void FuzzOne(const uint8_t* data, size_t size) {
  if (size == 0)
    return;
  std::string bytes(reinterpret_cast<const char*>(data) + 1, size - 1);
  kTargets[data[0] % kTargetCount](bytes);
}

}  // namespace jasminedyke
