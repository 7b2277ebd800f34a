// A log line is built in one buffer and written with one call, so that lines of
// several threads don't mix.

#include <chrono>
#include <cstdio>

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

}  // namespace

void LogEvent(const std::string& event,
              const std::vector<std::pair<std::string, std::string>>& fields) {
  fmt::memory_buffer line;
  auto now = std::chrono::floor<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
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
  line.push_back('\n');
  std::fwrite(line.data(), 1, line.size(), stderr);
}

}  // namespace clementine
