// Tests membership and the spreading of updates, with a virtual clock and a
// network model that delays messages and drops those on broken links.

#include "core/peer_exchange.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <random>
#include <set>

#include "core/rendezvous.h"

using clementine::ConfigSnapshot;
using clementine::milliseconds;
using clementine::PeerExchange;
using clementine::PeerExchangeResult;
using clementine::PresenceUpdate;
using clementine::TimePoint;

namespace {

constexpr milliseconds kStep{50};

ConfigSnapshot MakeConfig(std::uint64_t generation, int sections) {
  ConfigSnapshot config;
  config.head.generation = generation;
  config.head.apply_id = "apply-" + std::to_string(generation);
  for (int i = 0; i < sections; ++i) {
    // Only section 0 differs between generations.
    std::string text = "text " + std::to_string(i == 0 ? generation : 0) +
                       " of " + std::to_string(i);
    std::string digest = clementine::TextDigest(text);
    config.head.sections["model m" + std::to_string(i)] = digest;
    config.texts[digest] = text;
  }
  return config;
}

/// Daemons on a network that delivers each message after one step, unless its
/// link is broken.
class Network {
 public:
  explicit Network(int nodes) {
    for (int i = 0; i < nodes; ++i) Start(i, 1);
  }

  void Start(int index, std::uint64_t incarnation) {
    clementine::MembershipOptions options;
    options.self = {Name(index), "dc", Name(index), incarnation};
    options.seeds = {Name(0), Name(1)};
    options.seed = static_cast<std::uint64_t>(index) + 100 * incarnation;
    if (index >= static_cast<int>(m_nodes.size())) m_nodes.resize(index + 1);
    m_nodes[index] = std::make_unique<PeerExchange>(options);
  }

  void Stop(int index) { m_nodes[index].reset(); }
  PeerExchange& node(int index) { return *m_nodes[index]; }
  TimePoint now() const { return m_now; }

  static std::string Name(int index) { return "n" + std::to_string(index); }

  void Run(milliseconds time) {
    for (milliseconds t{0}; t < time; t += kStep) {
      m_now += kStep;
      std::vector<std::pair<int, std::string>> due;
      due.swap(m_in_transit);
      for (auto& [to, bytes] : due) {
        if (m_nodes[to]) Collect(to, m_nodes[to]->Receive(bytes, m_now));
      }
      for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        int index = static_cast<int>(i);
        if (m_nodes[i]) Collect(index, m_nodes[i]->Advance(m_now));
      }
    }
  }

  void Collect(int from, PeerExchangeResult result) {
    for (auto& send : result.send) {
      int to = std::stoi(send.peer_address.substr(1));
      if (is_link_broken && is_link_broken(from, to)) continue;
      m_in_transit.emplace_back(to, send.bytes);
    }
    if (result.candidate) {
      m_nodes[from]->SetConfiguration(*result.candidate);
      adopted[from].push_back(result.candidate->head.generation);
    }
    for (const PresenceUpdate& update : result.presence) {
      presence[from].insert(update.host);
    }
    for (const auto& entry : result.quarantine) {
      quarantine[from].insert(entry.digest);
    }
  }

  std::function<bool(int, int)> is_link_broken;
  std::map<int, std::vector<std::uint64_t>> adopted;
  std::map<int, std::set<std::string>> presence;
  std::map<int, std::set<std::string>> quarantine;

 private:
  std::vector<std::unique_ptr<PeerExchange>> m_nodes;
  std::vector<std::pair<int, std::string>> m_in_transit;
  TimePoint m_now{std::chrono::hours(1)};
};

}  // namespace

