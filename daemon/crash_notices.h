// Tells crash marks to other daemons directly, while the platform doesn't take
// them.
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

/// POST /crashes with marks as of EncodeCrashMarks, signed by a shared key.
class CrashNotices {
 public:
  /// @param heard Gets the text of an authentic notice.
  CrashNotices(boost::asio::io_context* io, ChangeKeys keys,
               std::function<void(const std::string&)> heard);
  CrashNotices(const CrashNotices&) = delete;
  CrashNotices& operator=(const CrashNotices&) = delete;

  /// Sends a notice to each address, a bounded number of them at a time. Those
  /// of an earlier notice that wait are given up; the new one tells the same.
  void Tell(const std::vector<std::string>& addresses, const std::string& text);

  /// Path of the requests that Accept answers.
  static const char kPath[];
  void Accept(HttpExchange* exchange);

 private:
  void SendNext();

  ChangeKeys m_keys;
  std::function<void(const std::string&)> m_heard;
  BackendClient m_client;
  std::shared_ptr<const std::string> m_text;
  std::string m_code;
  std::deque<std::string> m_waiting;  ///< Addresses.
  std::size_t m_running = 0;
};

}  // namespace clementine

#endif  // DAEMON_CRASH_NOTICES_H_
