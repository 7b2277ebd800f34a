// Authentication of changes and notices that daemons send to each other.
// Notices need no nonce, because a replayed notice contains no new information.
//
// A follower signs its request, which contains a nonce, with a key that all
// daemons share. The source answers with frames that carry a message
// authentication code over the nonce, the number of the frame in the stream and
// its content, with the same key. The follower therefore detects frames that
// were forged, omitted or recorded from another subscription. Contents are not
// encrypted.
#ifndef DAEMON_CHANGE_AUTH_H_
#define DAEMON_CHANGE_AUTH_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace clementine {

/// Keys that all daemons share. If empty, nothing is authenticated. The first
/// key is used to sign; each key is accepted. A key is replaced in two rounds
/// of restarts: first all daemons accept the new key, then all sign with it.
using ChangeKeys = std::vector<std::string>;

/// Computes the authentication codes of the frames of one subscription, in
/// order.
class FrameCodes {
 public:
  FrameCodes() = default;
  FrameCodes(std::string key, std::string nonce)
      : m_key(std::move(key)), m_nonce(std::move(nonce)) {}

  /// Whether frames carry a code.
  bool enabled() const { return !m_key.empty(); }
  /// Returns the code of the next frame.
  std::string NextCode(std::chrono::milliseconds elapsed,
                       std::string_view body);

 private:
  std::string m_key;
  std::string m_nonce;
  std::uint64_t m_number = 0;
};

/// Signs the query string of a request for changes.
/// @param codes Set to the codes that the answer will carry.
std::string SignChangeQuery(const ChangeKeys& keys, std::string query,
                            FrameCodes* codes);

/// Verifies the signature of a query and removes it.
/// @return The codes for the answer; empty if the query isn't signed with one
/// of
///     the keys. Without keys, an unsigned query is accepted.
std::optional<FrameCodes> VerifyChangeQuery(const ChangeKeys& keys,
                                            std::string* query);

/// Returns the code of a notice to other daemons; empty without keys.
std::string SignNotice(const ChangeKeys& keys, std::string_view text);
/// Whether `code` was computed from the notice with one of the keys. Without
/// keys, each notice is accepted.
bool VerifyNotice(const ChangeKeys& keys, std::string_view text,
                  std::string_view code);

}  // namespace clementine

#endif  // DAEMON_CHANGE_AUTH_H_
