// Sends changes of the platform's objects to other daemons.
//
// GET /changes?servers=REVISION&configuration=REVISION&crashes=REVISION answers
// with a stream of frames that the source does not end: first the changes after
// those revisions, then each change as it becomes known. At least one frame is
// sent per heartbeat period, without changes if there are none. A frame
// consists of a line and a body:
//
//   ELAPSED SIZE PLAIN[ CODE]\n   ELAPSED: milliseconds since the stream began.
//                            SIZE: bytes of the body. PLAIN: bytes of the
//                            inflated body, or 0 if it is not deflated. CODE:
//                            authentication code, if daemons share keys.
//   [{"kind":"servers","at":REVISION,"age":MS,"whole":BOOL,
//     "objects":[{"name","revision","content","deleted"}],"era":ERA}]
//
// REVISION counts within ERA, the era of the platform's store. "era" is absent
// if the store states none. The header kChangeErasHeader of the request has the
// eras of its revisions.
// `age` is the age of the time up to which all changes are known, when the
// frame was sent. ELAPSED allows the receiver to detect a delayed frame.
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

/// Revisions that a daemon has, by kind.
using ChangeRevisions = std::array<std::uint64_t, kChangeKinds>;

/// Placeholder for the revision of a kind that a follower does not request.
/// During an upgrade, some daemons support fewer kinds.
inline constexpr std::uint64_t kKindNotRequested = ~std::uint64_t{0};

/// Name of a kind in messages between daemons.
const char* ChangeKindName(ChangeKind kind);

/// Encodes and decodes the query string of a request for changes.
/// DecodeChangeQuery returns an empty value for a malformed query.
std::string EncodeChangeQuery(const ChangeRevisions& known);
std::optional<ChangeRevisions> DecodeChangeQuery(const std::string& query);

/// Header of a request for changes: the era of each revision in the query, in
/// the order of ChangeKind. It isn't part of the query, because daemons of
/// earlier versions reject queries with unknown parts. Absent if the store
/// states no era.
inline constexpr char kChangeErasHeader[] = "X-Clementine-Change-Eras";
std::string EncodeChangeEras(const ChangeRevisions& eras);
/// @return Zeros if the text is malformed or empty.
ChangeRevisions DecodeChangeEras(std::string_view text);

/// Content of a frame for one kind.
struct ChangeUpdate {
  ChangeKind kind = ChangeKind::kServers;
  ChangeDelta delta;
  milliseconds age{0};
};

/// Sizes and body of a frame. Identical for all followers that lack the same
/// changes.
std::string EncodeChangeBody(const std::vector<ChangeUpdate>& updates);
/// Returns a complete frame.
/// @param codes Authentication codes of the subscription; null if frames carry
///     none.
std::string EncodeChangeFrame(milliseconds elapsed, const std::string& body,
                              FrameCodes* codes = nullptr);

/// Parses frames from a stream of bytes.
class ChangeFrameReader {
 public:
  struct Frame {
    milliseconds elapsed{0};
    std::vector<ChangeUpdate> updates;
  };

  ChangeFrameReader() = default;
  explicit ChangeFrameReader(FrameCodes codes) : m_codes(std::move(codes)) {}

  void Append(std::string_view bytes) { m_bytes.append(bytes); }
  /// @return The next complete frame; empty until more bytes are appended.
  /// @throws std::runtime_error if the frame is malformed or not authentic.
  std::optional<Frame> Next();
  /// Size of the incomplete frame, in bytes.
  std::size_t held_bytes() const { return m_bytes.size(); }

 private:
  FrameCodes m_codes;
  std::string m_bytes;
};

/// Serves changes to other daemons. Changes that this daemon received from a
/// peer are relayed as well, with the time up to which the peer knew all
/// changes.
class ChangeRelay {
 public:
  /// @param heartbeat Maximum time between two frames.
  /// @param keys Followers have to sign with one of them.
  ChangeRelay(std::function<TimePoint()> now, milliseconds heartbeat,
              ChangeKeys keys = {})
      : m_now(std::move(now)),
        m_heartbeat(heartbeat),
        m_keys(std::move(keys)) {}

  /// Update the histories as described in ChangeHistory, and send the changes
  /// to the followers.
  void ReplaceObjects(ChangeKind kind, const platform::ObjectBatch& all,
                      TimePoint as_of);
  void AddChanges(ChangeKind kind, const platform::ObjectBatch& batch,
                  TimePoint as_of);

  void Accept(const std::shared_ptr<HttpExchange>& exchange);
  /// Sends the heartbeats that are due.
  void Tick();

  std::size_t followers() const { return m_followers.size(); }
  /// Total size of all frames sent.
  std::uint64_t sent_bytes() const { return m_sent_bytes; }

 private:
  struct Follower {
    std::uint64_t id = 0;
    std::shared_ptr<HttpExchange> exchange;
    FrameCodes codes;
    ChangeRevisions known{};
    ChangeRevisions eras{};  ///< In which `known` counts.
    TimePoint opened_at;
    TimePoint last_sent_at;
    /// Has too much unsent data. Gets the current state when that is sent.
    bool behind = false;
  };

  const ChangeHistory& History(ChangeKind kind) const {
    return m_histories[static_cast<std::size_t>(kind)];
  }
  /// Whether the kinds that a daemon requires to serve requests are known.
  bool HasRequiredKinds() const;
  /// @param era In which `revision` counts. If it is earlier than the era of
  ///     the history, the update holds all objects; if it is later, none.
  ChangeUpdate UpdateAfter(ChangeKind kind, std::uint64_t era,
                           std::uint64_t revision) const;
  /// Records that a follower was sent the current state of a kind.
  void RecordSent(ChangeKind kind, Follower* follower) const;
  void ApplyUpdate(ChangeKind kind,
                   const std::function<void(ChangeHistory*)>& change);
  void SendFrame(Follower* follower, const std::string& body);
  void SendAllKinds(Follower* follower);

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
