// Callers' requests over real sockets: what becomes no job.

#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "fakes/fake_peers.h"
#include "fakes/fake_tables.h"
#include "fakes/fake_upstreams.h"
#include "fakes/raw_socket.h"
#include "job_ingress.h"
#include "routing_document.h"

namespace jasminedyke {

namespace {

const std::string kConfig = R"({"version": 3, "limits": {}, "services": [],
  "routes": [{"name": "r", "hostname": "parts.example", "path_prefix": "/q/",
              "service": "parts"}]})";

entry_member Self() {
  entry_member self;
  self.instance = instance_id("north-1");
  self.incarnation = incarnation_id("1");
  self.domain = failure_domain_id("north");
  return self;
}

// An instance without any upstream, and its port for callers.
struct ingress_fixture {
  ingress_fixture() { address = server.Listen({"127.0.0.1", 0}); }

  // The first line and headers of the answer to `bytes`.
  std::string Ask(const std::string& bytes) {
    raw_client client(address);
    client.Write(bytes);
    RunUntil(loop, [&] {
      client.Read();
      return client.received.find("\r\n\r\n") != std::string::npos ||
             client.ended;
    });
    return client.received;
  }

  std::string Post(const std::string& path, const std::string& body) {
    return Ask("POST " + path + " HTTP/1.1\r\nHost: parts.example\r\n" +
               "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
               body);
  }

  uint64_t Rejected(const std::string& reason) {
    auto found = ingress.metrics().rejections.find(reason);
    return found == ingress.metrics().rejections.end() ? 0 : found->second;
  }

  event_loop loop;
  fake_network network{loop};
  fake_tables tables{loop};
  fake_fleet fleet{loop};
  fake_upstream_port upstreams{fleet, "north-1"};
  entry_member self = Self();
  fake_peer_port peers{network,
                       {instance_id("north-1"), incarnation_id("1"),
                        failure_domain_id("north")}};
  run_cluster cluster{loop,
                      peers,
                      tables,
                      upstreams,
                      self,
                      run_home::settings(),
                      {ParseRoutingConfig, WriteRoutingConfig}};
  job_ingress ingress{loop, cluster};
  http_server server{loop, http_server_limits(),
                     [this](const http_exchange_ptr& e) { ingress.Handle(e); }};
  socket_address address;
};

bool Has(const std::string& answer, const std::string& part) {
  return answer.find(part) != std::string::npos;
}

}  // namespace

TEST_CASE(
    "job_ingress: before a configuration, callers are told to come back") {
  ingress_fixture f;
  std::string answer = f.Post("/q/00000000000000aa", "{}");
  CHECK(Has(answer, "HTTP/1.1 503"));
  CHECK(Has(answer, "Retry-After: 1"));
  CHECK(f.Rejected("no_configuration") == 1);
}

TEST_CASE("job_ingress: requests that make no sense") {
  // Each gets a clear answer and is counted under its reason, and the next
  // caller is served as if nothing had been.
  ingress_fixture f;
  f.cluster.OnConfigDocument(kConfig, "store");
  CHECK(Has(f.Post("/other/00000000000000aa", "{}"), "HTTP/1.1 404"));
  CHECK(f.Rejected("no_route") == 1);
  CHECK(Has(f.Post("/q/not-an-id", "{}"), "HTTP/1.1 404"));
  CHECK(f.Rejected("no_job_id") == 1);
  CHECK(Has(f.Post("/q/00000000000000aa", "{"), "HTTP/1.1 400"));
  CHECK(Has(f.Post("/q/00000000000000aa", "{\"steps\": 1}"), "HTTP/1.1 400"));
  CHECK(f.Rejected("malformed") == 2);
  std::string giant(64 * 1024, 'x');
  std::string answer = f.Ask(
      "GET /q/ HTTP/1.1\r\nHost: parts.example\r\nX: " + giant + "\r\n\r\n");
  CHECK(!Has(answer, "HTTP/1.1 200"));
  answer = f.Ask("GET /q/ HTTP/1.1\r\nHost: parts.example\r\n\r\n");
  CHECK(Has(answer, "HTTP/1.1 200"));
}

