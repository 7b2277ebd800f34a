// Authentication of daemons that pass changes on to each other, and of notices
// that they send each other. A notice that is repeated tells nothing new, so it
// needs no nonce.
//
// A follower signs its request, with a nonce, by a key that all daemons share.
// The source answers with frames that carry the code of the nonce, of their
// number in the stream and of their content, by the same key. So a frame that
// was forged, left out, or recorded from another subscription is rejected.
// Contents aren't secret.
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

/// Keys that all daemons share; none: nothing is authenticated. The first one
/// signs, each is accepted, so that keys are replaced in two rounds of
/// restarts: first all daemons accept the new key, then all sign by it.
using ChangeKeys = std::vector<std::string>;

/// Codes of the frames of one subscription, in their order.
class FrameCodes {
 public:
  FrameCodes() = default;
  FrameCodes(std::string key, std::string nonce)
      : m_key(std::move(key)), m_nonce(std::move(nonce)) {}

  /// Whether frames carry a code.
  bool used() const { return !m_key.empty(); }
  /// Code of the next frame.
  std::string Next(std::chrono::milliseconds elapsed, std::string_view body);

 private:
  std::string m_key;
  std::string m_nonce;
  std::uint64_t m_number = 0;
};

/// Signs the query of a request for changes.
/// @param codes Gets the codes that the answer will carry.
std::string SignChangeQuery(const ChangeKeys& keys, std::string query,
                            FrameCodes* codes);

/// Takes the signature off a query.
/// @return The codes for the answer; nothing when the query isn't signed by one
///         of the keys. Without keys, an unsigned query is accepted.
std::optional<FrameCodes> VerifyChangeQuery(const ChangeKeys& keys,
                                            std::string* query);

/// Code of a notice to other daemons; empty without keys.
std::string SignNotice(const ChangeKeys& keys, std::string_view text);
/// Whether a notice carries the code of one of the keys. Without keys, each
/// notice is accepted.
bool VerifyNotice(const ChangeKeys& keys, std::string_view text,
                  std::string_view code);

}  // namespace clementine

#endif  // DAEMON_CHANGE_AUTH_H_
