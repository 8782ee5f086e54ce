// The command line for callers and operators.

#include <cstdio>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include "base/base.h"
#include "http/http.h"
#include "jasminedykectl/fetch.h"
#include "ledger/ledger.h"
#include "version.h"

namespace {

using namespace jasminedyke;
using nlohmann::json;

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;    // the answer is a refusal or a failure
constexpr int kExitUsage = 2;     // the command line is wrong
constexpr int kExitNoAnswer = 3;  // nobody answered, or not in time
// On top of a job's own timeout.
constexpr duration kPatience = std::chrono::seconds(15);

struct options {
  std::string callers;
  std::string operators;
  std::string platform;
  std::string token;
  bool as_json = false;

  std::string work_class;
  std::vector<std::string> payloads;
  int64_t timeout_ms = 30'000;
  std::string id;
  bool mint = false;
  std::string body;
  std::string idempotent;

  std::string name;
  std::string file;
  std::string if_match;
  std::string change;
  int64_t target_ms = 1000;
  bool class_idempotent = false;
  int64_t quota_slots = 0;
  std::vector<std::string> tokens;
  std::vector<std::string> log_files;
};

socket_address Address(const std::string& text, const char* option) {
  auto address = socket_address::Parse(text);
  if (!address)
    throw CLI::ValidationError(option, "must be given as IP:PORT");
  return *address;
}

std::string ReadFile(const std::string& file) {
  std::ifstream stream(file);
  if (!stream)
    throw std::runtime_error("can't read " + file);
  return {std::istreambuf_iterator<char>(stream), {}};
}

http_request MakeRequest(const options& opt,
                         http_method method,
                         std::string path,
                         std::string body = {}) {
  http_request request;
  request.method = method;
  request.path = std::move(path);
  request.body = std::move(body);
  request.headers = {{"Content-Type", "application/json"}};
  if (!opt.token.empty())
    request.headers.emplace_back("Authorization", "Bearer " + opt.token);
  return request;
}

// Answers of a job as lines "task N: BODY"; other JSON indented.
std::string Readable(const std::string& body) {
  json parsed = json::parse(body, nullptr, false);
  if (parsed.is_discarded())
    return body;
  if (!parsed.is_object() || !parsed.contains("answers"))
    return parsed.dump(2) + "\n";
  std::string text =
      "job " + parsed.value("job", "") + " " + parsed.value("state", "") + "\n";
  for (const json& answer : parsed["answers"]) {
    text += "task " + std::to_string(answer.value("task", 0)) + ": " +
            answer.value("body", answer.value("body_base64", "")) + "\n";
  }
  return text;
}

int Print(const options& opt, const http_result& result) {
  if (!result.ok()) {
    std::fprintf(stderr, "jasminedykectl: no answer (%s)\n",
                 result.error().nothing_sent ? "nothing was sent"
                                             : "the outcome is unknown");
    return kExitNoAnswer;
  }
  const http_reply& reply = result.value();
  bool good = reply.status >= 200 && reply.status < 300;
  std::string text = opt.as_json ? reply.body : Readable(reply.body);
  std::fputs(text.c_str(), good ? stdout : stderr);
  return good ? kExitOk : kExitFailed;
}

int CallCallers(const options& opt, const http_request& request) {
  duration timeout = std::chrono::milliseconds(opt.timeout_ms) + kPatience;
  return Print(opt, Fetch(Address(opt.callers, "--callers"), request, timeout));
}

int CallOperators(const options& opt, http_request request) {
  if (!opt.if_match.empty())
    request.headers.emplace_back("If-Match", opt.if_match);
  if (!opt.change.empty())
    request.headers.emplace_back("Jasminedyke-Change", opt.change);
  return Print(
      opt, Fetch(Address(opt.operators, "--operators"), request, kPatience));
}

std::string MintId(const options& opt) {
  http_request request = MakeRequest(opt, http_method::kPost, "/v1/job-ids");
  http_result result =
      Fetch(Address(opt.callers, "--callers"), request, kPatience);
  if (!result.ok() || result.value().status != 200)
    throw std::runtime_error("no job id could be had");
  return json::parse(result.value().body).at("job").get<std::string>();
}

int Submit(const options& opt) {
  json body = {{"class", opt.work_class},
               {"timeout_ms", opt.timeout_ms},
               {"tasks", json::array()}};
  for (const std::string& payload : opt.payloads)
    body["tasks"].push_back({{"payload", payload}});
  http_request request =
      MakeRequest(opt, http_method::kPost, "/v1/jobs", body.dump());
  std::string id = opt.mint ? MintId(opt) : opt.id;
  if (!id.empty())
    request.headers.emplace_back("Jasminedyke-Job", id);
  return CallCallers(opt, request);
}

int Request(const options& opt) {
  http_request request = MakeRequest(
      opt, http_method::kPost, "/v1/requests/" + opt.work_class, opt.body);
  if (!opt.idempotent.empty())
    request.headers.emplace_back("Jasminedyke-Idempotent", opt.idempotent);
  return CallCallers(opt, request);
}

int PutClass(const options& opt) {
  json body = {{"target_ms", opt.target_ms},
               {"idempotent", opt.class_idempotent}};
  return CallOperators(
      opt, MakeRequest(opt, http_method::kPut, "/admin/v1/classes/" + opt.name,
                       body.dump()));
}

int PutTeam(const options& opt) {
  json digests = json::array();
  for (const std::string& token : opt.tokens)
    digests.push_back(Sha256Hex(token));
  json body = {{"token_sha256", digests}, {"quota_slots", opt.quota_slots}};
  return CallOperators(
      opt, MakeRequest(opt, http_method::kPut, "/admin/v1/teams/" + opt.name,
                       body.dump()));
}

// The first document of all, which nobody can be authorized to write yet.
int Init(const options& opt) {
  json document = {
      {"classes", json::object()},
      {"teams", json::object()},
      {"administrators", {{"token_sha256", {Sha256Hex(opt.token)}}}}};
  http_request request;
  request.method = http_method::kPut;
  request.path = "/v1/tables/configuration/current";
  request.headers = {{"Content-Type", "application/json"}, {"If-Match", "0"}};
  request.body = json{{"value", document}}.dump();
  return Print(opt,
               Fetch(Address(opt.platform, "--platform"), request, kPatience));
}

template <typename reader>
void ReadLogs(const options& opt, reader& read) {
  for (const std::string& file : opt.log_files) {
    std::ifstream stream(file);
    if (!stream)
      throw std::runtime_error("can't read " + file);
    for (std::string text; std::getline(stream, text);) {
      if (auto line = ParseLogLine(text))
        read.Take(*line);
    }
  }
}

int Losses(const options& opt) {
  loss_ledger ledger;
  ReadLogs(opt, ledger);
  std::fputs(ledger.Table().c_str(), stdout);
  return kExitOk;
}

int Trace(const options& opt) {
  job_trace trace(opt.id);
  ReadLogs(opt, trace);
  std::string text = trace.Text();
  std::fputs(text.c_str(), stdout);
  return text.empty() ? kExitFailed : kExitOk;
}

using action = int (*)(const options&);

// Adds a subcommand whose action's result becomes the exit status.
CLI::App* AddCommand(CLI::App& app,
                     const char* name,
                     const char* description,
                     action run,
                     const options& opt,
                     int* status) {
  CLI::App* command = app.add_subcommand(name, description);
  command->callback([run, &opt, status] { *status = run(opt); });
  return command;
}

void AddCallerCommands(CLI::App& app, options& opt, int* status) {
  auto add = [&](const char* name, const char* description, action run) {
    return AddCommand(app, name, description, run, opt, status);
  };
  CLI::App* submit = add("submit", "submit a job and print its answer", Submit);
  submit->add_option("--class", opt.work_class, "class of work")->required();
  submit->add_option("--task", opt.payloads, "payload; once for each task")
      ->required();
  submit->add_option("--timeout-ms", opt.timeout_ms, "of the whole job");
  submit->add_option("--id", opt.id, "a minted job id");
  submit->add_flag("--mint", opt.mint, "mint a job id first");

  add("mint", "mint a job id", [](const options& o) {
    std::printf("%s\n", MintId(o).c_str());
    return kExitOk;
  });
  CLI::App* wait = add("wait", "wait for a job", [](const options& o) {
    return CallCallers(o,
                       MakeRequest(o, http_method::kGet, "/v1/jobs/" + o.id));
  });
  wait->add_option("id", opt.id, "job id")->required();
  CLI::App* cancel = add("cancel", "cancel a job", [](const options& o) {
    return CallCallers(
        o, MakeRequest(o, http_method::kDelete, "/v1/jobs/" + o.id));
  });
  cancel->add_option("id", opt.id, "job id")->required();
  CLI::App* request =
      add("request", "send one request, print the upstream's reply", Request);
  request->add_option("class", opt.work_class, "class of work")->required();
  request->add_option("--body", opt.body, "what to send");
  request->add_option("--idempotent", opt.idempotent, "true or false");
  add("my-usage", "what this team has consumed", [](const options& o) {
    return CallCallers(o, MakeRequest(o, http_method::kGet, "/v1/usage"));
  });
}

void AddChangeOptions(CLI::App* command, options& opt) {
  command->add_option("--if-match", opt.if_match,
                      "change only this version of the configuration");
  command->add_option("--change", opt.change,
                      "id of the change; repeating it changes nothing more");
}

void AddOperatorCommands(CLI::App& app, options& opt, int* status) {
  auto add = [&](const char* name, const char* description, action run) {
    return AddCommand(app, name, description, run, opt, status);
  };
  CLI::App* init = add("init",
                       "write the first configuration, with --token as its "
                       "administrator",
                       Init);
  init->add_option("--platform", opt.platform, "IP:PORT")->required();
  add("state", "state of the instance", [](const options& o) {
    return CallOperators(o,
                         MakeRequest(o, http_method::kGet, "/admin/v1/state"));
  });
  add("usage", "what each team has consumed", [](const options& o) {
    return CallOperators(o,
                         MakeRequest(o, http_method::kGet, "/admin/v1/usage"));
  });
  add("get-config", "print the configuration", [](const options& o) {
    return CallOperators(
        o, MakeRequest(o, http_method::kGet, "/admin/v1/configuration"));
  });
  CLI::App* put_config =
      add("put-config", "replace the configuration", [](const options& o) {
        return CallOperators(
            o, MakeRequest(o, http_method::kPut, "/admin/v1/configuration",
                           ReadFile(o.file)));
      });
  put_config->add_option("file", opt.file, "JSON document")->required();
  AddChangeOptions(put_config, opt);
  CLI::App* put_class = add("put-class", "create or change a class", PutClass);
  put_class->add_option("name", opt.name, "class of work")->required();
  put_class->add_option("--target-ms", opt.target_ms, "response target");
  put_class->add_flag("--idempotent", opt.class_idempotent,
                      "its requests may run more than once");
  AddChangeOptions(put_class, opt);
  CLI::App* delete_class =
      add("delete-class", "delete a class", [](const options& o) {
        return CallOperators(o, MakeRequest(o, http_method::kDelete,
                                            "/admin/v1/classes/" + o.name));
      });
  delete_class->add_option("name", opt.name, "class of work")->required();
  AddChangeOptions(delete_class, opt);
  CLI::App* put_team = add("put-team", "create or change a team", PutTeam);
  put_team->add_option("name", opt.name, "team")->required();
  put_team->add_option("--team-token", opt.tokens,
                       "a token of the team; only its digest is sent");
  put_team->add_option("--quota-slots", opt.quota_slots, "guaranteed slots");
  AddChangeOptions(put_team, opt);
  CLI::App* delete_team =
      add("delete-team", "delete a team", [](const options& o) {
        return CallOperators(o, MakeRequest(o, http_method::kDelete,
                                            "/admin/v1/teams/" + o.name));
      });
  delete_team->add_option("name", opt.name, "team")->required();
  AddChangeOptions(delete_team, opt);
}

void AddLogCommands(CLI::App& app, options& opt, int* status) {
  CLI::App* losses = AddCommand(
      app, "losses", "why jobs missed their objective, from instances' logs",
      Losses, opt, status);
  CLI::App* trace = AddCommand(
      app, "trace", "what instances' logs say of one job", Trace, opt, status);
  trace->add_option("id", opt.id, "job id")->required();
  for (CLI::App* command : {losses, trace})
    command->add_option("files", opt.log_files, "logs of all instances")
        ->required();
}

}  // namespace

int main(int argc, char** argv) {
  options opt;
  int status = kExitOk;
  CLI::App app{
      "jasminedykectl submits jobs and operates jasminedyke.\n"
      "Exit status: 0 done, 1 refused or failed, 2 wrong command line, "
      "3 no answer."};
  app.set_version_flag("--version", jasminedyke::kVersion);
  app.require_subcommand(1);
  app.fallthrough();
  app.add_option("--callers", opt.callers, "IP:PORT for callers")
      ->envname("JASMINEDYKE_CALLERS");
  app.add_option("--operators", opt.operators, "IP:PORT for operators")
      ->envname("JASMINEDYKE_OPERATORS");
  app.add_option("--token", opt.token, "bearer token")
      ->envname("JASMINEDYKE_TOKEN");
  app.add_flag("--json", opt.as_json, "print answers as they came");
  AddCallerCommands(app, opt, &status);
  AddOperatorCommands(app, opt, &status);
  AddLogCommands(app, opt, &status);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? kExitOk : kExitUsage;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "jasminedykectl: %s\n", error.what());
    return kExitFailed;
  }
  return status;
}
