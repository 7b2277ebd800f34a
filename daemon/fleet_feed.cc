// A watch waits for a short time only: a connection that has gone silent is
// then noticed within that time, before a leaving server has to be acted on. A
// pause after each answer lets changes that come together be read together.

#include "daemon/fleet_feed.h"

#include <algorithm>
#include <stdexcept>

namespace clementine {
namespace {

/// Servers change in bursts when groups form; each answer is a priced call.
constexpr milliseconds kServerPause{200};
/// Of a daemon that passes changes on.
constexpr milliseconds kSourceWait{800};
/// Part of the notice of a leaving server that changes may wait for each other.
constexpr int kPauseParts = 4;
constexpr milliseconds kConfigurationPause{20};
constexpr milliseconds kFirstBackoff{150};
constexpr milliseconds kLongestBackoff{1'000};
constexpr int kLargestShift = 6;

}  // namespace

FleetFeed::FleetFeed(boost::asio::io_context* io, platform::ObjectStore* store,
                     ChangeRelay* relay, const std::string& node,
                     std::uint64_t seed, milliseconds leaving_notice,
                     Hooks hooks)
    : m_store(store),
      m_relay(relay),
      m_peers(io),
      m_source(node),
      m_hooks(std::move(hooks)),
      m_jitter(seed),
      m_servers(io),
      m_configuration(io),
      m_leaving_notice(leaving_notice) {
  m_servers.kind = platform::kServerKind;
  m_servers.listed_all = [this](const platform::ObjectBatch& batch) {
    ServersListed listed;
    for (const platform::StoredObject& object : batch.objects) {
      auto server = platform::DecodeServer(object.name, object.content);
      if (server) listed.servers.push_back(std::move(*server));
    }
    m_hooks.feed(std::move(listed));
  };
  m_servers.changed = [this](const platform::ObjectBatch& batch) {
    ServersChanged changed;
    for (const platform::StoredObject& object : batch.objects) {
      ServerList::Change change;
      change.id = object.name;
      if (!object.deleted) {
        change.server = platform::DecodeServer(object.name, object.content);
      }
      changed.changes.push_back(std::move(change));
    }
    m_hooks.feed(std::move(changed));
  };
  m_servers.failed = [this] { m_hooks.feed(ServersUnreachable{}); };
  m_configuration.kind = platform::kConfigurationKind;
  m_configuration.changed = [this](const platform::ObjectBatch& batch) {
    for (const platform::StoredObject& object : batch.objects) {
      if (!object.deleted) TakeConfiguration(object);
    }
  };
  m_configuration.listed_all = m_configuration.changed;
  m_configuration.failed = [] {};
}

FleetFeed::~FleetFeed() { *m_alive = false; }

void FleetFeed::Start() {
  Next(&m_configuration);
  Next(&m_servers);
}

void FleetFeed::Next(Loop* loop) {
  std::string peer = m_source.Choose(m_hooks.now());
  if (!loop->listed || peer.empty()) {
    WatchPlatform(loop);
    return;
  }
  m_peers.Watch(
      peer, loop->kind, loop->revision,
      [this, loop, peer, alive = m_alive](const platform::ObjectBatch& batch) {
        if (*alive) OnPeer(loop, peer, batch);
      });
}

void FleetFeed::WatchPlatform(Loop* loop) {
  bool list = !loop->listed;
  auto done = [this, loop, list,
               alive = m_alive](const platform::ObjectBatch& batch) {
    if (*alive) OnPlatform(loop, list, batch);
  };
  if (list) {
    m_store->List(loop->kind, /*stale=*/false, std::move(done));
  } else {
    m_store->Watch(loop->kind, loop->revision,
                   m_role.source ? kSourceWait : m_leaving_notice,
                   std::move(done));
  }
}

void FleetFeed::SetRole(const Role& role) {
  m_role = role;
  m_source.SetPeers(role.peers);
}

void FleetFeed::NoteSource(Loop* loop, const std::string& source) {
  if (loop->source == source) return;
  loop->source = source;
  LogEvent("change_source", {{"kind", loop->kind},
                             {"from", source.empty() ? "platform" : source},
                             {"revision", std::to_string(loop->revision)}});
}

void FleetFeed::OnPeer(Loop* loop, const std::string& peer,
                       const platform::ObjectBatch& batch) {
  if (batch.status != platform::ObjectBatch::Status::kOk) {
    // Another peer or the platform goes on from the same revision.
    m_source.Failed(peer, m_hooks.now());
    Next(loop);
    return;
  }
  NoteSource(loop, peer);
  OnBatch(loop, /*list=*/false, batch);
}

void FleetFeed::OnPlatform(Loop* loop, bool list,
                           const platform::ObjectBatch& batch) {
  if (batch.status == platform::ObjectBatch::Status::kOk) {
    NoteSource(loop, "");
    if (list) {
      m_relay->Listed(loop->kind, batch.revision);
    } else {
      m_relay->Changed(loop->kind, batch);
    }
  }
  OnBatch(loop, list, batch);
}

void FleetFeed::OnBatch(Loop* loop, bool list,
                        const platform::ObjectBatch& batch) {
  using Status = platform::ObjectBatch::Status;
  bool reached = batch.status != Status::kFailed;
  if (reached != loop->reachable) {
    loop->reachable = reached;
    LogEvent(
        reached ? "platform_regained" : "platform_lost",
        {{"kind", loop->kind}, {"revision", std::to_string(loop->revision)}});
  }
  if (!reached) {
    loop->failed();
    milliseconds longest = std::min(
        kLongestBackoff,
        kFirstBackoff * (1 << std::min(loop->failures, kLargestShift)));
    ++loop->failures;
    Later(loop, m_jitter.Between(longest / 2, longest));
    return;
  }
  loop->failures = 0;
  if (batch.status == Status::kHistoryGone) {
    LogEvent("platform_history_gone", {{"kind", loop->kind}});
    loop->listed = false;
    Next(loop);
    return;
  }
  loop->listed = true;
  loop->revision =
      list ? batch.revision : std::max(loop->revision, batch.revision);
  (list ? loop->listed_all : loop->changed)(batch);
  bool servers = loop == &m_servers && !batch.objects.empty();
  milliseconds pause =
      m_role.prompt || m_role.source || !loop->source.empty()
          ? kServerPause
          : std::max(kServerPause, m_leaving_notice / kPauseParts);
  Later(loop, servers ? pause : kConfigurationPause);
}

void FleetFeed::Later(Loop* loop, milliseconds delay) {
  loop->timer.expires_after(delay);
  loop->timer.async_wait(
      [this, loop, alive = m_alive](const boost::system::error_code& error) {
        if (!error && *alive) Next(loop);
      });
}

void FleetFeed::TakeConfiguration(const platform::StoredObject& object) {
  if (object.name != platform::kConfigurationName) return;
  try {
    FleetConfiguration configuration =
        platform::DecodeConfiguration(object.content);
    if (configuration.version <= m_version) return;
    m_version = configuration.version;
    m_hooks.configured(std::move(configuration));
  } catch (const std::runtime_error& error) {
    LogEvent("configuration_rejected",
             {{"revision", std::to_string(object.revision)},
              {"error", error.what()},
              {"kept", std::to_string(m_version)}});
  }
}

}  // namespace clementine
