// Sends crash marks to other daemons directly while they can't be written to
// the platform.
#ifndef DAEMON_CRASH_NOTICES_H_
#define DAEMON_CRASH_NOTICES_H_

#include <boost/asio/io_context.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "daemon/change_auth.h"
#include "net/net.h"

namespace clementine {

/// Sends and receives notices: POST /crashes with crash marks as encoded by
/// EncodeCrashMarks, signed with a shared key.
class CrashNotices {
 public:
  /// @param on_notice Receives the text of each authentic notice.
  CrashNotices(boost::asio::io_context* io, ChangeKeys keys,
               std::function<void(const std::string&)> on_notice);
  CrashNotices(const CrashNotices&) = delete;
  CrashNotices& operator=(const CrashNotices&) = delete;

  /// Sends a notice to each address, with a limited number of concurrent calls.
  /// Drops pending sends of an earlier notice, because the new one contains the
  /// same marks.
  void SendNotice(const std::vector<std::string>& addresses,
                  const std::string& text);

  /// Path of the requests that Accept handles.
  static const char kPath[];
  void Accept(HttpExchange* exchange);

 private:
  void SendNext();

  ChangeKeys m_keys;
  std::function<void(const std::string&)> m_on_notice;
  BackendClient m_client;
  std::shared_ptr<const std::string> m_text;
  std::string m_code;
  std::deque<std::string> m_pending_addresses;
  std::size_t m_running_calls = 0;
};

}  // namespace clementine

#endif  // DAEMON_CRASH_NOTICES_H_
