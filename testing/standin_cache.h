// Prefix cache of a model engine stand-in, with cache events that are published
// late and with gaps.
#ifndef TESTING_STANDIN_CACHE_H_
#define TESTING_STANDIN_CACHE_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <nlohmann/json.hpp>
#include <vector>

namespace clementine::standin {

struct PrefixCacheOptions {
  std::size_t max_blocks = 4096;
  std::chrono::milliseconds event_delay{100};
  std::uint64_t event_gap = 0;  ///< Each Nth event is lost; 0: none.
};

class PrefixCache {
 public:
  explicit PrefixCache(PrefixCacheOptions options) : m_options(options) {}

  /// Puts blocks into the cache; returns how many leading ones it held.
  std::size_t Touch(const std::vector<std::uint64_t>& blocks);

  bool Contains(std::uint64_t block) const { return m_index.contains(block); }

  /// Fraction in use.
  double used() const;

  /// Events with a sequence number above `since` that are visible by now.
  nlohmann::json Events(std::uint64_t since) const;

 private:
  struct Event {
    std::chrono::steady_clock::time_point visible;
    nlohmann::json json;
  };

  PrefixCacheOptions m_options;
  std::list<std::uint64_t> m_blocks;  ///< Most recently used first.
  std::map<std::uint64_t, std::list<std::uint64_t>::iterator> m_index;
  std::deque<Event> m_events;
  std::uint64_t m_sequence = 0;
};

}  // namespace clementine::standin

#endif  // TESTING_STANDIN_CACHE_H_
