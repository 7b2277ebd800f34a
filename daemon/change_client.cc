// Each subscription uses its own connection. The size of frames is limited. The
// body is parsed as frames only if the status is 200.

#include "daemon/change_client.h"

#include <stdexcept>
#include <utility>

#include "fmt/format.h"
#include "net/http_status.h"

namespace clementine {
namespace {

BackendOptions ClientOptions(milliseconds silence_timeout,
                             std::size_t max_held_bytes) {
  BackendOptions options;
  options.connect_timeout = silence_timeout;
  options.max_idle_per_address = 0;
  options.max_held_bytes = max_held_bytes;
  return options;
}

}  // namespace

// Only m_streams owns a Stream. The handlers of its call hold weak references,
// because a call that never ends would otherwise keep itself alive.
struct ChangeClient::Stream {
  std::string peer;
  std::shared_ptr<BackendAttempt> call;
  bool accepted = false;
  ChangeFrameReader frames;
  TimePoint opened_at;
};

ChangeClient::ChangeClient(boost::asio::io_context* io,
                           milliseconds silence_timeout, Hooks hooks,
                           ChangeKeys keys, std::size_t max_held_bytes)
    : m_silence_timeout(silence_timeout),
      m_hooks(std::move(hooks)),
      m_keys(std::move(keys)),
      m_client(io, ClientOptions(silence_timeout, max_held_bytes)) {}

ChangeClient::~ChangeClient() {
  for (auto& [peer, stream] : m_streams) stream->call->Cancel();
}

void ChangeClient::Subscribe(const std::string& peer,
                             const ChangeRevisions& known,
                             const ChangeRevisions& eras) {
  Unsubscribe(peer);
  auto stream = std::make_shared<Stream>();
  stream->peer = peer;
  stream->opened_at = m_hooks.now();
  BackendCall call;
  call.relay = true;
  call.address = peer;
  call.method = "GET";
  FrameCodes codes;
  call.target =
      "/changes?" + SignChangeQuery(m_keys, EncodeChangeQuery(known), &codes);
  stream->frames = ChangeFrameReader(std::move(codes));
  call.headers = {{"Host", peer}};
  if (eras != ChangeRevisions{}) {
    call.headers.emplace_back(kChangeErasHeader, EncodeChangeEras(eras));
  }
  call.idempotent = false;
  call.first_byte_timeout = m_silence_timeout;
  call.gap_timeout = m_silence_timeout;
  BackendHandlers handlers;
  std::weak_ptr<Stream> weak = stream;
  handlers.head = [weak](int status, const HttpHeaders& /*headers*/) {
    auto held = weak.lock();
    if (held == nullptr) return AnswerHead::kForeign;
    held->accepted = status == http_status::kOk;
    return held->accepted ? AnswerHead::kAnswer : AnswerHead::kForeign;
  };
  handlers.bytes = [this, weak](std::string_view bytes) {
    if (auto held = weak.lock()) OnBytes(held.get(), bytes);
  };
  handlers.end = [this, weak](const BackendEnd& end) {
    auto held = weak.lock();
    if (held == nullptr) return;
    EndStream(held->peer, held->accepted
                              ? end.detail
                              : "subscription refused or source unreachable");
  };
  m_streams[peer] = stream;
  stream->call = m_client.Start(std::move(call), std::move(handlers));
}

void ChangeClient::Unsubscribe(const std::string& peer) {
  auto found = m_streams.find(peer);
  if (found == m_streams.end()) return;
  std::shared_ptr<Stream> stream = found->second;
  m_streams.erase(found);
  stream->call->Cancel();
}

void ChangeClient::EndStream(const std::string& peer,
                             const std::string& detail) {
  Unsubscribe(peer);
  m_hooks.on_ended(peer, detail);
}

void ChangeClient::OnBytes(Stream* stream, std::string_view bytes) {
  std::string peer = stream->peer;
  stream->frames.Append(bytes);
  try {
    while (auto frame = stream->frames.Next()) {
      // The source starts its clock after `opened_at`. The computed time is
      // therefore never later than the actual one, regardless of how long the
      // frame was in transit.
      TimePoint sent_at = stream->opened_at + frame->elapsed;
      for (const ChangeUpdate& update : frame->updates) {
        m_hooks.on_update(peer, update, sent_at - update.age);
        auto found = m_streams.find(peer);
        if (found == m_streams.end() || found->second.get() != stream) return;
      }
    }
    stream->call->Hold(stream->frames.held_bytes());
  } catch (const std::runtime_error& error) {
    EndStream(peer, fmt::format("malformed frame: {}", error.what()));
  }
}

}  // namespace clementine
