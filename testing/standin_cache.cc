// Least recently used blocks are removed first. Lost events still take a
// sequence number, so that a reader can tell that it missed one.

#include "testing/standin_cache.h"

#include <algorithm>

namespace clementine::standin {
namespace {

constexpr std::size_t kMaxEvents = 1024;

}  // namespace

std::size_t PrefixCache::Touch(const std::vector<std::uint64_t>& blocks) {
  std::size_t held = 0;
  nlohmann::json added = nlohmann::json::array();
  nlohmann::json removed = nlohmann::json::array();
  for (std::uint64_t block : blocks) {
    auto found = m_index.find(block);
    if (found != m_index.end()) {
      if (added.empty()) ++held;
      m_blocks.splice(m_blocks.begin(), m_blocks, found->second);
      continue;
    }
    m_blocks.push_front(block);
    m_index[block] = m_blocks.begin();
    added.push_back(block);
  }
  while (m_blocks.size() > m_options.max_blocks) {
    removed.push_back(m_blocks.back());
    m_index.erase(m_blocks.back());
    m_blocks.pop_back();
  }
  if (added.empty() && removed.empty()) return held;
  ++m_sequence;
  if (m_options.event_gap == 0 || m_sequence % m_options.event_gap != 0) {
    nlohmann::json event = {{"sequence", m_sequence},
                            {"added", std::move(added)},
                            {"removed", std::move(removed)}};
    auto visible = std::chrono::steady_clock::now() + m_options.event_delay;
    m_events.push_back({visible, std::move(event)});
  }
  if (m_events.size() > kMaxEvents) m_events.pop_front();
  return held;
}

double PrefixCache::used() const {
  return static_cast<double>(m_blocks.size()) /
         static_cast<double>(std::max<std::size_t>(1, m_options.max_blocks));
}

nlohmann::json PrefixCache::Events(std::uint64_t since) const {
  nlohmann::json events = nlohmann::json::array();
  auto now = std::chrono::steady_clock::now();
  for (const Event& event : m_events) {
    if (event.visible <= now && event.json["sequence"] > since) {
      events.push_back(event.json);
    }
  }
  return {{"events", std::move(events)}};
}

}  // namespace clementine::standin
