// A log line is built in one buffer and written with one call, so that lines of
// several threads don't mix. Lines of one event beyond a rate are counted and
// dropped, and so is a line that a full pipe doesn't take: a log never holds up
// the work that it tells of.

#include <poll.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include "fmt/chrono.h"
#include "fmt/format.h"
#include "net/net.h"

namespace clementine {
namespace {

bool NeedsQuotes(const std::string& value) {
  if (value.empty()) return true;
  for (unsigned char c : value) {
    if (c <= ' ' || c == '"' || c == '=' || c == '\\' || c == 0x7f) return true;
  }
  return false;
}

void AppendQuoted(const std::string& value, fmt::memory_buffer* line) {
  line->push_back('"');
  for (char c : value) {
    auto byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
      line->push_back('\\');
      line->push_back(c);
    } else if (byte < ' ' || byte == 0x7f) {
      fmt::format_to(std::back_inserter(*line), "\\x{:02x}", byte);
    } else {
      line->push_back(c);
    }
  }
  line->push_back('"');
}

/// Lines of one event in a second. A daemon decides a few hundred requests a
/// second, so this only cuts what repeats without end.
constexpr int kLinesPerSecond = 400;

std::atomic<int> output_descriptor{STDOUT_FILENO};

/// Lines of one event in the present second.
struct Rate {
  std::int64_t second = 0;
  int lines = 0;
  std::uint64_t dropped = 0;  ///< Since the last line that was written.
};

/// Returns whether a line may be written; `dropped` gets how many were not.
bool TakeLine(const std::string& event, std::int64_t second,
              std::uint64_t* dropped) {
  static std::mutex mutex;
  static std::map<std::string, Rate> rates;
  std::lock_guard<std::mutex> lock(mutex);
  Rate& rate = rates[event];
  if (rate.second != second) {
    rate.second = second;
    rate.lines = 0;
  }
  if (++rate.lines > kLinesPerSecond) {
    ++rate.dropped;
    return false;
  }
  *dropped = rate.dropped;
  rate.dropped = 0;
  return true;
}

/// Writes a line, or drops it when the reader doesn't keep up. Lines are
/// shorter than what a pipe takes at once, so none is written in part.
void WriteLine(const fmt::memory_buffer& line) {
  int descriptor = output_descriptor.load();
  pollfd ready{descriptor, POLLOUT, 0};
  if (::poll(&ready, 1, 0) != 1) return;
  [[maybe_unused]] ssize_t size = ::write(descriptor, line.data(), line.size());
}

}  // namespace

void LogTo(int descriptor) { output_descriptor = descriptor; }

void LogEvent(const std::string& event,
              const std::vector<std::pair<std::string, std::string>>& fields) {
  fmt::memory_buffer line;
  auto now = std::chrono::floor<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
  std::uint64_t dropped = 0;
  constexpr std::int64_t kPerSecond = 1'000;
  if (!TakeLine(event, now.time_since_epoch().count() / kPerSecond, &dropped)) {
    return;
  }
  fmt::format_to(std::back_inserter(line), "time={:%FT%T}.{:03}Z event={}", now,
                 now.time_since_epoch().count() % 1000, event);
  for (const auto& [key, value] : fields) {
    fmt::format_to(std::back_inserter(line), " {}=", key);
    if (NeedsQuotes(value)) {
      AppendQuoted(value, &line);
    } else {
      line.append(value);
    }
  }
  if (dropped > 0) {
    fmt::format_to(std::back_inserter(line), " dropped_before={}", dropped);
  }
  line.push_back('\n');
  WriteLine(line);
}

}  // namespace clementine