// Guards against a job that takes the memory or the processor from all others,
// and against amounts that overflow or count as free room.
TEST_CASE("job_ingress: jobs that no deployment could hold") {
  ingress_fixture f;
  f.cluster.OnConfigDocument(kConfig, "store");
  std::string message;
  std::string steps;
  SUBCASE("too many tasks in a step") {
    steps = R"({"task_count": 10001})";
    message = "steps[0].task_count: must be from 1 to 10000";
  }
  SUBCASE("too many tasks in all") {
    for (int i = 0; i < 10; ++i)
      steps += R"({"task_count": 10000},)";
    steps += "{}";
    message = "steps: must have at most 100000 tasks in all";
  }
  SUBCASE("too many steps") {
    for (int i = 0; i < 5000; ++i)
      steps += "{},";
    steps += "{}";
    message = "steps: must have at most 5000 steps";
  }
  SUBCASE("a negative need") {
    steps = R"({"cpu": 500}, {"cpu": -500})";
    message = "steps[1].cpu: must be from 0 to 1000000000";
  }
  SUBCASE("a need beyond any upstream") {
    steps = R"({"mem_mb": 9223372036854775807})";
    message = "steps[0].mem_mb: must be from 0 to 1000000000";
  }
  SUBCASE("a need that no signed number holds") {
    steps = R"({"gpus": 18446744073709551615})";
    message = "steps[0].gpus: must be from 0 to 1000000000";
  }
  SUBCASE("a long name") {
    steps = R"({"required_label": ")" + std::string(201, 'x') + "\"}";
    message = "steps[0].required_label: must have at most 200 bytes";
  }
  CHECK(Has(f.Post("/q/00000000000000aa", "{\"steps\": [" + steps + "]}"),
            "HTTP/1.1 400"));
  CHECK(f.Rejected("malformed") == 1);
  auto job =
      ParseJob("00000000000000aa", route(), "{\"steps\": [" + steps + "]}");
  REQUIRE(!job.ok());
  CHECK(job.error().ToString() == message);
}

// Guards against times that overflow: the sum of a long estimate and the time
// of day lies in the past.
TEST_CASE("job_ingress: estimates beyond all bounds are taken as a day") {
  auto job = ParseJob("00000000000000aa", route(),
                      R"({"steps": [{"estimated_ms": 9223372036854775807},
                                    {"estimated_ms": -5},
                                    {"estimated_ms": 70}]})");
  REQUIRE(job.ok());
  CHECK(job.value().steps[0].estimate == std::chrono::hours(24));
  CHECK(job.value().steps[1].estimate == duration::zero());
  CHECK(job.value().steps[2].estimate == std::chrono::milliseconds(70));
}

// Guards against a list that is walked at each end of a step and may be as long
// as the body.
TEST_CASE("job_ingress: a step names each earlier one once") {
  auto job = ParseJob("00000000000000aa", route(),
                      R"({"steps": [{}, {}, {"after": [1, 0, 1, 1, 0]}]})");
  REQUIRE(job.ok());
  CHECK(job.value().steps[2].after == std::vector<uint32_t>{0, 1});
}

// Guards against "no such queue" from an instance that is behind.
TEST_CASE("job_ingress: an unknown path while a newer configuration is known") {
  ingress_fixture f;
  f.cluster.OnConfigDocument(kConfig, "store");
  peer_status status;
  status.config = config_version(1'000'000);
  f.cluster.OnPeerMessage(instance_id("north-2"), status);
  const char kGet[] = "GET /new/ HTTP/1.1\r\nHost: parts.example\r\n\r\n";
  SUBCASE("it comes in time") {
    f.loop.CallAfter(std::chrono::milliseconds(20), [&] {
      std::string later = kConfig;
      size_t version = later.find("\"version\":") + 10;
      later.replace(version, later.find(',') - version, "1000000");
      size_t prefix = later.find("/q/");
      later.replace(prefix, 3, "/new/");
      f.cluster.OnConfigDocument(later, "store");
    });
    CHECK(Has(f.Ask(kGet), "HTTP/1.1 200"));
  }
  SUBCASE("it does not come") {
    std::string answer = f.Ask(kGet);
    CHECK(Has(answer, "HTTP/1.1 503"));
    CHECK(Has(answer, "Retry-After: 1"));
    CHECK(f.Rejected("configuration_behind") == 1);
  }
}

// Guards against many jobs in small bodies that together take all of the
// memory.
TEST_CASE("job_ingress: the tasks of all open jobs are bounded") {
  ingress_fixture f;
  f.cluster.OnConfigDocument(kConfig, "store");
  f.ingress.SetMostTasks(7);
  const std::string fits =
      R"({"best_effort": true, "steps": [{"task_count": 7}]})";
  const std::string more =
      R"({"best_effort": true, "steps": [{"task_count": 7}, {}]})";
  std::string answer = f.Post("/q/00000000000000aa", more);
  CHECK(Has(answer, "HTTP/1.1 503"));
  CHECK(Has(answer, "Retry-After: 1"));
  CHECK(f.Rejected("too_many_tasks") == 1);
  // Twice, as what has been answered counts no more.
  f.Post("/q/00000000000000bb", fits);
  f.Post("/q/00000000000000cc", fits);
  CHECK(f.Rejected("too_many_tasks") == 1);
}

TEST_CASE("job_ingress: a caller that sends slowly holds up nobody") {
  // It stops in the middle of its request. Another caller is answered
  // meanwhile, and then so is the first.
  ingress_fixture f;
  f.cluster.OnConfigDocument(kConfig, "store");
  raw_client slow(f.address);
  slow.Write("GET /q/ HTTP/1.1\r\nHost: par");
  std::string answer = f.Ask("GET /q/ HTTP/1.1\r\nHost: parts.example\r\n\r\n");
  CHECK(Has(answer, "HTTP/1.1 200"));
  slow.Write("ts.example\r\n\r\n");
  CHECK(RunUntil(f.loop, [&] {
    slow.Read();
    return Has(slow.received, "HTTP/1.1 200");
  }));
}

}  // namespace jasminedyke
