// Pattern: pipeline. Each daemon has one pull socket; for each peer a push
// socket dials the peer's pull socket. Compared with a bus, a message can be
// addressed to one peer, and a peer that doesn't read fills only its own queue.
//
// Frame: one byte with the version, 32 bytes HMAC-SHA256 over version and
// body, body (CBOR). Codes are checked in nng's callback, so that a flood of
// damaged messages doesn't reach the decision thread.

#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

#include <atomic>
#include <boost/asio/post.hpp>
#include <map>
#include <stdexcept>

#include "fmt/format.h"
#include "net/address.h"
#include "net/net.h"

namespace clementine {
namespace {

constexpr char kVersion = 1;
constexpr std::size_t kCodeBytes = 32;
constexpr std::size_t kHeadBytes = 1 + kCodeBytes;

/// Largest message; larger ones are dropped by nng. Holds one section.
constexpr std::size_t kMaxMessageBytes = 2 * kMaxObjectBytes;

/// Messages that wait for the decision thread; more are dropped and counted.
constexpr int kMaxPending = 1024;
constexpr int kSendQueue = 64;  ///< Messages, for each peer.
constexpr nng_duration kReconnectMin = 100;
constexpr nng_duration kReconnectMax = 2'000;
constexpr std::chrono::seconds kRejectLogInterval{1};

void Check(int result, const char* what) {
  if (result != 0) {
    throw std::runtime_error(fmt::format("{}: {}", what, nng_strerror(result)));
  }
}

std::string CodedText(std::string_view body) {
  std::string text(1, kVersion);
  text.append(body);
  return text;
}

}  // namespace

class PeerTransport::Impl {
 public:
  Impl(boost::asio::io_context* io, const std::string& listen, std::string key,
       std::function<void(std::string)> received)
      : m_io(io),
        m_key(std::move(key)),
        m_received(std::make_shared<std::function<void(std::string)>>(
            std::move(received))) {
    Check(nng_pull0_open(&m_pull), "nng_pull0_open");
    try {
      Listen(listen);
      Check(nng_aio_alloc(&m_aio, &Impl::Received, this), "nng_aio_alloc");
    } catch (...) {
      nng_close(m_pull);
      throw;
    }
    nng_recv_aio(m_pull, m_aio);
  }

  ~Impl() {
    nng_aio_stop(m_aio);
    nng_close(m_pull);
    nng_aio_free(m_aio);
    for (const auto& [address, socket] : m_peers) nng_close(socket);
    *m_received = nullptr;
  }

  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  void Connect(const std::string& address) {
    if (m_peers.count(address) > 0) return;
    nng_socket socket;
    Check(nng_push0_open(&socket), "nng_push0_open");
    nng_socket_set_int(socket, NNG_OPT_SENDBUF, kSendQueue);
    nng_socket_set_ms(socket, NNG_OPT_RECONNMINT, kReconnectMin);
    nng_socket_set_ms(socket, NNG_OPT_RECONNMAXT, kReconnectMax);
    std::string url = "tcp://" + address;
    int result = nng_dial(socket, url.c_str(), nullptr, NNG_FLAG_NONBLOCK);
    if (result != 0) {
      nng_close(socket);
      LogEvent("peer_connect_failed",
               {{"peer", address}, {"error", nng_strerror(result)}});
      return;
    }
    m_peers.emplace(address, socket);
  }

  void Disconnect(const std::string& address) {
    auto found = m_peers.find(address);
    if (found == m_peers.end()) return;
    nng_close(found->second);
    m_peers.erase(found);
  }

  void Send(const std::string& address, std::string_view bytes) {
    std::string frame(1, kVersion);
    frame.append(MessageCode(m_key, CodedText(bytes))).append(bytes);
    if (address.empty()) {
      for (const auto& [peer, socket] : m_peers) SendFrame(socket, frame);
      return;
    }
    Connect(address);
    auto found = m_peers.find(address);
    if (found != m_peers.end()) SendFrame(found->second, frame);
  }

  PeerStats stats() const {
    PeerStats stats = m_stats;
    stats.received = m_received_count;
    stats.received_bytes = m_received_bytes;
    stats.rejected = m_rejected;
    stats.overflowed = m_overflowed;
    return stats;
  }

  std::string m_address;

