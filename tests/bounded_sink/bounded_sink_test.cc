// The log beside a reader that is slow, or gone.

#include <array>
#include <csignal>
#include <memory>
#include <string>
#include <utility>

#include <doctest/doctest.h>
#include <fcntl.h>
#include <spdlog/logger.h>
#include <unistd.h>

#include "base/bounded_sink.h"

namespace jasminedyke {
namespace {

constexpr int kPage = 4096;

struct slow_reader {
  slow_reader() {
    REQUIRE(pipe2(ends.data(), O_CLOEXEC) == 0);
    REQUIRE(fcntl(ends[1], F_SETPIPE_SZ, 2 * kPage) == 2 * kPage);
    sink = std::make_shared<bounded_sink>(ends[1]);
    log = std::make_unique<spdlog::logger>("test", sink);
    log->set_pattern("%v");
  }
  ~slow_reader() {
    close(ends[0]);
    close(ends[1]);
  }

  // All that is in the pipe.
  std::string Read() const {
    std::string text(4 * kPage, '\0');
    int flags = fcntl(ends[0], F_GETFL);
    fcntl(ends[0], F_SETFL, flags | O_NONBLOCK);
    std::string all;
    ssize_t count = 0;
    while ((count = read(ends[0], text.data(), text.size())) > 0)
      all.append(text, 0, static_cast<size_t>(count));
    return all;
  }

  std::array<int, 2> ends{};
  std::shared_ptr<bounded_sink> sink;
  std::unique_ptr<spdlog::logger> log;
};

// Guards against a daemon that stands still in a write of its log, as the pipe
// has room for a part of a long line only, and against lines that get mixed.
TEST_CASE("bounded_sink: a line longer than the pipe has room for") {
  slow_reader reader;
  std::string first(3000, 'a');
  std::string second(7000, 'b');
  reader.log->info(first);
  reader.log->info(second);
  std::string text = reader.Read();
  CHECK(text.size() < first.size() + second.size());
  reader.log->info("third");
  text += reader.Read();
  bool whole = text == first + "\n" + second + "\nthird\n";
  CHECK(whole);
  CHECK(reader.sink->dropped() == 0);
}

// Guards against parts of lines, and against drops that nobody is told of.
TEST_CASE("bounded_sink: while a line is under way others are dropped") {
  slow_reader reader;
  std::string longest(9000, 'b');
  reader.log->info(longest);
  reader.log->info("second");
  CHECK(reader.sink->dropped() == 1);
  std::string text = reader.Read();
  reader.log->info("third");
  text += reader.Read();
  bool whole = text == longest + "\nevent=log_dropped lines=1\nthird\n";
  CHECK(whole);
}

// Guards against a daemon that ends, or keeps lines for ever, when nobody
// reads.
TEST_CASE("bounded_sink: the reader has left") {
  std::signal(SIGPIPE, SIG_IGN);
  slow_reader reader;
  close(std::exchange(reader.ends[0], -1));
  for (int i = 0; i < 10; ++i)
    reader.log->info("nobody reads this");
  CHECK(reader.sink->dropped() >= 10);
}

}  // namespace
}  // namespace jasminedyke
