// Passes changes of the platform's objects on to other daemons.
//
// GET /changes?servers=REVISION&configuration=REVISION&crashes=REVISION answers
// with a stream of frames that doesn't end by itself: first what changed after
// those revisions, then each change, and at least every heartbeat a frame
// without changes. A frame is a line and a body:
//
//   ELAPSED SIZE PLAIN[ CODE]\n   milliseconds since the stream began; bytes of
//                            the body; bytes that it inflates to, or 0 if it's
//                            plain; its code, where daemons share keys
//   [{"kind":"servers","at":REVISION,"age":MS,"whole":BOOL,
//     "objects":[{"name","revision","content","deleted"}]}]
//
// `age` tells how old the time is up to which all changes are known. By the
// time since the stream began, a frame that was late is recognised.
#ifndef DAEMON_CHANGE_RELAY_H_
#define DAEMON_CHANGE_RELAY_H_

#include <array>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/change_follower.h"
#include "daemon/change_auth.h"
#include "daemon/change_history.h"
#include "net/net.h"

namespace clementine {

/// Revisions that a daemon knows, by kind.
using ChangeRevisions = std::array<std::uint64_t, kChangeKinds>;

/// Stands for a revision of a kind that a follower doesn't read: during an
/// upgrade some daemons know fewer kinds.
inline constexpr std::uint64_t kNotWanted = ~std::uint64_t{0};

/// Name of a kind in messages between daemons.
const char* ChangeKindName(ChangeKind kind);

/// Query of a request for changes, and what it says; nothing when malformed.
std::string EncodeChangeQuery(const ChangeRevisions& known);
std::optional<ChangeRevisions> DecodeChangeQuery(const std::string& query);

/// What a frame tells of a kind.
struct ChangeUpdate {
  ChangeKind kind = ChangeKind::kServers;
  ChangeDelta delta;
  milliseconds age{0};
};

/// Size and body of a frame; the same for all followers that lack the same.
std::string EncodeChangeBody(const std::vector<ChangeUpdate>& updates);
/// A whole frame.
/// @param codes Of its subscription; null: none.
std::string EncodeChangeFrame(milliseconds elapsed, const std::string& body,
                              FrameCodes* codes = nullptr);

/// Reads frames from bytes as they arrive.
class ChangeFrameReader {
 public:
  struct Frame {
    milliseconds elapsed{0};
    std::vector<ChangeUpdate> updates;
  };

  ChangeFrameReader() = default;
  explicit ChangeFrameReader(FrameCodes codes) : m_codes(std::move(codes)) {}

  void Append(std::string_view bytes) { m_bytes.append(bytes); }
  /// @return The next whole frame; nothing until more bytes have come.
  /// @throws std::runtime_error when the bytes aren't in the expected form, or
  ///     the frame isn't authentic.
  std::optional<Frame> Next();

 private:
  FrameCodes m_codes;
  std::string m_bytes;
};

/// Answers other daemons. What this daemon learned itself from a peer is passed
/// on as well, with the age that it was told.
class ChangeRelay {
 public:
  /// @param heartbeat Longest pause between two frames.
  /// @param keys Followers have to share one of them.
  ChangeRelay(std::function<TimePoint()> now, milliseconds heartbeat,
              ChangeKeys keys = {})
      : m_now(std::move(now)),
        m_heartbeat(heartbeat),
        m_keys(std::move(keys)) {}

  /// All objects there are, or what changed, as in ChangeHistory.
  void Replaced(ChangeKind kind, const platform::ObjectBatch& all,
                TimePoint as_of);
  void Changed(ChangeKind kind, const platform::ObjectBatch& batch,
               TimePoint as_of);

  void Accept(const std::shared_ptr<HttpExchange>& exchange);
  /// Sends the heartbeats that are due.
  void Tick();

  std::size_t followers() const { return m_followers.size(); }
  /// Bytes of all frames so far.
  std::uint64_t sent_bytes() const { return m_sent_bytes; }

 private:
  struct Follower {
    std::uint64_t id = 0;
    std::shared_ptr<HttpExchange> exchange;
    FrameCodes codes;
    ChangeRevisions known{};
    TimePoint opened;
    TimePoint sent;
    /// Reads too slowly; gets the state as it then is when it has caught up.
    bool behind = false;
  };

  const ChangeHistory& History(ChangeKind kind) const {
    return m_histories[static_cast<std::size_t>(kind)];
  }
  /// Whether all that a daemon can't serve without is known.
  bool Known() const;
  ChangeUpdate UpdateAfter(ChangeKind kind, std::uint64_t revision) const;
  void Update(ChangeKind kind,
              const std::function<void(ChangeHistory*)>& change);
  void Send(Follower* follower, const std::string& body);
  void SendAll(Follower* follower);

  std::function<TimePoint()> m_now;
  milliseconds m_heartbeat;
  ChangeKeys m_keys;
  std::array<ChangeHistory, kChangeKinds> m_histories;
  std::list<Follower> m_followers;
  std::uint64_t m_last_follower = 0;
  std::uint64_t m_sent_bytes = 0;
};

}  // namespace clementine

#endif  // DAEMON_CHANGE_RELAY_H_