 private:
  void Listen(const std::string& listen) {
    boost::asio::ip::tcp::endpoint endpoint = ParseEndpoint(listen);
    Check(nng_socket_set_size(m_pull, NNG_OPT_RECVMAXSZ, kMaxMessageBytes),
          "recv-size-max");
    nng_listener listener;
    std::string url = "tcp://" + listen;
    Check(nng_listener_create(&listener, m_pull, url.c_str()),
          "nng_listener_create");
    int result = nng_listener_start(listener, 0);
    if (result != 0) {
      throw std::runtime_error(
          fmt::format("can't listen on {}: {}", listen, nng_strerror(result)));
    }
    int port = endpoint.port();
    if (port == 0) {
      Check(nng_listener_get_int(listener, NNG_OPT_TCP_BOUND_PORT, &port),
            "tcp-bound-port");
    }
    endpoint.port(static_cast<std::uint16_t>(port));
    m_address = FormatEndpoint(endpoint);
  }

  void SendFrame(nng_socket socket, const std::string& frame) {
    // nng_send copies and never modifies the bytes despite its signature.
    int result = nng_send(socket, const_cast<char*>(frame.data()), frame.size(),
                          NNG_FLAG_NONBLOCK);
    if (result == 0) {
      ++m_stats.sent;
      m_stats.sent_bytes += frame.size();
    } else {
      ++m_stats.not_sent;
    }
  }

  // Called on a thread of nng.
  static void Received(void* argument) {
    auto* self = static_cast<Impl*>(argument);
    if (nng_aio_result(self->m_aio) != 0) return;  // The socket is closed.
    nng_msg* message = nng_aio_get_msg(self->m_aio);
    std::string_view frame(static_cast<const char*>(nng_msg_body(message)),
                           nng_msg_len(message));
    self->m_received_bytes += frame.size();
    self->Take(frame);
    nng_msg_free(message);
    nng_recv_aio(self->m_pull, self->m_aio);
  }

  void Take(std::string_view frame) {
    const char* fault = Fault(frame);
    if (fault != nullptr) {
      ++m_rejected;
      LogRejected(fault, frame.size());
      return;
    }
    if (m_pending->load() >= kMaxPending) {
      ++m_overflowed;
      return;
    }
    ++m_received_count;
    ++*m_pending;
    boost::asio::post(*m_io, [received = m_received, pending = m_pending,
                              body = std::string(frame.substr(kHeadBytes))] {
      --*pending;
      if (*received) (*received)(body);
    });
  }

  const char* Fault(std::string_view frame) const {
    if (frame.size() < kHeadBytes) return "too_short";
    if (frame.front() != kVersion) return "unknown_version";
    std::string code = MessageCode(m_key, CodedText(frame.substr(kHeadBytes)));
    return SecretsEqual(code, frame.substr(1, kCodeBytes)) ? nullptr
                                                           : "wrong_code";
  }

  // A flood of bad messages must not become a flood of log lines.
  void LogRejected(const char* fault, std::size_t size) {
    auto now = std::chrono::steady_clock::now();
    if (now - m_last_log < kRejectLogInterval) return;
    m_last_log = now;
    LogEvent("peer_message_rejected",
             {{"reason", fault},
              {"bytes", std::to_string(size)},
              {"total", std::to_string(m_rejected.load())}});
  }

  boost::asio::io_context* m_io;
  std::string m_key;
  std::shared_ptr<std::function<void(std::string)>> m_received;
  std::shared_ptr<std::atomic<int>> m_pending =
      std::make_shared<std::atomic<int>>(0);
  nng_socket m_pull = NNG_SOCKET_INITIALIZER;
  nng_aio* m_aio = nullptr;
  std::map<std::string, nng_socket> m_peers;
  PeerStats m_stats;  ///< Sending side; the receiving side is below.
  std::atomic<std::uint64_t> m_received_count{0};
  std::atomic<std::uint64_t> m_received_bytes{0};
  std::atomic<std::uint64_t> m_rejected{0};
  std::atomic<std::uint64_t> m_overflowed{0};
  /// Used by nng's callback only; one receive is outstanding at a time.
  std::chrono::steady_clock::time_point m_last_log;
};

PeerTransport::PeerTransport(boost::asio::io_context* io,
                             const std::string& listen, std::string key,
                             std::function<void(std::string)> received)
    : m_impl(std::make_unique<Impl>(io, listen, std::move(key),
                                    std::move(received))) {}

PeerTransport::~PeerTransport() = default;

std::string PeerTransport::address() const { return m_impl->m_address; }
void PeerTransport::Connect(const std::string& peer_address) {
  m_impl->Connect(peer_address);
}
void PeerTransport::Disconnect(const std::string& peer_address) {
  m_impl->Disconnect(peer_address);
}
void PeerTransport::Send(const std::string& peer_address,
                         std::string_view bytes) {
  m_impl->Send(peer_address, bytes);
}
PeerStats PeerTransport::stats() const { return m_impl->stats(); }

}  // namespace clementine