// Guards against daemons that don't discover each other through two seeds.
TEST_CASE("all daemons discover each other through the seeds") {
  Network net(40);
  net.Run(milliseconds(15'000));
  for (int i = 0; i < 40; ++i) CHECK(net.node(i).LiveNodes().size() == 40);
}

// Guards against a dead daemon keeping its assignments, and against a live
// daemon being declared dead.
TEST_CASE("a failed daemon is removed at all others and live daemons remain") {
  Network net(12);
  net.Run(milliseconds(15'000));
  net.Stop(5);
  net.Run(milliseconds(20'000));
  for (int i = 0; i < 12; ++i) {
    if (i != 5) CHECK(net.node(i).LiveNodes().size() == 11);
  }
  net.Start(5, 2);
  net.Run(milliseconds(15'000));
  for (int i = 0; i < 12; ++i) CHECK(net.node(i).LiveNodes().size() == 12);
}

// Guards against a broken link between two daemons being taken for the failure
// of one.
TEST_CASE("a broken link between two daemons removes neither") {
  Network net(8);
  net.Run(milliseconds(10'000));
  net.is_link_broken = [](int from, int to) {
    return (from == 2 && to == 3) || (from == 3 && to == 2);
  };
  for (int second = 0; second < 60; ++second) {
    net.Run(milliseconds(1'000));
    for (int i = 0; i < 8; ++i) {
      REQUIRE(net.node(i).LiveNodes().size() == 8);
    }
  }
}

// Guards against two sides of a partition that don't rejoin after it ended.
TEST_CASE("two sides of a partition rejoin after it ends") {
  Network net(10);
  net.Run(milliseconds(10'000));
  net.is_link_broken = [](int from, int to) { return (from < 5) != (to < 5); };
  net.Run(milliseconds(30'000));
  CHECK(net.node(0).LiveNodes().size() == 5);
  CHECK(net.node(9).LiveNodes().size() == 5);
  net.is_link_broken = nullptr;
  net.Run(milliseconds(30'000));
  for (int i = 0; i < 10; ++i) CHECK(net.node(i).LiveNodes().size() == 10);
}

// Guards against a daemon that misses a generation, or adopts an older one.
TEST_CASE("a generation reaches all daemons within the bound and never falls") {
  Network net(109);
  net.Run(milliseconds(20'000));
  for (std::uint64_t generation = 1; generation <= 5; ++generation) {
    net.node(7).SetConfiguration(MakeConfig(generation, 200));
    // The target is 9 s; this test excludes the delay at the platform.
    net.Run(milliseconds(9'000));
    for (int i = 0; i < 109; ++i) {
      if (i == 7) continue;
      REQUIRE_FALSE(net.adopted[i].empty());
      CHECK(net.adopted[i].back() == generation);
      CHECK(std::is_sorted(net.adopted[i].begin(), net.adopted[i].end()));
    }
  }
}

// Guards against a daemon without configuration when the platform is down.
TEST_CASE("a restarted daemon gets the configuration from other daemons") {
  Network net(6);
  net.Run(milliseconds(5'000));
  net.node(0).SetConfiguration(MakeConfig(3, 10));
  net.Run(milliseconds(5'000));
  net.Start(4, 2);
  net.Run(milliseconds(3'000));
  CHECK(net.adopted[4].back() == 3);
}

// Guards against verdicts (of failed and leaving hosts) and quarantine entries
// that reach only some daemons.
TEST_CASE("presence and quarantine updates reach all daemons within 3 s") {
  Network net(109);
  net.Run(milliseconds(20'000));
  PresenceUpdate lost;
  lost.host = "h1";
  net.node(3).SpreadPresence(lost);
  net.node(8).SpreadQuarantine({"digest", milliseconds(60'000)}, net.now());
  net.Run(milliseconds(3'000));
  for (int i = 0; i < 109; ++i) {
    if (i != 3) CHECK(net.presence[i].count("h1") == 1);
    if (i != 8) CHECK(net.quarantine[i].count("digest") == 1);
  }
}

// Guards against a daemon that starts after crashes, knows none of them, and
// sends a quarantined request to servers again.
TEST_CASE("quarantine entries reach daemons that start after them") {
  Network net(6);
  net.Run(milliseconds(10'000));
  for (int i = 0; i < 600; ++i) {
    net.node(i % 6).SpreadQuarantine(
        {"digest" + std::to_string(i), milliseconds(600'000)}, net.now());
  }
  net.Run(milliseconds(30'000));
  net.Start(6, 1);
  net.Start(4, 2);
  net.quarantine[4].clear();
  net.Run(milliseconds(5'000));
  CHECK(net.quarantine[6].size() == 600);
  CHECK(net.quarantine[4].size() == 600);
}

// Guards against a daemon that exceeds its traffic budget when nothing changes.
TEST_CASE("steady traffic of a daemon stays within 2 KB/s") {
  constexpr int kNodes = 109;
  constexpr std::uint64_t kSeconds = 60;
  // Bytes for each message: HMAC, nng and TCP/IP headers, and the TCP
  // acknowledgement.
  constexpr std::uint64_t kOverhead = 32 + 16 + 52 + 52;
  Network net(kNodes);
  net.Run(milliseconds(30'000));
  std::vector<clementine::PeerExchangeStats> before;
  for (int i = 0; i < kNodes; ++i) before.push_back(net.node(i).stats());
  net.Run(std::chrono::seconds(kSeconds));
  std::uint64_t worst = 0;
  for (int i = 0; i < kNodes; ++i) {
    auto after = net.node(i).stats();
    std::uint64_t sent =
        after.sent_bytes - before[i].sent_bytes +
        kOverhead * (after.sent_messages - before[i].sent_messages);
    worst = std::max(worst, sent / kSeconds);
  }
  MESSAGE("largest bytes sent per second by a daemon: " << worst);
  CHECK(worst <= 2'000);
}

// Guards against a message that can't be decoded changing state or crashing the
// daemon.
TEST_CASE("messages that cannot be decoded are dropped and counted") {
  Network net(2);
  net.Run(milliseconds(3'000));
  clementine::PeerMessage message;
  message.sender = {"n1", "dc", "n1", 1};
  std::string good = clementine::EncodePeerMessage(message);
  std::mt19937_64 random(7);
  std::uint64_t damaged = net.node(0).stats().damaged;
  for (int i = 0; i < 2'000; ++i) {
    std::string bytes = good.substr(0, random() % good.size());
    for (char& c : bytes) {
      if (random() % 8 == 0) c = static_cast<char>(random());
    }
    net.node(0).Receive(bytes, net.now());
  }
  CHECK(net.node(0).stats().damaged > damaged);
}

// Guards against assignments that move when an unrelated daemon leaves.
TEST_CASE("an assignment moves only if its daemon leaves") {
  std::vector<std::string> nodes;
  for (int i = 0; i < 20; ++i) nodes.push_back(Network::Name(i));
  std::vector<std::string> fewer(nodes.begin(), nodes.end() - 1);
  for (int d = 0; d < 200; ++d) {
    std::string key = "host" + std::to_string(d);
    auto all = clementine::RankNodes(key, nodes, 2);
    auto rest = clementine::RankNodes(key, fewer, 2);
    for (const std::string& node : all) {
      CHECK(clementine::IsAssigned(node, key, nodes, 2));
      if (node == nodes.back()) continue;
      CHECK(std::find(rest.begin(), rest.end(), node) != rest.end());
    }
  }
}
