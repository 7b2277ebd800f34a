// Each daemon ranks the peers by a hash of its own name and theirs, so that
// they share the followers and those of a lost peer spread over the others.

#include "core/watch_source.h"

#include <algorithm>

#include "core/rendezvous.h"

namespace clementine {
namespace {

/// A peer that failed is tried again after this time; meanwhile another peer or
/// the platform tells the same.
constexpr milliseconds kAvoidTime{5'000};

}  // namespace

void WatchSource::SetPeers(const std::vector<std::string>& addresses) {
  m_peers = RankNodes(m_node, addresses, addresses.size());
  std::erase_if(m_avoid_until, [this](const auto& entry) {
    return std::find(m_peers.begin(), m_peers.end(), entry.first) ==
           m_peers.end();
  });
}

std::string WatchSource::Choose(TimePoint now) const {
  for (const std::string& peer : m_peers) {
    auto avoid = m_avoid_until.find(peer);
    if (avoid == m_avoid_until.end() || avoid->second <= now) return peer;
  }
  return "";
}

void WatchSource::Failed(const std::string& address, TimePoint now) {
  m_avoid_until[address] = now + kAvoidTime;
}

}  // namespace clementine
