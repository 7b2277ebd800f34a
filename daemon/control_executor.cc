// Each action starts at most one asynchronous call, whose result is fed back as
// an event. The executor makes no decisions.

#include "daemon/control_executor.h"

#include <utility>

namespace clementine {

ControlExecutor::ControlExecutor(ControlContext context)
    : m_context(std::move(context)) {}

ControlExecutor::~ControlExecutor() { *m_alive = false; }

void ControlExecutor::Execute(const ControlAction& action) {
  std::visit([this](const auto& value) { On(value); }, action);
}

std::function<void(ObjectReply)> ControlExecutor::ReplyHandler() {
  ++m_object_calls;
  return [this, alive = m_alive](ObjectReply reply) {
    if (!*alive) return;
    --m_object_calls;
    m_context.feed(std::move(reply));
  };
}

void ControlExecutor::On(const GetObject& get) {
  m_context.platform->Get(get, ReplyHandler());
}

void ControlExecutor::On(const PutObject& put) {
  m_context.platform->Put(put, ReplyHandler());
}

void ControlExecutor::On(const DeleteObject& del) {
  m_context.platform->Delete(del, ReplyHandler());
}

void ControlExecutor::On(const ListHosts& /*list*/) {
  m_context.platform->ListHosts(
      [this, alive = m_alive](std::optional<std::vector<HostInfo>> hosts) {
        if (!*alive) return;
        if (hosts) {
          m_context.feed(HostsListed{std::move(*hosts)});
        } else {
          m_context.feed(HostsUnavailable{});
        }
      });
}

void ControlExecutor::On(const Watch& watch) {
  m_context.platform->WatchObjects(
      watch, [this, alive = m_alive,
              prefix = watch.prefix](std::optional<ObjectsChanged> changed) {
        if (!*alive) return;
        if (changed) {
          m_context.feed(std::move(*changed));
        } else {
          m_context.feed(WatchFailed{prefix});
        }
      });
}

void ControlExecutor::On(const ProbeHost& probe) {
  m_context.backends->Probe(
      probe.address, m_context.settings->probe_interval,
      [this, alive = m_alive,
       host = probe.host](std::optional<HostHealth> health) {
        if (!*alive) return;
        if (health) {
          m_context.feed(ProbeAnswered{host, std::move(*health)});
        } else {
          m_context.feed(ProbeFailed{host});
        }
      });
}

void ControlExecutor::On(const SendOrder& send) {
  m_context.backends->SendOrder(
      send.address, send.order, send.send_by,
      [this, alive = m_alive, host = send.host, call = send.call](bool accepted,
                                                                  bool sent) {
        if (!*alive) return;
        LogEvent("order_answered", {{"host", host},
                                    {"accepted", accepted ? "yes" : "no"},
                                    {"sent", sent ? "yes" : "no"}});
        m_context.feed(OrderAnswered{host, call, accepted, sent});
      });
}

void ControlExecutor::On(const SendPeer& send) {
  m_context.peers->Send(send.peer_address, send.bytes);
}

void ControlExecutor::On(const ConnectPeer& connect) {
  m_context.peers->Connect(connect.peer_address);
}

void ControlExecutor::On(const DisconnectPeer& disconnect) {
  m_context.peers->Disconnect(disconnect.peer_address);
}

void ControlExecutor::On(const LogDecision& log) {
  LogEvent(log.event, log.fields);
}

}  // namespace clementine
