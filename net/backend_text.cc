// Text forms of the backend servers' protocol.

#include <algorithm>
#include <charconv>
#include <cmath>
#include <ctime>
#include <iomanip>
#include <locale>
#include <nlohmann/json.hpp>
#include <sstream>

#include "config/config.h"
#include "net/net.h"

namespace clementine {
namespace {

/// Seconds of a day; longer times are as good as none.
constexpr double kLongestRetryAfter = 86'400.0;

bool ParseCount(std::string_view text, int* value) {
  auto [stop, error] =
      std::from_chars(text.data(), text.data() + text.size(), *value);
  return error == std::errc() && stop == text.data() + text.size() &&
         *value >= 0;
}

bool ParseFraction(std::string_view text, double* value) {
  auto [stop, error] =
      std::from_chars(text.data(), text.data() + text.size(), *value);
  return error == std::errc() && stop == text.data() + text.size() &&
         std::isfinite(*value) && *value >= 0.0;
}

}  // namespace

std::chrono::milliseconds ParseRetryAfter(
    std::string_view text, std::chrono::system_clock::time_point now) {
  double seconds = 0.0;
  if (!ParseFraction(text, &seconds)) {
    std::tm date{};
    std::istringstream in{std::string(text)};
    in.imbue(std::locale::classic());
    in >> std::get_time(&date, "%a, %d %b %Y %H:%M:%S GMT");
    if (in.fail()) return milliseconds(0);
    auto then = std::chrono::system_clock::from_time_t(::timegm(&date));
    seconds = std::chrono::duration<double>(then - now).count();
  }
  seconds = std::clamp(seconds, 0.0, kLongestRetryAfter);
  return std::chrono::milliseconds(std::llround(seconds * 1000.0));
}

std::optional<LoadReport> ParseLoad(std::string_view text) {
  LoadReport load;
  bool found = false;
  while (!text.empty()) {
    std::size_t end = text.find(';');
    std::string_view field = text.substr(0, end);
    text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    while (!field.empty() && field.front() == ' ') field.remove_prefix(1);
    std::size_t equals = field.find('=');
    if (equals == std::string_view::npos) return std::nullopt;
    std::string_view name = field.substr(0, equals);
    std::string_view value = field.substr(equals + 1);
    bool valid = true;
    if (name == "running") {
      valid = ParseCount(value, &load.running);
      found = true;
    } else if (name == "waiting") {
      valid = ParseCount(value, &load.waiting);
    } else if (name == "kv") {
      valid = ParseFraction(value, &load.kv_used);
    }
    if (!valid) return std::nullopt;
  }
  return found ? std::optional<LoadReport>(load) : std::nullopt;
}

std::optional<HostHealth> ParseHealth(const std::string& json) {
  try {
    nlohmann::json value = ParseJson(json);
    HostHealth health;
    health.host = value.at("host").get<std::string>();
    health.state = value.at("state").get<std::string>();
    health.group = value.value("group", "");
    health.epoch = value.value("epoch", std::uint64_t{0});
    health.hosts = value.value("hosts", std::vector<std::string>());
    health.model = value.value("model", "");
    health.version = value.value("version", "");
    health.adapters = value.value("adapters", std::vector<std::string>());
    health.leaving = value.value("leaving", false);
    health.running = value.value("running", 0);
    health.waiting = value.value("waiting", 0);
    health.kv_used = value.value("kv_used", 0.0);
    health.fence = value.value("fence", std::uint64_t{0});
    return health;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

}  // namespace clementine
